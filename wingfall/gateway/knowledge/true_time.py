"""The time of day that all gateways agree on.

The time of day of a VM may jump by seconds and back. A gateway therefore
derives its own time of day from the steady clock: a jump shows as a difference
between the two clocks and is ignored. Gateways report their times to each other
and use the median, so that the time of a gateway that started with a wrong time
of day has no effect.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Maximum change of the offset between two polls while the time of day is being
# slewed; a jump is larger. A clock that is off by one in a thousand changes by
# a millisecond per second.
_MAX_DRIFT_MS: Final = 100


@final
class TrueTime:
    """Estimate of the time of day from the own clock and from peers."""

    __slots__ = ('_clock', '_other_offsets_ms', '_own_offset_ms', '_wall')

    def __init__(self, *, clock: Clock, wall: Clock) -> None:
        """Initialize the estimate with the own time of day.

        :param clock: the steady clock.
        :param wall: the wall clock, which may jump.
        """
        self._clock = clock
        self._wall = wall
        # Wall clock minus steady clock, as it was before any jump.
        self._own_offset_ms = wall.now_ms() - clock.now_ms()
        # Time of day of each peer minus the steady clock.
        self._other_offsets_ms: dict[str, int] = {}

    @property
    def own_time_ms(self) -> int:
        """The own time of day in milliseconds since 1970, without jumps."""
        return self._clock.now_ms() + self._own_offset_ms

    def now_ms(self) -> int:
        """Return the estimated time of day.

        :returns: milliseconds since 1970.
        """
        return self.time_of_day_at(self._clock.now_ms())

    def time_of_day_at(self, clock_ms: int) -> int:
        """Convert a time of the steady clock to the time of day.

        :param clock_ms: milliseconds of the steady clock.
        :returns: milliseconds since 1970.
        """
        offsets_ms = (self._own_offset_ms, *self._other_offsets_ms.values())
        return clock_ms + int(statistics.median(offsets_ms))

    def poll_wall(self) -> int:
        """Poll the wall clock; follow its drift and ignore jumps.

        :returns: milliseconds by which the wall clock is off, 0 without a jump.
        """
        offset_ms = self._wall.now_ms() - self._clock.now_ms()
        jump_ms = offset_ms - self._own_offset_ms
        if abs(jump_ms) > _MAX_DRIFT_MS:
            return jump_ms
        self._own_offset_ms = offset_ms
        return 0

    def note_peer(self, name: str, reported_ms: int) -> None:
        """Record a peer's own time of day.

        :param name: name of the peer.
        :param reported_ms: reported time in milliseconds since 1970.
        """
        self._other_offsets_ms[name] = reported_ms - self._clock.now_ms()

    def remove_peer(self, name: str) -> None:
        """Remove the time of a peer.

        :param name: name of the peer.
        """
        self._other_offsets_ms.pop(name, None)
