"""Token gaps of each engine's streams at full load.

Prefill rates of engines of different speed are hard to measure under load,
since pending tokens are known too late; but each stream during prefill shows
how much work the engine completes between two events. Stores the longest gaps
of the last streams of each engine, measured here or reported by other gateways,
and the gaps not yet reported.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.knowledge.reading_window import quantile

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.clock import Clock

# Gaps stored of one engine: a slowdown of half a second replaces a fifth of
# them.
_MAX_SAMPLES: Final = 32
# Age at which a gap is dropped once there are newer gaps.
_MAX_AGE_MS: Final = 10_000
# Number of gaps needed to estimate an engine's speed, and to drop an old gap.
_MIN_SAMPLES: Final = 6
# Quantile of the gaps that represents the engine's speed. If slowdowns are
# frequent, more than half of the streams of some seconds have their longest gap
# in a slowdown; a third of the streams are not affected.
_TYPICAL_QUANTILE: Final = 0.3
# Number of gaps within the time below that suffices for all gateways, so that
# further gaps needn't be reported; and the most gaps of one engine in a
# heartbeat.
_MIN_RECENT_SAMPLES: Final = 8
_RECENT_WINDOW_MS: Final = 2000
_MAX_SAMPLES_PER_REPORT: Final = 4


@final
class GapWindow:
    """The longest gaps of an engine's last streams during prefill."""

    __slots__ = ('_clock', '_samples', '_unreported')

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty window.

        :param clock: the clock by which gaps age.
        """
        self._clock = clock
        # Milliseconds of each gap, and the clock time of its recording.
        self._samples: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._unreported: collections.deque[int] = collections.deque(
            maxlen=_MAX_SAMPLES_PER_REPORT
        )

    @property
    def gaps_ms(self) -> Sequence[int]:
        """All stored gaps in milliseconds, the oldest first."""
        return [gap_ms for gap_ms, _sampled_ms in self._samples]

    @property
    def typical_ms(self) -> float | None:
        """Gap that represents the engine's speed, None if too few are known."""
        if len(self._samples) < _MIN_SAMPLES:
            return None
        return quantile(self.gaps_ms, _TYPICAL_QUANTILE)

    def note(self, gap_ms: int) -> None:
        """Record a gap that this gateway measured.

        :param gap_ms: longest gap of a stream during uninterrupted prefill, in
            milliseconds.
        """
        since_ms = self._clock.now_ms() - _RECENT_WINDOW_MS
        recent = sum(
            sampled_ms > since_ms for _gap_ms, sampled_ms in self._samples
        )
        if recent < _MIN_RECENT_SAMPLES:
            self._unreported.append(gap_ms)
        self.add(gap_ms)

    def add(self, gap_ms: int) -> None:
        """Add a gap.

        :param gap_ms: the gap in milliseconds.
        """
        now_ms = self._clock.now_ms()
        self._samples.append((gap_ms, now_ms))
        while len(self._samples) > _MIN_SAMPLES:
            if now_ms - self._samples[0][1] <= _MAX_AGE_MS:
                break
            self._samples.popleft()

    def take_unreported(self) -> list[int]:
        """Return and clear the gaps not yet reported to other gateways.

        :returns: the gaps in milliseconds.
        """
        unreported = list(self._unreported)
        self._unreported.clear()
        return unreported


@final
class FullGaps:
    """The token gaps at full load of all engines."""

    __slots__ = ('_clock', '_reports_gaps', '_windows')

    def __init__(self, *, clock: Clock, reports_gaps: bool = False) -> None:
        """Initialize the gaps as empty.

        :param clock: the clock by which gaps age.
        :param reports_gaps: whether gaps are reported to other gateways.
        """
        self._clock = clock
        self._reports_gaps = reports_gaps
        self._windows: dict[str, GapWindow] = {}

    def find(self, engine: str) -> GapWindow:
        """Return the gaps of an engine.

        :param engine: name of the engine.
        :returns: its window, which also receives later gaps.
        """
        window = self._windows.get(engine)
        if window is None:
            window = GapWindow(clock=self._clock)
            self._windows[engine] = window
        return window

    def merge_reported(self, engine: str, gaps_ms: list[int]) -> None:
        """Merge gaps that another gateway reported.

        :param engine: name of the engine.
        :param gaps_ms: the gaps in milliseconds, the newest last.
        """
        for gap_ms in gaps_ms:
            self.find(engine).add(gap_ms)

    def take_unreported(self) -> list[list[Any]]:
        """Return and clear the gaps not yet reported to other gateways.

        :returns: for each engine its name and gaps in milliseconds; empty if
            gaps are not reported.
        """
        if not self._reports_gaps:
            return []
        unreported = [
            [engine, *window.take_unreported()]
            for engine, window in self._windows.items()
        ]
        return [entry for entry in unreported if len(entry) > 1]

    def encode_all(self) -> list[list[Any]]:
        """Encode the newest gaps of all engines for a gateway that starts.

        :returns: for each engine its name and gaps in milliseconds, as in a
            report; empty if gaps are not reported.
        """
        if not self._reports_gaps:
            return []
        return [
            [engine, *window.gaps_ms[-_MIN_SAMPLES:]]
            for engine, window in self._windows.items()
            if window.gaps_ms
        ]

    def retain_only(self, names: set[str]) -> None:
        """Remove engines that are no longer listed.

        :param names: names of the listed engines.
        """
        for name in self._windows.keys() - names:
            self._windows.pop(name)
