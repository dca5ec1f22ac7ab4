"""Buffer of an answer that is passed on only when it is complete.

Each answer has a bound, and so have all answers that a gateway reads at the
same time: several endpoints may send bytes without end at once. The long events
of streams share that memory. The first 64 KB of each have a memory of their
own, so that short answers are read beside long ones.
"""

from __future__ import annotations

import io
import math
from typing import Callable, Final, final

from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerPart,
    EndlessAnswerError,
)
from wingfall.memory_portion import MemoryPortion

# Limits the memory of a buffered answer or event. Twice the largest request
# body.
MAX_ANSWER_BYTES: Final = 8_388_608
# Bytes that a shorter piece counts as, since each piece costs processor time.
MIN_PIECE_BYTES: Final = 128
# Maximum bytes of all answers together beyond the first 64 KB of each, if no
# other bound is given.
_MAX_TOTAL_BYTES: Final = 25_165_824
# The same of the first 64 KB of each.
_MAX_SHORT_BYTES: Final = 8_388_608
# Bytes of an answer that are short, and that it reserves at a time beyond.
_STEP_BYTES: Final = 65_536
# Bytes that each answer has for itself, and the step in which it reserves what
# is short beyond; each step counts as the buffers that it takes.
_OWN_BYTES: Final = 4096
_SHORT_STEP_BYTES: Final = 8192
_COUNTED_STEP_BYTES: Final = 16_384
# Maximum answers that wait for memory; more than a gateway has calls.
_MAX_WAITERS: Final = 10_000


@final
class AnswerMemory:
    """Memory that the answers at a gateway share."""

    __slots__ = ('_portion', 'short')

    def __init__(
        self,
        *,
        total_bytes: int = _MAX_TOTAL_BYTES,
        short_bytes: int = _MAX_SHORT_BYTES,
    ) -> None:
        """Create a memory of which nothing is reserved.

        :param total_bytes: maximum bytes of all answers together beyond the
            first 64 KB of each.
        :param short_bytes: maximum bytes that those first ones may take.
        """
        self.short = MemoryPortion(
            total_bytes=short_bytes,
            max_waiters=_MAX_WAITERS,
        )
        self._portion = MemoryPortion(
            total_bytes=total_bytes,
            max_waiters=_MAX_WAITERS,
        )

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved beyond the first 64 KB of each answer."""
        return self._portion.reserved_bytes

    @property
    def is_awaited(self) -> bool:
        """Whether answers wait for memory."""
        return bool(self._portion.waiting or self.short.waiting)

    def reserve(self, size: int, timeout_ms: int) -> bool:
        """Reserve memory.

        :param size: bytes.
        :param timeout_ms: maximum milliseconds to wait for it.
        :returns: whether it is reserved.
        """
        return self._portion.reserve_within(size, timeout_ms, bool)

    def release(self, reserved_bytes: int) -> None:
        """Release what was reserved.

        :param reserved_bytes: bytes of all steps.
        """
        self._portion.release(reserved_bytes)


@final
class MemoryShare:
    """What one answer has reserved of the memory that all answers share."""

    __slots__ = (
        '_covered_bytes',
        '_memory',
        '_min_wait_ms',
        '_reserved_bytes',
        '_short_bytes',
    )

    def __init__(self, *, memory: AnswerMemory, min_wait_ms: int = 0) -> None:
        """Create a share of which nothing is reserved.

        :param memory: memory that it shares with others.
        :param min_wait_ms: milliseconds that it may wait at least for the first
            64 KB.
        """
        self._memory = memory
        self._min_wait_ms = min_wait_ms
        self._reserved_bytes = 0
        self._short_bytes = 0
        # Bytes up to which nothing more is to be reserved.
        self._covered_bytes = _OWN_BYTES

    def cover(self, held_bytes: int, timeout_ms: int = 0) -> bool:
        """Reserve what an answer needs beyond what it has for itself.

        :param held_bytes: bytes that are held of the answer.
        :param timeout_ms: maximum milliseconds to wait for them.
        :returns: whether they are reserved.
        """
        if held_bytes <= self._covered_bytes:
            return True
        # One that waits for much holds nothing that short ones need.
        if not self._cover_long(held_bytes, timeout_ms):
            return False
        wait_ms = max(timeout_ms, self._min_wait_ms)
        if not self._cover_short(held_bytes, wait_ms):
            return False
        steps = self._short_bytes // _COUNTED_STEP_BYTES
        self._covered_bytes = _OWN_BYTES + steps * _SHORT_STEP_BYTES
        if self._covered_bytes >= _STEP_BYTES:
            self._covered_bytes = _STEP_BYTES + self._reserved_bytes
        return True

    def shrink(self, held_bytes: int) -> None:
        """Release what an answer no longer needs.

        :param held_bytes: bytes that are still held of the answer.
        """
        self._covered_bytes = _OWN_BYTES
        while self._reserved_bytes and held_bytes <= self._reserved_bytes:
            self._memory.release(_STEP_BYTES)
            self._reserved_bytes -= _STEP_BYTES
        surplus_bytes = self._short_bytes - _count_short_bytes(held_bytes)
        if surplus_bytes > 0:
            self._short_bytes -= surplus_bytes
            self._memory.short.release(surplus_bytes)

    def _cover_short(self, held_bytes: int, timeout_ms: int) -> bool:
        size = _count_short_bytes(held_bytes) - self._short_bytes
        if size <= 0:
            return True
        if not self._memory.short.reserve_within(size, timeout_ms, bool):
            return False
        self._short_bytes += size
        return True

    def _cover_long(self, held_bytes: int, timeout_ms: int) -> bool:
        missing_bytes = held_bytes - self._reserved_bytes - _STEP_BYTES
        if missing_bytes <= 0:
            return True
        size = math.ceil(missing_bytes / _STEP_BYTES) * _STEP_BYTES
        if not self._memory.reserve(size, timeout_ms):
            return False
        self._reserved_bytes += size
        return True


def _count_short_bytes(held_bytes: int) -> int:
    shared_bytes = max(0, min(held_bytes, _STEP_BYTES) - _OWN_BYTES)
    return math.ceil(shared_bytes / _SHORT_STEP_BYTES) * _COUNTED_STEP_BYTES


@final
class AnswerBuffer:
    """The body of one answer, as far as it was received."""

    __slots__ = (
        '_body',
        '_counted_bytes',
        '_get_wait_ms',
        '_max_bytes',
        '_share',
    )

    def __init__(
        self,
        *,
        memory: AnswerMemory,
        max_bytes: int,
        get_wait_ms: Callable[[], int] = int,
    ) -> None:
        """Create an empty buffer.

        :param memory: memory that it shares with others.
        :param max_bytes: maximum bytes of the body.
        :param get_wait_ms: returns how many milliseconds it may wait for
            memory.
        """
        self._get_wait_ms = get_wait_ms
        self._share = MemoryShare(memory=memory)
        self._max_bytes = max_bytes
        # Unlike a bytearray, it gives its bytes away without a copy.
        self._body = io.BytesIO()
        self._counted_bytes = 0

    @property
    def size(self) -> int:
        """Bytes received."""
        return self._body.tell()

    def expect(self, length: int) -> None:
        """Reserve the memory of a body before it is read.

        Two bodies of which the half is read could wait for each other.

        :param length: bytes of the body.
        :raises EndlessAnswerError: if there is no memory.
        """
        self._cover(min(length, self._max_bytes))

    def add(self, piece: bytes | bytearray) -> None:
        """Append the next bytes of the body.

        :param piece: the bytes.
        :raises EndlessAnswerError: if a bound is exceeded.
        """
        self._body.write(piece)
        self._counted_bytes += max(len(piece), MIN_PIECE_BYTES)
        if self._counted_bytes > self._max_bytes:
            raise self._make_error(AnswerPart.body)
        self._cover(self.size)

    def read(self) -> bytes:
        """Return the body.

        :returns: all bytes received.
        """
        return self._body.getvalue()

    def release(self) -> None:
        """Release the memory of the body, which is needed no more."""
        self._body = io.BytesIO()
        self._share.shrink(0)

    def _cover(self, size: int) -> None:
        if not self._share.cover(size, self._get_wait_ms()):
            raise self._make_error(AnswerPart.memory)

    def _make_error(self, part: AnswerPart) -> EndlessAnswerError:
        return EndlessAnswerError(part=part, received_bytes=self.size)
