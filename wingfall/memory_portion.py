"""Memory that many connections share, and those that wait for some of it.

Who waits is served by tier and arrival. Every few grants go to the one that
has waited longest, so that no tier starves.
"""

from __future__ import annotations

import itertools
import operator
from typing import TYPE_CHECKING, Final, final

from gevent.event import Event

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

# One of so many grants goes to the one that has waited longest.
_GRANTS_PER_LONGEST: Final = 4


@final
class MemoryWaiter:
    """One that waits for memory."""

    __slots__ = ('event', 'is_gone', 'is_granted', 'number', 'size', 'tier')

    def __init__(
        self, *, number: int, size: int, tier: int, is_gone: Callable[[], bool]
    ) -> None:
        """Begin to wait.

        :param number: order of arrival.
        :param size: bytes that it needs.
        :param tier: tier of its request, 0 the highest.
        :param is_gone: checks if nobody needs the memory any more.
        """
        self.number = number
        self.size = size
        self.tier = tier
        self.is_gone = is_gone
        self.is_granted = False
        # Set when it needn't wait any more.
        self.event = Event()


@final
class MemoryPortion:
    """A part of the memory, which is never exceeded."""

    __slots__ = (
        '_grants',
        '_max_waiters',
        '_numbers',
        '_on_change',
        '_tiers',
        'reserved_bytes',
        'total_bytes',
        'waiting',
    )

    def __init__(
        self,
        *,
        total_bytes: int,
        max_waiters: int,
        on_change: Callable[[], object] = bool,
    ) -> None:
        """Create a portion of which nothing is reserved.

        :param total_bytes: bytes that may be reserved.
        :param max_waiters: maximum number of those that wait.
        :param on_change: called when the first begins to wait, and when the
            last no longer waits.
        """
        self.total_bytes = total_bytes
        self.reserved_bytes = 0
        self._max_waiters = max_waiters
        self._on_change = on_change
        self._numbers = itertools.count()
        self._grants = 0
        # By tier, each in order of arrival; no tier is empty.
        self._tiers: dict[int, dict[int, MemoryWaiter]] = {}
        self.waiting = 0

    @property
    def is_open(self) -> bool:
        """Whether there is room and nobody waits."""
        return not self.waiting and self.reserved_bytes < self.total_bytes

    def fit(self, size: int) -> int:
        """Return the bytes to reserve for a size.

        :param size: bytes that are needed.
        :returns: the same, or the whole portion if that is smaller.
        """
        return min(size, self.total_bytes)

    def reserve(self, size: int) -> bool:
        """Reserve memory, if there is room and nobody waits.

        :param size: bytes, as :meth:`fit` returns them.
        :returns: whether they are reserved.
        """
        if self.waiting or self.reserved_bytes + size > self.total_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release memory and grant it to those that wait.

        :param size: bytes that are no longer needed.
        """
        self.reserved_bytes -= size
        if self.waiting:
            self._grant()

    def begin_wait(
        self, size: int, tier: int, is_gone: Callable[[], bool]
    ) -> MemoryWaiter | None:
        """Wait for memory after :meth:`reserve` has failed.

        :param size: bytes, as :meth:`fit` returns them.
        :param tier: tier of the request, 0 the highest.
        :param is_gone: checks if nobody needs the memory any more.
        :returns: the waiter, None if too many wait.
        """
        if self.waiting >= self._max_waiters:
            return None
        number = next(self._numbers)
        waiter = MemoryWaiter(
            number=number, size=size, tier=tier, is_gone=is_gone
        )
        self._tiers.setdefault(tier, {})[number] = waiter
        self.waiting += 1
        if self.waiting == 1:
            self._on_change()
        return waiter

    def end_wait(self, waiter: MemoryWaiter) -> None:
        """End a wait, whether or not the memory was granted.

        What was granted is released by its owner.

        :param waiter: the one that waited.
        """
        if self._remove(waiter):
            self._grant()

    def reserve_within(
        self, size: int, timeout_ms: int, is_gone: Callable[[], bool]
    ) -> bool:
        """Reserve memory in the highest tier, and wait for it if needed.

        :param size: bytes, as :meth:`fit` returns them.
        :param timeout_ms: maximum milliseconds to wait.
        :param is_gone: checks if nobody needs the memory any more.
        :returns: whether they are reserved.
        """
        if self.reserve(size):
            return True
        waiter = self.begin_wait(size, 0, is_gone) if timeout_ms > 0 else None
        if waiter is None:
            return False
        is_reserved = False
        try:
            waiter.event.wait(timeout_ms / MS_PER_S)
            is_reserved = waiter.is_granted
        finally:
            self.end_wait(waiter)
            if waiter.is_granted and not is_reserved:
                self.release(size)
        return is_reserved

    def _grant(self) -> None:
        while self.waiting:
            waiter = self._pick()
            has_room = self.reserved_bytes + waiter.size <= self.total_bytes
            is_gone = waiter.is_gone()
            if not has_room and not is_gone:
                return
            self._wake(waiter, is_granted=not is_gone)
        self._on_change()

    def _pick(self) -> MemoryWaiter:
        firsts = [next(iter(tier.values())) for tier in self._tiers.values()]
        if self._grants % _GRANTS_PER_LONGEST == _GRANTS_PER_LONGEST - 1:
            return min(firsts, key=operator.attrgetter('number'))
        return min(firsts, key=operator.attrgetter('tier'))

    def _wake(self, waiter: MemoryWaiter, *, is_granted: bool) -> None:
        self._remove(waiter)
        if is_granted:
            self._grants += 1
            self.reserved_bytes += waiter.size
        waiter.is_granted = is_granted
        waiter.event.set()

    def _remove(self, waiter: MemoryWaiter) -> bool:
        tier = self._tiers.get(waiter.tier, {})
        if tier.pop(waiter.number, None) is None:
            return False
        if not tier:
            self._tiers.pop(waiter.tier)
        self.waiting -= 1
        return True


@final
class Reservation:
    """Memory that is reserved until the last of its users releases it."""

    __slots__ = ('_users', 'portion', 'size')

    def __init__(self, *, portion: MemoryPortion, size: int) -> None:
        """Take over what was reserved, with one user.

        :param portion: portion of the memory.
        :param size: bytes that are reserved there.
        """
        self.portion = portion
        self.size = size
        self._users = 1

    def keep(self) -> None:
        """Add a user, which releases it as well."""
        self._users += 1

    def shrink(self, size: int) -> None:
        """Release what is not needed.

        :param size: bytes that are still needed.
        """
        if size < self.size:
            self.portion.release(self.size - size)
            self.size = size

    def release(self) -> None:
        """Release it for one user."""
        self._users -= 1
        if not self._users:
            self.portion.release(self.size)
