"""Buffer of an answer that is passed on only when it is complete.

Each answer has a bound, and so have all answers that a gateway reads at the
same time: several endpoints may send bytes without end at once.
"""

from __future__ import annotations

from typing import Final, final

from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerPart,
    EndlessAnswerError,
)

# Maximum bytes of all answers together beyond what each has for itself.
_MAX_TOTAL_BYTES: Final = 25_165_824
# Bytes that each answer has for itself, and that it reserves at a time beyond.
_STEP_BYTES: Final = 65_536
# Bytes that a shorter piece counts as, since each piece costs processor time:
# the 65,536 pieces of an answer at its bound are to cost two seconds of a core
# at most.
_MIN_PIECE_BYTES: Final = 128


@final
class AnswerMemory:
    """Memory that the long answers at a gateway share."""

    __slots__ = ('reserved_bytes',)

    def __init__(self) -> None:
        """Create a memory of which nothing is reserved."""
        self.reserved_bytes = 0

    def reserve(self) -> bool:
        """Reserve another step, if there is one.

        :returns: whether it is reserved.
        """
        if self.reserved_bytes + _STEP_BYTES > _MAX_TOTAL_BYTES:
            return False
        self.reserved_bytes += _STEP_BYTES
        return True

    def release(self, reserved_bytes: int) -> None:
        """Release what was reserved.

        :param reserved_bytes: bytes of all steps.
        """
        self.reserved_bytes -= reserved_bytes


@final
class AnswerBuffer:
    """The body of one answer, as far as it was received."""

    __slots__ = (
        '_body',
        '_counted_bytes',
        '_max_bytes',
        '_memory',
        '_reserved_bytes',
    )

    def __init__(self, *, memory: AnswerMemory, max_bytes: int) -> None:
        """Create an empty buffer.

        :param memory: memory that it shares with others.
        :param max_bytes: maximum bytes of the body.
        """
        self._memory = memory
        self._max_bytes = max_bytes
        self._body = bytearray()
        self._counted_bytes = 0
        self._reserved_bytes = 0

    def add(self, piece: bytes) -> None:
        """Append the next bytes of the body.

        :param piece: the bytes.
        :raises EndlessAnswerError: if a bound is exceeded.
        """
        self._body += piece
        self._counted_bytes += max(len(piece), _MIN_PIECE_BYTES)
        if self._counted_bytes > self._max_bytes:
            raise self._make_error(AnswerPart.body)
        while len(self._body) > self._reserved_bytes + _STEP_BYTES:
            if not self._memory.reserve():
                raise self._make_error(AnswerPart.memory)
            self._reserved_bytes += _STEP_BYTES

    def read(self) -> bytes:
        """Return a copy of the body.

        :returns: all bytes received.
        """
        return bytes(self._body)

    def release(self) -> None:
        """Release the memory of the body."""
        self._body.clear()
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _make_error(self, part: AnswerPart) -> EndlessAnswerError:
        return EndlessAnswerError(part=part, received_bytes=len(self._body))
