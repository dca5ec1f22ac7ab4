"""The typed outcomes that stand for errors."""

from __future__ import annotations

import enum
from typing import Final, final

# Reason of a fault at a required field.
MISSING_FIELD: Final = 'the field is missing'
# Characters of a reason that are kept: what is wrong may be a value of any
# length that a stranger wrote.
_MAX_REASON: Final = 200


class RunState(enum.StrEnum):
    """What is known about whether a call ran at its endpoint."""

    ran = 'ran'
    not_run = 'not_run'
    unknown = 'unknown'


@final
class FieldFault:
    """One fault in a settings or object file."""

    __slots__ = ('field', 'line', 'reason', 'source')

    def __init__(
        self,
        *,
        source: str,
        line: int,
        field: str,
        reason: str,
    ) -> None:
        """Describe a fault.

        :param source: name of the file.
        :param line: line in the file, from 1.
        :param field: dotted path of the field, empty for the whole; cut to
            what a log line bears.
        :param reason: what is wrong, in one sentence; cut likewise.
        """
        self.source = source
        self.line = line
        self.field = field[:_MAX_REASON]
        self.reason = reason[:_MAX_REASON]

    @property
    def is_of_incomplete_file(self) -> bool:
        """Whether a file that is late or half written has such a fault."""
        return not self.field or self.reason == MISSING_FIELD

    def __str__(self) -> str:
        """Format as ``file:line: field: reason``."""
        field = self.field or '(document)'
        return f'{self.source}:{self.line}: {field}: {self.reason}'


@final
class ObjectFault:
    """Why an object of the platform's store can't be used."""

    __slots__ = ('field', 'reason')

    def __init__(self, *, field: str, reason: str) -> None:
        """Describe a fault.

        :param field: the field that is wrong, ``object`` for the whole; one
            of few words, since faults are counted by it.
        :param reason: what is wrong with it, cut to what a log line bears.
        """
        self.field = field
        self.reason = reason[:_MAX_REASON]

    def __str__(self) -> str:
        """Format as ``field: reason``."""
        return f'{self.field}: {self.reason}'


@final
class Refusal:
    """An answer to a caller that is not the endpoint's.

    The fields follow the error body of OpenAI's API, with ``run`` added.
    """

    __slots__ = (
        'cause',
        'code',
        'kind',
        'message',
        'retry_after_ms',
        'run',
        'status',
    )

    def __init__(
        self,
        *,
        status: int,
        kind: str,
        code: str,
        message: str,
        run: RunState = RunState.not_run,
        retry_after_ms: int | None = None,
        cause: str | None = None,
    ) -> None:
        """Describe a refusal.

        :param status: HTTP status.
        :param kind: family of the error, sent as ``type``.
        :param code: stable word for programs.
        :param message: sentence for people.
        :param run: whether the call ran.
        :param retry_after_ms: when to ask again, if that is worth it.
        :param cause: fingerprint of the part of the request that is refused,
            for logs; None if it is no single part.
        """
        self.status = status
        self.kind = kind
        self.code = code
        self.message = message
        self.run = run
        self.retry_after_ms = retry_after_ms
        self.cause = cause


class WireError(Exception):
    """A peer broke the protocol; the connection is of no further use."""


class PlatformError:
    """A failed call to the platform's object API."""

    __slots__ = ('message', 'status')

    def __init__(self, *, status: int, message: str) -> None:
        """Describe the failure.

        :param status: HTTP status, or 0 when no answer came.
        :param message: what happened.
        """
        self.status = status
        self.message = message

    def __str__(self) -> str:
        """Format for logs."""
        return f'status {self.status}: {self.message}'
