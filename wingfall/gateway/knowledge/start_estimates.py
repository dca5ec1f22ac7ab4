"""Estimates of the time to first events, and their errors.

An estimate from the pending tokens of an engine includes neither that urgent
prompts are served first, nor how many of these tokens had their prefill
already, nor what other gateways have sent since. Its overall error is measured
for each pool and tier.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Callable, Final, Protocol, TypeAlias, final

from wingfall.gateway.knowledge.quantile import quantile
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Collection

# First events of a pool and tier that are retained: some seconds at a gateway.
_MAX_SAMPLES: Final = 32
# First events that are required before an estimate is corrected.
_MIN_SAMPLES: Final = 4
# Bounds of a correction, so that a failure of many engines, which delays or
# prevents first events, does not cause all later requests to be refused.
_MIN_FACTOR: Final = 0.3
_MAX_FACTOR: Final = 3
# Network delay to an engine and its first step, used until the overhead of a
# pool is measured. Makes ratios of short prompts comparable.
_DEFAULT_OVERHEAD_MS: Final = 40
_MEDIAN_QUANTILE: Final = 0.5
_WORST_TENTH_QUANTILE: Final = 0.9

# Pool and tier.
_PoolTier: TypeAlias = tuple[str, int]
# Returns the fixed overhead of a pool's first events in milliseconds, None if
# it is unknown.
FixedOverheadGetter: TypeAlias = Callable[[str], 'float | None']


def no_fixed_overhead(pool: str) -> None:
    """Return no fixed overhead.

    :param pool: name of the pool.
    """


@final
class StartErrorStats:
    """Error statistics of the estimates of a pool and tier."""

    __slots__ = ('median', 'worst_tenth')

    def __init__(self, *, median: float, worst_tenth: float) -> None:
        """Create error statistics.

        :param median: median ratio of the actual to the estimated time.
        :param worst_tenth: 90th percentile of this ratio.
        """
        self.median = median
        self.worst_tenth = worst_tenth


class StartEstimates:
    """Estimates of first events without correction, the baseline."""

    __slots__ = ('_error_ratios', '_get_overhead_ms')

    def __init__(
        self, *, get_fixed_overhead_ms: FixedOverheadGetter = no_fixed_overhead
    ) -> None:
        """Create estimates without samples.

        :param get_fixed_overhead_ms: returns the fixed overhead of a pool.
        """
        self._get_overhead_ms = get_fixed_overhead_ms
        # Ratios of actual to estimated times, the newest last.
        self._error_ratios: dict[_PoolTier, collections.deque[float]] = {}

    @property
    def errors(self) -> dict[_PoolTier, StartErrorStats]:
        """Error statistics of the estimates, by pool and tier."""
        return {
            key: _summarize(ratios)
            for key, ratios in self._error_ratios.items()
        }

    def error(self, pool: str, tier: int) -> StartErrorStats | None:
        """Return the error statistics of a pool and tier.

        :param pool: name of the pool.
        :param tier: priority tier of the prompts, 0 the most urgent.
        :returns: the statistics, None while there are too few samples.
        """
        ratios = self._error_ratios.get((pool, tier), ())
        return _summarize(ratios) if len(ratios) >= _MIN_SAMPLES else None

    def expected_ms(self, pool: str, tier: int, estimate_ms: float) -> float:
        """Return the expected time to a first event.

        :param pool: name of the pool.
        :param tier: priority tier of the prompt, 0 the most urgent.
        :param estimate_ms: milliseconds estimated from the pending tokens.
        :returns: expected milliseconds to the first event.
        """
        return estimate_ms

    def note(
        self,
        pool: str,
        tier: int,
        estimate_ms: float,
        actual_ms: float,
    ) -> None:
        """Record a first event.

        :param pool: name of the pool.
        :param tier: priority tier of the prompt, 0 the most urgent.
        :param estimate_ms: milliseconds estimated from the pending tokens.
        :param actual_ms: actual milliseconds to the first event.
        """
        expected_ms = self.expected_ms(pool, tier, estimate_ms)
        # The clock has a resolution of one millisecond.
        _add_ratio(
            self._error_ratios, (pool, tier), actual_ms / max(1, expected_ms)
        )


@final
class CorrectedEstimates(StartEstimates):
    """Estimates of first events, corrected by their past errors."""

    __slots__ = ('_factors', '_ratios')

    def __init__(
        self, *, get_fixed_overhead_ms: FixedOverheadGetter = no_fixed_overhead
    ) -> None:
        """Create estimates without corrections.

        :param get_fixed_overhead_ms: returns the fixed overhead of a pool.
        """
        super().__init__(get_fixed_overhead_ms=get_fixed_overhead_ms)
        # Ratios of actual times to uncorrected estimates with the overhead.
        self._ratios: dict[_PoolTier, collections.deque[float]] = {}
        # Bounded median ratios, by which estimates are multiplied.
        self._factors: dict[_PoolTier, float] = {}

    def expected_ms(self, pool: str, tier: int, estimate_ms: float) -> float:
        """Return the expected time to a first event.

        :param pool: name of the pool.
        :param tier: priority tier of the prompt, 0 the most urgent.
        :param estimate_ms: milliseconds estimated from the pending tokens.
        :returns: expected milliseconds to the first event.
        """
        factor = self._factors.get((pool, tier), 1)
        return self._add_overhead(pool, estimate_ms) * factor

    def note(
        self,
        pool: str,
        tier: int,
        estimate_ms: float,
        actual_ms: float,
    ) -> None:
        """Record a first event.

        :param pool: name of the pool.
        :param tier: priority tier of the prompt, 0 the most urgent.
        :param estimate_ms: milliseconds estimated from the pending tokens.
        :param actual_ms: actual milliseconds to the first event.
        """
        super().note(pool, tier, estimate_ms, actual_ms)
        ratio = actual_ms / self._add_overhead(pool, estimate_ms)
        key = (pool, tier)
        _add_ratio(self._ratios, key, ratio)
        ratios = self._ratios[key]
        if len(ratios) >= _MIN_SAMPLES:
            median = quantile(ratios, _MEDIAN_QUANTILE)
            self._factors[key] = min(_MAX_FACTOR, max(_MIN_FACTOR, median))

    def _add_overhead(self, pool: str, estimate_ms: float) -> float:
        overhead_ms = self._get_overhead_ms(pool)
        if overhead_ms is None:
            overhead_ms = _DEFAULT_OVERHEAD_MS
        return overhead_ms + estimate_ms


class StartEstimatesFactory(Protocol):
    """Creates estimates of first events."""

    def __call__(
        self, *, get_fixed_overhead_ms: FixedOverheadGetter
    ) -> StartEstimates:
        """Create estimates without samples."""


def _summarize(ratios: Collection[float]) -> StartErrorStats:
    return StartErrorStats(
        median=quantile(ratios, _MEDIAN_QUANTILE),
        worst_tenth=quantile(ratios, _WORST_TENTH_QUANTILE),
    )


def _add_ratio(
    ratios: dict[_PoolTier, collections.deque[float]],
    key: _PoolTier,
    ratio: float,
) -> None:
    ratios.setdefault(key, collections.deque(maxlen=_MAX_SAMPLES)).append(ratio)


start_estimates: Final[Registry[StartEstimatesFactory]] = Registry(
    kind='start estimates',
)
start_estimates.register('plain')(StartEstimates)
start_estimates.register('corrected')(CorrectedEstimates)
