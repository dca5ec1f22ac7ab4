"""Which engines of a pool are for streams that bear only short gaps.

Answers a pool that reads long prompts beside streams whose token gaps must be
short: while an engine reads, all its streams pause, and the longer the slower
it reads. Streams go first to the engines that keep their gaps also beside
reads; where these are too few, further ones are closed to long reads.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.rules.placement.engine_classes import (
    class_engines,
    class_gaps,
    count_fit,
)
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wingfall.gateway.rules.placement.engine_classes import PoolEngine

# Part of an engine's slots for streams with short gaps beside long reads. Each
# stream makes the steps longer, those of reads too, and an engine that keeps a
# gap beside reads may keep it by little.
_BESIDE_PART: Final = 0.35
# Part of its slots if it takes no long reads and its gaps beside them are just
# as long as its streams bear; less by as much as they are longer. Its steps are
# longer with each stream and with the short prompts that it reads.
_CLOSED_PART: Final = 0.6
_MOST_CLOSED_PART: Final = 0.7
# Times the streams that run which engines are kept for: a burst that doubles in
# two seconds grows by a tenth until all gateways know of it.
_RESERVE: Final = 1.1
# Engines in all of which nothing is kept: with one or two for long reads alone
# a loss of one would leave none.
_FEW_ENGINES: Final = 3
# Part of the engines that must be in the first class: fewer would be filled at
# once, and among engines that are alike a few always seem quicker.
_FIRST_CLASS_PART: Final = 0.125
# Part of what a pool reads that may be given up for short gaps: callers of long
# prompts wait for the rest.
_GIVEN_UP_PART: Final = 0.5


@final
class PoolState:
    """What is known of a pool when its engines are parted."""

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
        """Describe a pool.

        :param name: its name.
        :param engines: its engines that take new work.
        :param gap_bounds_ms: the longest token gaps that the streams of its
            routes bear, ascending, each once.
        :param streams: how many streams of short prompts run in the pool, by
            all gateways, that bear which gap.
        :param classes: the classes of its engines by the last decision.
        :param fit: for each gap, in how many classes reads were harmless by the
            last decision.
        """
        self.name = name
        self.engines = engines
        self.gap_bounds_ms = gap_bounds_ms
        self.streams = streams
        self.classes = classes
        self.fit = fit


@final
class Parting:
    """How the engines of a pool should be parted.

    The streams that bear a gap go to the first engines of one order.
    """

    __slots__ = (
        'classes',
        'closed',
        'fit',
        'fit_engines',
        'most_closed',
        'order',
    )

    def __init__(
        self,
        *,
        order: Sequence[str],
        classes: Mapping[str, int],
        fit: Mapping[int, int],
        fit_engines: Mapping[int, int],
        closed: Mapping[int, int],
        most_closed: int,
    ) -> None:
        """Keep a decision.

        :param order: the engines, those for the shortest gaps first.
        :param classes: 0 for quick engines, 1 for usual, 2 for slow ones.
        :param fit: for each gap, in how many classes reads are harmless.
        :param fit_engines: for each gap, how many engines of the order keep it
            beside reads.
        :param closed: for each gap, how many engines of the order should take
            no long reads for the streams that bear it or less.
        :param most_closed: how many may be, so that enough is left to read
            with.
        """
        self.order = order
        self.most_closed = most_closed
        self.classes = classes
        self.fit = fit
        self.fit_engines = fit_engines
        self.closed = closed


EngineGroups = Callable[['PoolState'], 'Parting | None']
engine_groups: Final[Registry[EngineGroups]] = Registry(kind='engine groups')


@engine_groups.register('none')
def keep_none(pool: PoolState) -> None:
    """Part no pool, as the baseline.

    :param pool: the pool, which doesn't matter.
    """


@engine_groups.register('by_gap')
def part_by_gap(pool: PoolState) -> Parting | None:
    """Part a pool by the gaps that its streams bear.

    :param pool: the pool.
    :returns: the engines for each gap; None where all are for all: in a small
        pool, with one kind of stream, where nothing is known of gaps beside
        reads, where engines are alike, or where reads are harmless to all
        streams, or harmful to all of a kind.
    """
    if len(pool.engines) <= _FEW_ENGINES or len(pool.gap_bounds_ms) < 2:
        return None
    classes = class_engines(pool.engines, pool.classes)
    gaps = class_gaps(pool.engines, classes)
    if not gaps or not _differ(classes):
        return None
    engines = sorted(
        pool.engines,
        key=lambda each: (classes[each.name], _rank(pool.name, each.name)),
    )
    fit = {
        gap_ms: count_fit(gaps, gap_ms, pool.fit.get(gap_ms, 0))
        for gap_ms in pool.gap_bounds_ms
    }
    fit_engines = {
        gap_ms: _count_engines(classes, sorted(gaps)[:count])
        for gap_ms, count in fit.items()
    }
    if all(count in {0, len(engines)} for count in fit_engines.values()):
        return None
    full_gaps_ms = [gaps[classes[each.name]] for each in engines]
    return Parting(
        order=[each.name for each in engines],
        classes=classes,
        fit=fit,
        fit_engines=fit_engines,
        closed=_count_all_closed(pool, engines, fit_engines, full_gaps_ms),
        most_closed=_count_most_closed(engines),
    )


def _differ(classes: Mapping[str, int]) -> bool:
    numbers = list(classes.values())
    first = numbers.count(min(numbers))
    return len(numbers) * _FIRST_CLASS_PART <= first < len(numbers)


def _count_most_closed(engines: Sequence[PoolEngine]) -> int:
    left = _GIVEN_UP_PART * sum(each.rate for each in engines)
    for count, engine in enumerate(engines):
        left -= engine.rate
        if left < 0:
            return count
    return len(engines)


def _rank(pool: str, engine: str) -> bytes:
    return hashlib.blake2b(f'{pool}/{engine}'.encode(), digest_size=8).digest()


def _count_engines(classes: Mapping[str, int], chosen: Sequence[int]) -> int:
    return sum(number in chosen for number in classes.values())


def _count_all_closed(
    pool: PoolState,
    engines: Sequence[PoolEngine],
    fit_engines: Mapping[int, int],
    full_gaps_ms: Sequence[float],
) -> dict[int, int]:
    closed = {}
    streams = 0
    for gap_ms in pool.gap_bounds_ms:
        streams += pool.streams.get(gap_ms, 0)
        closed[gap_ms] = _count_closed(
            engines,
            fit_engines[gap_ms],
            [_closed_part(full_ms, gap_ms) for full_ms in full_gaps_ms],
            streams * _RESERVE,
        )
    return closed


def _count_closed(
    engines: Sequence[PoolEngine],
    fit: int,
    parts: Sequence[float],
    streams: float,
) -> int:
    """Count the engines that must be closed for some streams.

    :param engines: the engines in order.
    :param fit: how many of them keep the gap beside reads.
    :param parts: for each the part of its slots that it bears if closed.
    :param streams: how many streams there are.
    :returns: how many, the first of the order.
    """
    if not fit:
        return 0
    beside = [each.slots * _BESIDE_PART for each in engines[:fit]]
    borne = sum(beside)
    left = _GIVEN_UP_PART * sum(each.rate for each in engines)
    for count, engine in enumerate(engines):
        left -= engine.rate
        if borne >= streams or left < 0:
            return count
        borne += engine.slots * parts[count] - sum(beside[count : count + 1])
    return len(engines)


def _closed_part(full_gap_ms: float, gap_ms: int) -> float:
    return min(_MOST_CLOSED_PART, _CLOSED_PART * gap_ms / full_gap_ms)
