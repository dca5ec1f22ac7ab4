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

# Part of an engine's slots for streams with short gaps. Each stream makes the
# steps of all longer, and its own prompt is read there too: with half of the
# slots taken an engine reads half of the time, as it does beside long reads.
_BEARS_PART: Final = 0.3
# Times the streams that run which engines are kept for: a burst grows by a
# quarter in the second that it takes until all gateways know of it.
_RESERVE: Final = 1.25
# Engines in all of which nothing is kept: with one or two for long reads alone
# a loss of one would leave none.
_FEW_ENGINES: Final = 3
# Part of the engines that is never closed to long reads.
_OPEN_PART: Final = 0.5


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

    __slots__ = ('classes', 'fit', 'fit_engines', 'needed', 'order')

    def __init__(
        self,
        *,
        order: Sequence[str],
        classes: Mapping[str, int],
        fit: Mapping[int, int],
        fit_engines: Mapping[int, int],
        needed: Mapping[int, int],
    ) -> None:
        """Keep a decision.

        :param order: the engines, those for the shortest gaps first.
        :param classes: 0 for quick engines, 1 for usual, 2 for slow ones.
        :param fit: for each gap, in how many classes reads are harmless.
        :param fit_engines: for each gap, how many engines of the order keep it
            beside reads.
        :param needed: for each gap, how many engines of the order the streams
            need that bear it or less.
        """
        self.order = order
        self.classes = classes
        self.fit = fit
        self.fit_engines = fit_engines
        self.needed = needed


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
        reads, or where reads are harmless everywhere.
    """
    if len(pool.engines) <= _FEW_ENGINES or len(pool.gap_bounds_ms) < 2:
        return None
    classes = class_engines(pool.engines, pool.classes)
    gaps = class_gaps(pool.engines, classes)
    if not gaps:
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
    if min(fit_engines.values()) == len(engines):
        return None
    return Parting(
        order=[each.name for each in engines],
        classes=classes,
        fit=fit,
        fit_engines=fit_engines,
        needed=_count_needed(pool, engines, fit_engines),
    )


def _rank(pool: str, engine: str) -> bytes:
    return hashlib.blake2b(f'{pool}/{engine}'.encode(), digest_size=8).digest()


def _count_engines(classes: Mapping[str, int], chosen: Sequence[int]) -> int:
    return sum(number in chosen for number in classes.values())


def _count_needed(
    pool: PoolState,
    engines: Sequence[PoolEngine],
    fit_engines: Mapping[int, int],
) -> dict[int, int]:
    needed = {}
    streams = 0
    for gap_ms in pool.gap_bounds_ms:
        streams += pool.streams.get(gap_ms, 0)
        fit = fit_engines[gap_ms]
        most = fit + int((len(engines) - fit) * _OPEN_PART)
        needed[gap_ms] = min(most, _count_bearing(engines, streams * _RESERVE))
    return needed


def _count_bearing(engines: Sequence[PoolEngine], streams: float) -> int:
    borne: float = 0
    for count, engine in enumerate(engines):
        if borne >= streams:
            return count
        borne += engine.slots * _BEARS_PART
    return len(engines)
