"""Policies that reserve engines of a pool for streams with short token gaps.

Long prefills share the pool with streams that need short token gaps: during a
prefill all streams of the engine pause, longer at slower engines. Such streams
go primarily to the engines that keep the token gap bound also during prefills;
where these are too few, further engines are closed to long prefills.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.rules.placement.engine_classes import (
    classify_engines,
    count_fit_classes,
    estimate_class_gaps,
)
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wingfall.gateway.rules.placement.engine_classes import PoolEngine

# Fraction of an engine's slots for short-gap streams beside long prefills. Each
# stream makes the steps longer, those of prefills too, and an engine that keeps
# the bound during prefills may keep it by little.
_OPEN_SLOT_FRACTION: Final = 0.35
# Fraction of the slots of an engine that is closed to long prefills and whose
# token gaps during these equal the bound; scaled down as they exceed it. Each
# stream and each prefill of a short prompt makes its steps longer.
_CLOSED_SLOT_FRACTION: Final = 0.6
_MAX_CLOSED_SLOT_FRACTION: Final = 0.7
# Factor of the running streams for which engines are reserved: a burst that
# doubles in two seconds grows by a tenth until all gateways know of it.
_STREAM_HEADROOM_FACTOR: Final = 1.1
# Pool size up to which no engine is reserved: with only one or two engines for
# long prefills, the loss of one could leave none.
_SMALL_POOL_ENGINES: Final = 3
# Minimum fraction of the engines in the quickest class: fewer would fill up at
# once, and among equal engines a few always seem quicker.
_MIN_QUICKEST_FRACTION: Final = 0.125
# Maximum fraction of a pool's prefill rate that may be closed to long prefills:
# callers of long prompts wait for the rest.
_MAX_CLOSED_RATE_FRACTION: Final = 0.5


@final
class PoolState:
    """The state of a pool from which its engines are grouped."""

    __slots__ = (
        'classes',
        'engines',
        'fit',
        'gap_bounds_ms',
        'name',
        'streams',
    )

    def __init__(
        self,
        *,
        name: str,
        engines: Sequence[PoolEngine],
        gap_bounds_ms: Sequence[int],
        streams: Mapping[int, int],
        classes: Mapping[str, int],
        fit: Mapping[int, int],
    ) -> None:
        """Initialize the state of a pool.

        :param name: name of the pool.
        :param engines: engines of the pool that take new work.
        :param gap_bounds_ms: token gap bounds of its routes in milliseconds,
            ascending, without duplicates.
        :param streams: number of running streams of short prompts, of all
            gateways, by token gap bound.
        :param classes: classes of the last decision by engine name.
        :param fit: number of classes that kept the bound during prefills in the
            last decision, by token gap bound.
        """
        self.name = name
        self.engines = engines
        self.gap_bounds_ms = gap_bounds_ms
        self.streams = streams
        self.classes = classes
        self.fit = fit


@final
class EngineGrouping:
    """How the engines of a pool should be grouped.

    Streams with a token gap bound go to the head of one order of engines.
    """

    __slots__ = (
        'classes',
        'closed',
        'fit',
        'fit_counts',
        'max_closed',
        'order',
    )

    def __init__(
        self,
        *,
        order: Sequence[str],
        classes: Mapping[str, int],
        fit: Mapping[int, int],
        fit_counts: Mapping[int, int],
        closed: Mapping[int, int],
        max_closed: int,
    ) -> None:
        """Initialize a grouping.

        :param order: engine names, ordered from the shortest token gaps.
        :param classes: 0 for quick, 1 for usual, 2 for slow engines, by name.
        :param fit: number of classes that keep the bound during prefills, by
            token gap bound.
        :param fit_counts: number of engines of the order that keep the bound
            during prefills, by token gap bound.
        :param closed: number of engines to close to long prefills for streams
            with this or a shorter bound, by token gap bound.
        :param max_closed: maximum number of closed engines, so that enough
            prefill rate remains.
        """
        self.order = order
        self.max_closed = max_closed
        self.classes = classes
        self.fit = fit
        self.fit_counts = fit_counts
        self.closed = closed


EngineGroupPolicy = Callable[['PoolState'], 'EngineGrouping | None']
engine_groups: Final[Registry[EngineGroupPolicy]] = Registry(
    kind='engine groups'
)


@engine_groups.register('none')
def reserve_none(pool: PoolState) -> None:
    """Reserve no engines, as the baseline.

    :param pool: state of the pool, not used.
    """


@engine_groups.register('by_gap')
def group_by_gap(pool: PoolState) -> EngineGrouping | None:
    """Group the engines of a pool by the token gap bounds of its streams.

    :param pool: state of the pool.
    :returns: the engines for each bound; None where all engines serve all
        streams: in a small pool, with a single bound, without token gap
        samples, with engines of equal speed, or where for each bound either
        all engines keep it during prefills or none does.
    """
    if len(pool.engines) <= _SMALL_POOL_ENGINES or len(pool.gap_bounds_ms) < 2:
        return None
    classes = classify_engines(pool.engines, pool.classes)
    gaps = estimate_class_gaps(pool.engines, classes)
    if not gaps or not _is_separable(classes):
        return None
    engines = sorted(
        pool.engines,
        key=lambda each: (classes[each.name], _hash_rank(pool.name, each.name)),
    )
    fit = {
        gap_ms: count_fit_classes(gaps, gap_ms, pool.fit.get(gap_ms, 0))
        for gap_ms in pool.gap_bounds_ms
    }
    fit_counts = {
        gap_ms: _count_members(classes, sorted(gaps)[:count])
        for gap_ms, count in fit.items()
    }
    if all(count in {0, len(engines)} for count in fit_counts.values()):
        return None
    full_gaps_ms = [gaps[classes[each.name]] for each in engines]
    return EngineGrouping(
        order=[each.name for each in engines],
        classes=classes,
        fit=fit,
        fit_counts=fit_counts,
        closed=_count_closed_by_bound(pool, engines, fit_counts, full_gaps_ms),
        max_closed=_count_max_closed(engines),
    )


def _is_separable(classes: Mapping[str, int]) -> bool:
    numbers = list(classes.values())
    first_count = numbers.count(min(numbers))
    return len(numbers) * _MIN_QUICKEST_FRACTION <= first_count < len(numbers)


def _count_max_closed(engines: Sequence[PoolEngine]) -> int:
    rate_budget = _MAX_CLOSED_RATE_FRACTION * sum(each.rate for each in engines)
    for count, engine in enumerate(engines):
        rate_budget -= engine.rate
        if rate_budget < 0:
            return count
    return len(engines)


def _hash_rank(pool: str, engine: str) -> bytes:
    return hashlib.blake2b(f'{pool}/{engine}'.encode(), digest_size=8).digest()


def _count_members(classes: Mapping[str, int], numbers: Sequence[int]) -> int:
    return sum(number in numbers for number in classes.values())


def _count_closed_by_bound(
    pool: PoolState,
    engines: Sequence[PoolEngine],
    fit_counts: Mapping[int, int],
    full_gaps_ms: Sequence[float],
) -> dict[int, int]:
    closed = {}
    streams = 0
    for gap_ms in pool.gap_bounds_ms:
        streams += pool.streams.get(gap_ms, 0)
        closed[gap_ms] = _count_closed(
            engines,
            fit_counts[gap_ms],
            [_scale_closed_fraction(each, gap_ms) for each in full_gaps_ms],
            streams * _STREAM_HEADROOM_FACTOR,
        )
    return closed


def _count_closed(
    engines: Sequence[PoolEngine],
    fit: int,
    fractions: Sequence[float],
    streams: float,
) -> int:
    """Count the engines to close to long prefills for some streams.

    :param engines: engines in order.
    :param fit: number of engines that keep the bound during prefills.
    :param fractions: usable fraction of the slots of each engine if closed.
    :param streams: number of streams, with headroom.
    :returns: number of engines to close, from the head of the order.
    """
    if not fit:
        return 0
    open_capacity = [each.slots * _OPEN_SLOT_FRACTION for each in engines[:fit]]
    capacity = sum(open_capacity)
    rate_budget = _MAX_CLOSED_RATE_FRACTION * sum(each.rate for each in engines)
    for count, engine in enumerate(engines):
        rate_budget -= engine.rate
        if capacity >= streams or rate_budget < 0:
            return count
        capacity += engine.slots * fractions[count] - sum(
            open_capacity[count : count + 1]
        )
    return len(engines)


def _scale_closed_fraction(full_gap_ms: float, gap_ms: int) -> float:
    return min(
        _MAX_CLOSED_SLOT_FRACTION, _CLOSED_SLOT_FRACTION * gap_ms / full_gap_ms
    )
