"""How long the token gaps of each engine's streams are while it reads.

Answers engines of unlike speed whose rates are hard to tell under load: what
waits there is known too late, but each stream beside reads shows what the
engine gets through between two events. Owns the longest gaps of the last
streams of each engine, seen here or told by other gateways, and those that they
have not heard of.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.knowledge.reading_window import quantile

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.clock import Clock

# Gaps of one engine that are kept: in a slow spell of half a second a fifth of
# them are new.
_KEPT: Final = 32
# Milliseconds after which a gap goes once there are newer ones.
_OLD_MS: Final = 10_000
# Gaps that are enough to tell an engine's speed, and to let an old one go.
_ENOUGH: Final = 6
# The gap that tells the speed, as a part of all in ascending order. A stream of
# some seconds has its longest gap in a slow spell more often than not, when
# these are many; a third of the streams are spared.
_TYPICAL_PART: Final = 0.3
# Gaps in the time below that are enough for all gateways, so that further ones
# needn't be told; and how many of one engine a heartbeat tells at most.
_ENOUGH_TOLD: Final = 8
_RECENT_MS: Final = 2000
_MOST_TOLD: Final = 4


@final
class GapWindow:
    """The longest gaps of an engine's last streams beside reads."""

    __slots__ = ('_clock', '_seen', '_untold')

    def __init__(self, *, clock: Clock) -> None:
        """Start without a gap.

        :param clock: the time, by which gaps age.
        """
        self._clock = clock
        # Milliseconds of each gap, and the reading of the clock.
        self._seen: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=_KEPT
        )
        self._untold: collections.deque[int] = collections.deque(
            maxlen=_MOST_TOLD
        )

    @property
    def gaps_ms(self) -> Sequence[int]:
        """All gaps that are kept."""
        return [gap_ms for gap_ms, _seen_ms in self._seen]

    @property
    def typical_ms(self) -> float | None:
        """What tells the engine's speed, None if too few were seen."""
        if len(self._seen) < _ENOUGH:
            return None
        return quantile(self.gaps_ms, _TYPICAL_PART)

    def note(self, gap_ms: int) -> None:
        """Add a gap that was seen here.

        :param gap_ms: the longest of a stream, beside reads that never ended.
        """
        since_ms = self._clock.now_ms() - _RECENT_MS
        recent = sum(seen_ms > since_ms for _gap_ms, seen_ms in self._seen)
        if recent < _ENOUGH_TOLD:
            self._untold.append(gap_ms)
        self.add(gap_ms)

    def add(self, gap_ms: int) -> None:
        """Add a gap.

        :param gap_ms: its milliseconds.
        """
        now_ms = self._clock.now_ms()
        self._seen.append((gap_ms, now_ms))
        while len(self._seen) > _ENOUGH:
            if now_ms - self._seen[0][1] <= _OLD_MS:
                break
            self._seen.popleft()

    def take_untold(self) -> list[int]:
        """Take the gaps that other gateways have not heard of.

        :returns: their milliseconds.
        """
        untold = list(self._untold)
        self._untold.clear()
        return untold


@final
class FullGaps:
    """The gaps of all engines."""

    __slots__ = ('_clock', '_tells', '_windows')

    def __init__(self, *, clock: Clock, tells: bool = False) -> None:
        """Start without a gap.

        :param clock: the time, by which gaps age.
        :param tells: whether other gateways are told of gaps.
        """
        self._clock = clock
        self._tells = tells
        self._windows: dict[str, GapWindow] = {}

    def find(self, engine: str) -> GapWindow:
        """Give the gaps of an engine.

        :param engine: its name.
        :returns: its gaps, which follow later ones.
        """
        window = self._windows.get(engine)
        if window is None:
            window = GapWindow(clock=self._clock)
            self._windows[engine] = window
        return window

    def take_told(self, engine: str, gaps_ms: list[int]) -> None:
        """Add gaps that another gateway has seen.

        :param engine: the engine.
        :param gaps_ms: their milliseconds, the newest last.
        """
        for gap_ms in gaps_ms:
            self.find(engine).add(gap_ms)

    def take_untold(self) -> list[list[Any]]:
        """Take the gaps that other gateways have not heard of.

        :returns: for each engine its name and milliseconds; nothing if other
            gateways are not told.
        """
        if not self._tells:
            return []
        untold = [
            [engine, *window.take_untold()]
            for engine, window in self._windows.items()
        ]
        return [entry for entry in untold if len(entry) > 1]

    def write_all(self) -> list[list[Any]]:
        """Write the newest gaps of all engines, for a gateway that starts.

        :returns: for each engine its name and milliseconds, as they are told;
            nothing if other gateways are not told.
        """
        if not self._tells:
            return []
        return [
            [engine, *window.gaps_ms[-_ENOUGH:]]
            for engine, window in self._windows.items()
            if window.gaps_ms
        ]

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        :param names: the engines that are listed.
        """
        for name in self._windows.keys() - names:
            self._windows.pop(name)
