"""When first events come, beside when they were estimated to come.

An estimate by what waits at an engine knows neither that urgent prompts
overtake there, nor how much of what waits was read already, nor what other
gateways have sent since. How far it is off on the whole is learned for each
pool and tier.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Callable, Final, Protocol, TypeAlias, final

from wingfall.gateway.knowledge.quantile import quantile
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Collection

# First events of one pool and tier that are kept: some seconds of a gateway's.
_KEPT: Final = 32
# First events that are needed before an estimate is corrected.
_NEEDED: Final = 4
# Bounds of a correction, so that a failure of many engines, in which first
# events come late or never, does not refuse all that comes after it.
_LEAST: Final = 0.3
_MOST: Final = 3
# Milliseconds of the way to an engine and of its first step, before a pool has
# shown its own. Keeps ratios of short prompts comparable.
_FIRST_STEP_MS: Final = 40
_MEDIAN: Final = 0.5
_WORST_TENTH: Final = 0.9

# Pool and tier.
_Kind: TypeAlias = tuple[str, int]
# Gives the fixed time of a pool's first events in milliseconds, None if it is
# not known.
FixedTime: TypeAlias = Callable[[str], 'float | None']


def know_nothing(pool: str) -> None:
    """Give no fixed time.

    :param pool: name of the pool.
    """


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

    __slots__ = ('_errors', '_fixed_time')

    def __init__(self, *, fixed_time: FixedTime = know_nothing) -> None:
        """Start without a first event.

        :param fixed_time: gives the fixed time of a pool's first events.
        """
        self._fixed_time = fixed_time
        # First events over their estimates, the newest last.
        self._errors: dict[_Kind, collections.deque[float]] = {}

    @property
    def errors(self) -> dict[_Kind, StartError]:
        """How far estimates were off, by pool and tier."""
        return {kind: _describe(seen) for kind, seen in self._errors.items()}

    def error(self, pool: str, tier: int) -> StartError | None:
        """Tell how far the estimates of one pool and tier were off.

        :param pool: name of the pool.
        :param tier: how urgent prompts are at their engines.
        :returns: the figures, None while few first events have come.
        """
        seen = self._errors.get((pool, tier), ())
        return _describe(seen) if len(seen) >= _NEEDED else None

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
        expected_ms = self.expected_ms(pool, tier, estimate_ms)
        # A millisecond is what the clock can tell.
        _keep(self._errors, (pool, tier), came_ms / max(1, expected_ms))


@final
class CorrectedEstimates(StartEstimates):
    """Estimates of first events, corrected by those that came."""

    __slots__ = ('_factors', '_ratios')

    def __init__(self, *, fixed_time: FixedTime = know_nothing) -> None:
        """Start without a correction.

        :param fixed_time: gives the fixed time of a pool's first events.
        """
        super().__init__(fixed_time=fixed_time)
        # First events over what they would be without other prompts.
        self._ratios: dict[_Kind, collections.deque[float]] = {}
        # Their median, by which an estimate is corrected.
        self._factors: dict[_Kind, float] = {}

    def expected_ms(self, pool: str, tier: int, estimate_ms: float) -> float:
        """Correct an estimate.

        :param pool: name of the pool.
        :param tier: how urgent the prompt is at its engine, 0 the most.
        :param estimate_ms: milliseconds to the first event by what waits.
        :returns: milliseconds to the first event as it is likely to come.
        """
        factor = self._factors.get((pool, tier), 1)
        return self._whole_ms(pool, estimate_ms) * factor

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
        super().note(pool, tier, estimate_ms, came_ms)
        ratio = came_ms / self._whole_ms(pool, estimate_ms)
        kind = (pool, tier)
        _keep(self._ratios, kind, ratio)
        ratios = self._ratios[kind]
        if len(ratios) >= _NEEDED:
            median = quantile(ratios, _MEDIAN)
            self._factors[kind] = min(_MOST, max(_LEAST, median))

    def _whole_ms(self, pool: str, estimate_ms: float) -> float:
        fixed_ms = self._fixed_time(pool)
        if fixed_ms is None:
            fixed_ms = _FIRST_STEP_MS
        return fixed_ms + estimate_ms


class StartEstimatesFactory(Protocol):
    """How estimates of first events are made."""

    def __call__(self, *, fixed_time: FixedTime) -> StartEstimates:
        """Make them without a first event."""


def _describe(seen: Collection[float]) -> StartError:
    return StartError(
        median=quantile(seen, _MEDIAN),
        worst_tenth=quantile(seen, _WORST_TENTH),
    )


def _keep(
    seen: dict[_Kind, collections.deque[float]],
    kind: _Kind,
    ratio: float,
) -> None:
    seen.setdefault(kind, collections.deque(maxlen=_KEPT)).append(ratio)


start_estimates: Final[Registry[StartEstimatesFactory]] = Registry(
    kind='start estimates',
)
start_estimates.register('plain')(StartEstimates)
start_estimates.register('corrected')(CorrectedEstimates)
