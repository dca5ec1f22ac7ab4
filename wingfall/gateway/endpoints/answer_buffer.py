"""Buffer of an answer that is passed on only when it is complete.

Each answer has a bound, and so have all answers that a gateway reads at the
same time: several endpoints may send bytes without end at once. The long events
of streams share that memory.
"""

from __future__ import annotations

from typing import Final, final

from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerPart,
    EndlessAnswerError,
)

# Limits the memory of a buffered answer or event. Twice the largest request
# body.
MAX_ANSWER_BYTES: Final = 8_388_608
# Bytes that a shorter piece counts as, since each piece costs processor time.
MIN_PIECE_BYTES: Final = 128
# Maximum bytes of all answers together beyond what each has for itself.
_MAX_TOTAL_BYTES: Final = 25_165_824
# Bytes that each answer has for itself, and that it reserves at a time beyond.
_STEP_BYTES: Final = 65_536


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
class MemoryShare:
    """What one answer has reserved of the memory that all answers share."""

    __slots__ = ('_memory', '_reserved_bytes')

    def __init__(self, *, memory: AnswerMemory) -> None:
        """Create a share of which nothing is reserved.

        :param memory: memory that it shares with others.
        """
        self._memory = memory
        self._reserved_bytes = 0

    def cover(self, held_bytes: int) -> bool:
        """Reserve what an answer needs beyond what it has for itself.

        :param held_bytes: bytes that are held of the answer.
        :returns: whether they are reserved.
        """
        while held_bytes > self._reserved_bytes + _STEP_BYTES:
            if not self._memory.reserve():
                return False
            self._reserved_bytes += _STEP_BYTES
        return True

    def shrink(self, held_bytes: int) -> None:
        """Release what an answer no longer needs.

        :param held_bytes: bytes that are still held of the answer.
        """
        while self._reserved_bytes and held_bytes <= self._reserved_bytes:
            self._memory.release(_STEP_BYTES)
            self._reserved_bytes -= _STEP_BYTES


@final
class AnswerBuffer:
    """The body of one answer, as far as it was received."""

    __slots__ = (
        '_body',
        '_counted_bytes',
        '_max_bytes',
        '_share',
    )

    def __init__(self, *, memory: AnswerMemory, max_bytes: int) -> None:
        """Create an empty buffer.

        :param memory: memory that it shares with others.
        :param max_bytes: maximum bytes of the body.
        """
        self._share = MemoryShare(memory=memory)
        self._max_bytes = max_bytes
        self._body = bytearray()
        self._counted_bytes = 0

    def add(self, piece: bytes) -> None:
        """Append the next bytes of the body.

        :param piece: the bytes.
        :raises EndlessAnswerError: if a bound is exceeded.
        """
        self._body += piece
        self._counted_bytes += max(len(piece), MIN_PIECE_BYTES)
        if self._counted_bytes > self._max_bytes:
            raise self._make_error(AnswerPart.body)
        if not self._share.cover(len(self._body)):
            raise self._make_error(AnswerPart.memory)

    def read(self) -> bytes:
        """Return a copy of the body.

        :returns: all bytes received.
        """
        return bytes(self._body)

    def release(self) -> None:
        """Release the memory of the body."""
        self._body.clear()
        self._share.shrink(0)

    def _make_error(self, part: AnswerPart) -> EndlessAnswerError:
        return EndlessAnswerError(part=part, received_bytes=len(self._body))
