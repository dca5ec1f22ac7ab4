"""What bounds an attempt, and what became of it."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.model.attempt_end import AttemptEnd

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Headers


_FIRST_ERROR: Final = http.HTTPStatus.BAD_REQUEST


@final
class WholeAnswer:
    """An answer read to its end."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Keep an answer.

        :param status: its status.
        :param headers: the headers that the caller shall see.
        :param body: its body.
        """
        self.status = status
        self.headers = headers
        self.body = body


@final
class AttemptOutcome:
    """How an attempt ended, and the whole answer if there is one."""

    __slots__ = ('answer', 'end', 'left', 'reason')

    def __init__(
        self,
        *,
        end: AttemptEnd,
        answer: WholeAnswer | None = None,
        reason: str = '',
        left: bool = False,
    ) -> None:
        """Describe the end.

        :param end: how it ended.
        :param answer: an answer that isn't passed on yet.
        :param reason: what was seen, for logs.
        :param left: whether this side gave it up, not the endpoint.
        """
        self.end = end
        self.answer = answer
        self.reason = reason
        self.left = left

    @property
    def succeeded(self) -> bool:
        """Whether the endpoint has run the request to a good end.

        A failure is no proof of that: an endpoint may fail requests unread.
        """
        if self.end is not AttemptEnd.answered:
            return False
        return self.answer is None or self.answer.status < _FIRST_ERROR


@final
class AttemptLimits:
    """Until when an attempt may take."""

    __slots__ = ('deadline_ms', 'first_byte_ms')

    def __init__(self, *, deadline_ms: int, first_byte_ms: int) -> None:
        """Set the limits, both readings of the clock.

        :param deadline_ms: when the call ends.
        :param first_byte_ms: when the answer must have begun.
        """
        self.deadline_ms = deadline_ms
        self.first_byte_ms = first_byte_ms
