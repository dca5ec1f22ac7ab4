"""Quick engines of a pool, usual and slow ones, and their gaps beside reads.

All gateways should agree on the classes although what they know differs a
little: only what is clearly apart is told apart, and an engine stays in its
class until it is clearly out of it.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.reading_window import quantile

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Classes of engines, in the order in which streams with short gaps take them.
_QUICK: Final = 0
_USUAL: Final = 1
_SLOW: Final = 2
# Engines whose gaps beside reads are so many times shorter than the median are
# quick ones, those whose gaps are so many times longer are slow ones. What two
# gateways take for an engine's gaps differs by less, so that they seldom put it
# into unlike classes.
_APART: Final = 1.4
# An engine stays in its class until it is nearer to the median than this.
_STILL_APART: Final = 1.25
# Part of the streams whose longest gap must be within the bound before reads
# beside them count as harmless: one in ten may meet a slow spell of its engine.
_IN_BOUND_PART: Final = 0.9
# Times the bound at which reads count as harmless no longer: by as much do the
# gaps of an engine differ from one time to the next.
_STILL_FIT: Final = 1.15
# Part of the bound within which gaps beside reads at slower engines must be:
# their streams could go to quicker ones, and a slow spell makes gaps longer by
# half and more.
_CLEARLY_FIT: Final = 0.7
# Longest gaps that must be known of a class of engines. Of fewer, one odd
# stream would be what the quantile above takes.
_NEEDED_GAPS: Final = 12


@final
class PoolEngine:
    """What is known of one engine."""

    __slots__ = ('full_gaps_ms', 'name', 'rate', 'slots', 'typical_gap_ms')

    def __init__(
        self,
        *,
        name: str,
        rate: float,
        slots: int,
        full_gaps_ms: Sequence[int] = (),
        typical_gap_ms: float | None = None,
    ) -> None:
        """Describe an engine.

        :param name: its name.
        :param rate: tokens that it reads in a millisecond.
        :param slots: requests that it runs at once.
        :param full_gaps_ms: the longest gaps of its last streams beside reads
            that never ended, in milliseconds.
        :param typical_gap_ms: one of them that tells the engine's speed, None
            if too few were seen.
        """
        self.name = name
        self.rate = rate
        self.slots = slots
        self.full_gaps_ms = full_gaps_ms
        self.typical_gap_ms = typical_gap_ms


def class_engines(
    engines: Sequence[PoolEngine],
    classes: Mapping[str, int],
) -> dict[str, int]:
    """Tell quick engines, usual ones and slow ones apart.

    By their gaps beside reads. An engine of which too little is seen stays
    what it was, a usual one at first.

    :param engines: the engines.
    :param classes: their classes by the last decision.
    :returns: 0, 1 or 2 for each engine by name.
    """
    gaps = [each.typical_gap_ms for each in engines]
    seen = [gap_ms for gap_ms in gaps if gap_ms]
    median_ms = statistics.median(seen) if seen else 0
    found = {}
    for engine in engines:
        known = classes.get(engine.name, _USUAL)
        gap_ms = engine.typical_gap_ms
        found[engine.name] = (
            _class_rate(median_ms / gap_ms, known) if gap_ms else known
        )
    return found


def class_gaps(
    engines: Iterable[PoolEngine],
    classes: Mapping[str, int],
) -> dict[int, float]:
    """Tell how long gaps beside reads are in each class of engines.

    A class of which too little is known has the gaps of the nearest one that is
    known, longer by as much as its engines are slower.

    :param engines: the engines.
    :param classes: their classes.
    :returns: milliseconds by class, nothing if no class is known.
    """
    members: dict[int, list[PoolEngine]] = {}
    for engine in engines:
        members.setdefault(classes[engine.name], []).append(engine)
    known = {}
    for number, same in members.items():
        gap_ms = _seen_gap(same)
        if gap_ms is not None:
            # What an engine gets through between two events.
            known[number] = gap_ms * _median_rate(same)
    if not known:
        return {}
    return {
        number: _nearest(known, number) / _median_rate(same)
        for number, same in members.items()
    }


def _class_rate(ratio: float, known: int) -> int:
    quick_from = _STILL_APART if known == _QUICK else _APART
    slow_from = _STILL_APART if known == _SLOW else _APART
    if ratio >= quick_from:
        return _QUICK
    return _SLOW if ratio <= 1 / slow_from else _USUAL


def _median_rate(engines: Iterable[PoolEngine]) -> float:
    return statistics.median(each.rate for each in engines)


def _nearest(known: Mapping[int, float], number: int) -> float:
    return known[min(known, key=lambda other: abs(other - number))]


def _seen_gap(engines: Iterable[PoolEngine]) -> float | None:
    gaps = [gap_ms for each in engines for gap_ms in each.full_gaps_ms]
    if len(gaps) < _NEEDED_GAPS:
        return None
    return quantile(gaps, _IN_BOUND_PART)


def count_fit(gaps: Mapping[int, float], gap_ms: int, known: int) -> int:
    """Count the classes in which reads are harmless to a stream.

    :param gaps: gaps beside reads by class.
    :param gap_ms: the longest gap in milliseconds that the stream bears.
    :param known: how many there were by the last decision.
    :returns: how many, the quickest first.
    """
    count = 0
    for number in sorted(gaps):
        bound_ms = gap_ms * _CLEARLY_FIT if count else gap_ms
        if count < known:
            bound_ms *= _STILL_FIT
        if gaps[number] > bound_ms:
            break
        count += 1
    return count
