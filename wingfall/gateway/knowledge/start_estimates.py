"""When first events come, beside when they were estimated to come.

An estimate by what waits at an engine knows neither that urgent prompts
overtake there, nor how much of what waits was read already, nor what other
gateways have sent since. How far it is off on the whole is learned for each
pool and tier.
"""

from __future__ import annotations

import collections
from typing import Callable, Final, final

from wingfall.gateway.knowledge.reading_window import quantile
from wingfall.registry import Registry

# First events of one pool and tier that are kept: some seconds of a gateway's.
_KEPT: Final = 32
# First events that are needed before an estimate is corrected.
_NEEDED: Final = 4
# Bounds of a correction, so that a failure of many engines, in which first
# events come late or never, does not refuse all that comes after it.
_LEAST: Final = 0.3
_MOST: Final = 3
# Milliseconds of the way to an engine and of its first step, which an estimate
# by what waits does not hold. Keeps ratios of short prompts comparable.
_FIRST_STEP_MS: Final = 40
_MEDIAN: Final = 0.5
_WORST_TENTH: Final = 0.9


@final
class StartError:
    """How far the estimates of a pool and tier were off."""

    __slots__ = ('median', 'worst_tenth')

    def __init__(self, *, median: float, worst_tenth: float) -> None:
        """Keep figures.

        :param median: the first event over its estimate, at the median.
        :param worst_tenth: the same of which one in ten is over.
        """
        self.median = median
        self.worst_tenth = worst_tenth


class StartEstimates:
    """Estimates of first events as they are, the baseline."""

    __slots__ = ()

    @property
    def errors(self) -> dict[tuple[str, int], StartError]:
        """How far estimates were off, by pool and tier."""
        return {}

    def expected_ms(self, pool: str, tier: int, estimate_ms: float) -> float:
        """Correct an estimate.

        :param pool: name of the pool.
        :param tier: how urgent the prompt is at its engine, 0 the most.
        :param estimate_ms: milliseconds to the first event by what waits.
        :returns: milliseconds to the first event as it is likely to come.
        """
        return estimate_ms

    def note(
        self,
        pool: str,
        tier: int,
        estimate_ms: float,
        came_ms: float,
    ) -> None:
        """Learn from a first event.

        :param pool: name of the pool.
        :param tier: how urgent the prompt was at its engine.
        :param estimate_ms: milliseconds as they were estimated by what waited.
        :param came_ms: milliseconds as they came.
        """


@final
class CorrectedEstimates(StartEstimates):
    """Estimates of first events, corrected by those that came."""

    __slots__ = ('_ratios',)

    def __init__(self) -> None:
        """Start without a correction."""
        self._ratios: dict[tuple[str, int], collections.deque[float]] = {}

    @property
    def errors(self) -> dict[tuple[str, int], StartError]:
        """How far estimates were off, by pool and tier."""
        return {
            key: StartError(
                median=quantile(ratios, _MEDIAN),
                worst_tenth=quantile(ratios, _WORST_TENTH),
            )
            for key, ratios in self._ratios.items()
        }

    def expected_ms(self, pool: str, tier: int, estimate_ms: float) -> float:
        """Correct an estimate.

        :param pool: name of the pool.
        :param tier: how urgent the prompt is at its engine, 0 the most.
        :param estimate_ms: milliseconds to the first event by what waits.
        :returns: milliseconds to the first event as it is likely to come.
        """
        ratios = self._ratios.get((pool, tier), ())
        whole_ms = _FIRST_STEP_MS + estimate_ms
        if len(ratios) < _NEEDED:
            return whole_ms
        ratio = quantile(ratios, _MEDIAN)
        return whole_ms * min(_MOST, max(_LEAST, ratio))

    def note(
        self,
        pool: str,
        tier: int,
        estimate_ms: float,
        came_ms: float,
    ) -> None:
        """Learn from a first event.

        :param pool: name of the pool.
        :param tier: how urgent the prompt was at its engine.
        :param estimate_ms: milliseconds as they were estimated by what waited.
        :param came_ms: milliseconds as they came.
        """
        ratios = self._ratios.setdefault(
            (pool, tier), collections.deque(maxlen=_KEPT)
        )
        ratios.append(came_ms / (_FIRST_STEP_MS + estimate_ms))


start_estimates: Final[Registry[Callable[[], StartEstimates]]] = Registry(
    kind='start estimates',
)
start_estimates.register('plain')(StartEstimates)
start_estimates.register('corrected')(CorrectedEstimates)
