"""Speed classes of engines and their token gaps during prefills.

All gateways should agree on the classes although their measurements differ a
little: only engines of clearly unlike speed are put into different classes, and
an engine stays in its class until it is clearly outside.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.reading_window import quantile

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

# Engine classes, in the order in which streams with short token gaps use them.
_QUICK: Final = 0
_USUAL: Final = 1
_SLOW: Final = 2
# Ratio to the median token gap during prefills from which an engine is quick
# (shorter gaps) or slow (longer gaps). The estimates of two gateways for one
# engine differ by less, so they seldom put it into different classes.
_ENTER_RATIO: Final = 1.4
# Ratio to the median below which an engine leaves its quick or slow class.
_KEEP_RATIO: Final = 1.25
# Fraction of streams whose longest token gap must be within the bound before
# prefills count as harmless: one in ten may meet a slow period of its engine.
_IN_BOUND_FRACTION: Final = 0.9
# Factor of the bound above which prefills stop counting as harmless: the token
# gaps of an engine vary by as much over time.
_STAY_FIT_FACTOR: Final = 1.15
# Factor of the bound within which token gaps of slower classes must be: their
# streams could go to quicker engines, and a slow period lengthens gaps by half
# or more.
_SLOWER_CLASS_FACTOR: Final = 0.7
# Minimum number of token gap samples of a class. With fewer, a single outlier
# would determine the quantile.
_MIN_GAP_SAMPLES: Final = 12


@final
class PoolEngine:
    """The speed, slots and token gaps of one engine."""

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
        """Initialize the data of an engine.

        :param name: name of the engine.
        :param rate: prefill rate in tokens per millisecond.
        :param slots: number of requests that it runs at once.
        :param full_gaps_ms: longest token gaps of its recent streams under
            uninterrupted prefills, in milliseconds.
        :param typical_gap_ms: the one of these gaps that represents the speed
            of the engine, None if there are too few samples.
        """
        self.name = name
        self.rate = rate
        self.slots = slots
        self.full_gaps_ms = full_gaps_ms
        self.typical_gap_ms = typical_gap_ms


def classify_engines(
    engines: Sequence[PoolEngine],
    classes: Mapping[str, int],
) -> dict[str, int]:
    """Classify engines as quick, usual or slow by their token gaps.

    An engine with too few samples keeps its class, which is usual at first.

    :param engines: engines to classify.
    :param classes: classes of the last decision by engine name.
    :returns: 0 for quick, 1 for usual, 2 for slow, by engine name.
    """
    gaps = [each.typical_gap_ms for each in engines]
    samples = [gap_ms for gap_ms in gaps if gap_ms]
    median_ms = statistics.median(samples) if samples else 0
    updated = {}
    for engine in engines:
        previous = classes.get(engine.name, _USUAL)
        gap_ms = engine.typical_gap_ms
        updated[engine.name] = (
            _classify_ratio(median_ms / gap_ms, previous)
            if gap_ms
            else previous
        )
    return updated


def estimate_class_gaps(
    engines: Iterable[PoolEngine],
    classes: Mapping[str, int],
) -> dict[int, float]:
    """Estimate the token gaps during prefills of each engine class.

    A class with too few samples takes the gap of the nearest class that has
    enough, scaled by the ratio of their prefill rates.

    :param engines: engines of all classes.
    :param classes: class by engine name.
    :returns: token gap in milliseconds by class, empty if no class has enough
        samples.
    """
    members: dict[int, list[PoolEngine]] = {}
    for engine in engines:
        members.setdefault(classes[engine.name], []).append(engine)
    tokens = {}
    for number, group in members.items():
        gap_ms = _find_gap_ms(group)
        if gap_ms is not None:
            # Tokens that an engine prefills between two events.
            tokens[number] = gap_ms * _median_rate(group)
    if not tokens:
        return {}
    return {
        number: _find_nearest(tokens, number) / _median_rate(group)
        for number, group in members.items()
    }


def _classify_ratio(ratio: float, previous: int) -> int:
    quick_ratio = _KEEP_RATIO if previous == _QUICK else _ENTER_RATIO
    slow_ratio = _KEEP_RATIO if previous == _SLOW else _ENTER_RATIO
    if ratio >= quick_ratio:
        return _QUICK
    return _SLOW if ratio <= 1 / slow_ratio else _USUAL


def _median_rate(engines: Iterable[PoolEngine]) -> float:
    return statistics.median(each.rate for each in engines)


def _find_nearest(tokens: Mapping[int, float], number: int) -> float:
    return tokens[min(tokens, key=lambda other: abs(other - number))]


def _find_gap_ms(engines: Iterable[PoolEngine]) -> float | None:
    gaps = [gap_ms for each in engines for gap_ms in each.full_gaps_ms]
    if len(gaps) < _MIN_GAP_SAMPLES:
        return None
    return quantile(gaps, _IN_BOUND_FRACTION)


def count_fit_classes(
    gaps: Mapping[int, float], gap_ms: int, previous: int
) -> int:
    """Count the classes that keep a token gap bound during prefills.

    :param gaps: token gap during prefills in milliseconds by class.
    :param gap_ms: token gap bound of the stream in milliseconds.
    :param previous: number of such classes in the last decision.
    :returns: number of such classes, counted from the quickest.
    """
    count = 0
    for number in sorted(gaps):
        bound_ms = gap_ms * _SLOWER_CLASS_FACTOR if count else gap_ms
        if count < previous:
            bound_ms *= _STAY_FIT_FACTOR
        if gaps[number] > bound_ms:
            break
        count += 1
    return count
