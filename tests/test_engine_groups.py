"""Tests of the policies that group engines by token gap bounds."""

from __future__ import annotations

import itertools
import random

import pytest

from wingfall.gateway.rules.placement.engine_classes import PoolEngine
from wingfall.gateway.rules.placement.engine_groups import (
    EngineGrouping,
    PoolState,
    group_by_gap,
    reserve_none,
)

SHORT_MS = 200
LONG_MS = 800
QUICK = ('q-0', 'q-1', 'q-2', 'q-3')
SLOW = tuple(f's-{number}' for number in range(12))
SLOTS = 100


def make_engine(
    name: str, gap_ms: int, rate: float, **fields: object
) -> PoolEngine:
    """Create an engine with equal token gaps during prefills."""
    return PoolEngine(
        **{
            'name': name,
            'rate': rate,
            'slots': SLOTS,
            'full_gaps_ms': tuple(itertools.repeat(gap_ms, 8)),
            'typical_gap_ms': gap_ms,
            **fields,
        }
    )


def make_engines(quick_ms: int = 160, slow_ms: int = 360) -> list[PoolEngine]:
    """Create quick and slow engines."""
    return [
        *(make_engine(name, quick_ms, 160) for name in QUICK),
        *(make_engine(name, slow_ms, 70) for name in SLOW),
    ]


def make_pool(members: list[PoolEngine], **fields: object) -> PoolState:
    """Create a pool with a short and a long token gap bound."""
    return PoolState(
        **{
            'name': 'engines',
            'engines': members,
            'gap_bounds_ms': (SHORT_MS, LONG_MS),
            'streams': {},
            'classes': {},
            'fit': {},
            **fields,
        }
    )


def group(members: list[PoolEngine], **fields: object) -> EngineGrouping:
    """Return the grouping of a pool, which must not be None."""
    grouping = group_by_gap(make_pool(members, **fields))
    assert grouping is not None
    return grouping


def _jitter(gap_ms: int) -> int:
    # The measurement of one gateway, at most 8 percent off.
    return int(gap_ms * random.uniform(0.92, 1.08))


def count_closed(streams: int) -> int:
    """Return the number of engines closed for short-gap streams."""
    return group(make_engines(), streams={SHORT_MS: streams}).closed[SHORT_MS]


@pytest.mark.parametrize(
    'ungrouped',
    [
        make_pool(make_engines()[2:5]),
        make_pool(make_engines(), gap_bounds_ms=(SHORT_MS,)),
        make_pool(make_engines(quick_ms=60, slow_ms=130)),
        make_pool([make_engine(name, 0, 70, full_gaps_ms=()) for name in SLOW]),
        make_pool([make_engine(name, 360, 70) for name in SLOW]),
        make_pool([make_engine('q-0', 160, 160), *make_engines()[4:]]),
        make_pool(
            make_engines(quick_ms=250, slow_ms=500), streams={SHORT_MS: 99}
        ),
    ],
    ids=[
        'few engines',
        'one bound',
        'all engines keep all bounds',
        'no gap samples',
        'equal engines',
        'one quick engine',
        'no engine keeps the short bound',
    ],
)
def test_pool_is_not_grouped_without_need(ungrouped: PoolState):
    assert group_by_gap(ungrouped) is None


def test_baseline_policy_returns_no_grouping():
    assert (
        reserve_none(make_pool(make_engines(), streams={SHORT_MS: 400})) is None
    )


def test_quick_engines_keep_short_gap_bound_during_prefills():
    grouping = group(make_engines())
    assert set(grouping.order[: len(QUICK)]) == set(QUICK)
    assert grouping.fit_counts == {SHORT_MS: len(QUICK), LONG_MS: 16}
    assert grouping.closed == {SHORT_MS: 0, LONG_MS: 0}


def test_order_is_equal_for_slightly_different_measurements():
    random.seed(1)
    orders = set()
    for _gateway in range(20):
        measured = [
            make_engine(each.name, _jitter(each.full_gaps_ms[0]), each.rate / 2)
            for each in make_engines()
        ]
        orders.add(tuple(group(measured).order))
    assert len(orders) == 1


def test_engine_with_few_samples_keeps_its_class():
    unmeasured = [
        *make_engines(),
        make_engine('new', 0, 500, full_gaps_ms=(), typical_gap_ms=None),
    ]
    assert group(unmeasured).classes['new'] == 1
    assert group(unmeasured, classes={'new': 0}).classes['new'] == 0


def test_engine_keeps_its_class_until_clearly_outside():
    # 1.3 times as fast as the median: between the two ratios.
    borderline = [
        *make_engines(),
        make_engine('doubtful', 160, 70, typical_gap_ms=277),
    ]
    assert group(borderline).classes['doubtful'] == 1
    assert group(borderline, classes={'doubtful': 0}).classes['doubtful'] == 0


def test_class_stays_fit_until_gaps_clearly_exceed_bound():
    longer = make_engines(quick_ms=215)
    assert group_by_gap(make_pool(longer)) is None
    grouping = group(longer, fit={SHORT_MS: 1})
    assert grouping.fit_counts[SHORT_MS] == len(QUICK)
    assert group_by_gap(make_pool(make_engines(250), fit={SHORT_MS: 1})) is None


def test_outlier_gap_does_not_make_class_unfit():
    gaps = (160, 160, 160, 160, 160, 160, 160, 900)
    outlier = make_engine(QUICK[0], 160, 160, full_gaps_ms=gaps)
    assert group([outlier, *make_engines()[1:]]).fit_counts[SHORT_MS] == len(
        QUICK
    )


def test_number_of_closed_engines_grows_with_streams():
    # Four engines serve 140 streams beside prefills.
    assert count_closed(100) == 0
    assert 0 < count_closed(200) < count_closed(300)


def test_closed_engines_have_at_most_half_the_prefill_rate():
    grouping = group(make_engines(), streams={SHORT_MS: 5000})
    rates = {each.name: each.rate for each in make_engines()}
    closed_names = grouping.order[: grouping.closed[SHORT_MS]]
    assert sum(map(rates.get, closed_names)) <= sum(rates.values()) / 2


def test_longer_gap_bounds_have_larger_groups():
    grouping = group(
        make_engines(),
        gap_bounds_ms=(SHORT_MS, 300, LONG_MS),
        streams={SHORT_MS: 150, 300: 150},
    )
    assert grouping.closed[SHORT_MS] <= grouping.closed[300]
    assert grouping.fit_counts[SHORT_MS] <= grouping.fit_counts[300]


def test_max_closed_leaves_half_the_prefill_rate():
    grouping = group(make_engines(), streams={SHORT_MS: 10_000})
    rates = {each.name: each.rate for each in make_engines()}
    open_rate = sum(
        rates[name] for name in grouping.order[grouping.max_closed :]
    )
    assert open_rate >= sum(rates.values()) / 2
    assert grouping.closed[SHORT_MS] <= grouping.max_closed
