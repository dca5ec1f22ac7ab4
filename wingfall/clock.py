"""The one source of time: a clock that counts milliseconds."""

from __future__ import annotations

import time

MS_PER_S = 1000
US_PER_MS = 1000
_NS_PER_MS = 1_000_000


class Clock:
    """Monotonic time of this machine in whole milliseconds.

    It goes on while the machine is suspended, which CLOCK_MONOTONIC does not:
    by that one leases, deadlines and ages would seem younger than they are.
    Timers of the event loop stand still meanwhile, so that long waits read this
    clock from time to time. Readings mean nothing to another process; send the
    time left instead.
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Read the clock.

        :returns: milliseconds since an arbitrary fixed start.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


class WallClock(Clock):
    """Time of day in milliseconds since 1970, only for ages of UUIDv7 keys.

    It may jump; nothing is timed with it.
    """

    __slots__ = ()

    def now_ms(self) -> int:
        """Read the clock.

        :returns: milliseconds since 1970.
        """
        return time.time_ns() // _NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and models."""

    __slots__ = ('_now_ms',)

    def __init__(self, *, start_ms: int = 0) -> None:
        """Start the clock.

        :param start_ms: the first reading.
        """
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Read the clock.

        :returns: the start plus all that was advanced.
        """
        return self._now_ms

    def advance(self, ms: int) -> None:
        """Move the clock forward.

        :param ms: milliseconds to add.
        """
        self._now_ms += ms
