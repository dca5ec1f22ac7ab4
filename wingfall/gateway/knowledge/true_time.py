"""The time of day that all gateways agree on.

The time of day of a VM may jump by seconds and back. A gateway's own reading is
therefore held to the steady clock: a jump shows as a difference between the
two, and is not followed. Gateways tell each other their readings, and the
median is taken, so that one that started while its time of day was wrong does
not count by it.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Milliseconds between two looks by which a time of day that is set right step
# by step may differ; a jump is larger. A clock that is off by one in a thousand
# differs by a millisecond a second.
_DRIFT_MS: Final = 100


@final
class TrueTime:
    """Estimates the time of day from the own clock and from peers."""

    __slots__ = ('_clock', '_offsets_ms', '_own_offset_ms', '_wall')

    def __init__(self, *, clock: Clock, wall: Clock) -> None:
        """Begin with the own time of day.

        :param clock: the steady clock.
        :param wall: the time of day, which may jump.
        """
        self._clock = clock
        self._wall = wall
        # The time of day less the steady clock, as it was before any jump.
        self._own_offset_ms = wall.now_ms() - clock.now_ms()
        # The same by each peer's time of day.
        self._offsets_ms: dict[str, int] = {}

    @property
    def own_ms(self) -> int:
        """The own time of day, as if it had never jumped."""
        return self._clock.now_ms() + self._own_offset_ms

    def now_ms(self) -> int:
        """Estimate the time of day.

        :returns: milliseconds since 1970.
        """
        return self.at(self._clock.now_ms())

    def at(self, clock_ms: int) -> int:
        """Tell which time of day a reading of the steady clock was.

        :param clock_ms: the reading.
        :returns: milliseconds since 1970.
        """
        offsets_ms = (self._own_offset_ms, *self._offsets_ms.values())
        return clock_ms + int(statistics.median(offsets_ms))

    def look(self) -> int:
        """Follow a time of day that drifts, and pass over one that jumps.

        :returns: milliseconds by which it is off, 0 if it has not jumped.
        """
        offset_ms = self._wall.now_ms() - self._clock.now_ms()
        jump_ms = offset_ms - self._own_offset_ms
        if abs(jump_ms) > _DRIFT_MS:
            return jump_ms
        self._own_offset_ms = offset_ms
        return 0

    def note_peer(self, name: str, told_ms: int) -> None:
        """Note a peer's own time of day.

        :param name: the peer.
        :param told_ms: milliseconds since 1970, as it is told.
        """
        self._offsets_ms[name] = told_ms - self._clock.now_ms()

    def forget(self, name: str) -> None:
        """Forget a peer.

        :param name: the peer.
        """
        self._offsets_ms.pop(name, None)
