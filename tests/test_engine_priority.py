"""Priority that is sent to an engine with a prompt."""

from __future__ import annotations

import itertools

import pytest

from wingfall.gateway.rules.placement.engine_priority import (
    PRIORITY_LEVELS,
    engine_priority,
)

CUSTOMER_TIERS = (None, *range(PRIORITY_LEVELS))


@pytest.mark.parametrize('count', range(1, PRIORITY_LEVELS + 1))
def test_more_urgent_route_goes_first_for_all_customers(count: int):
    tiers = range(count)
    for urgent, lesser in itertools.combinations(tiers, 2):
        for first, second in itertools.product(CUSTOMER_TIERS, CUSTOMER_TIERS):
            assert engine_priority(urgent, first, tiers) < engine_priority(
                lesser, second, tiers
            )


@pytest.mark.parametrize('count', range(1, PRIORITY_LEVELS + 1))
def test_priorities_are_in_the_range_of_engines(count: int):
    tiers = range(count)
    priorities = {
        engine_priority(tier, customer, tiers)
        for tier, customer in itertools.product(tiers, CUSTOMER_TIERS)
    }
    assert priorities <= set(range(PRIORITY_LEVELS))


def test_customers_are_ordered_among_prompts_of_one_tier():
    tiers = (0, 1, 2)
    ranked = [engine_priority(1, each, tiers) for each in (0, None, 1, 2)]
    assert ranked == [3, 4, 4, 5]


def test_customers_are_ranked_if_tiers_are_not_adjacent():
    assert engine_priority(9, 0, (2, 9)) < engine_priority(9, 9, (2, 9))


def test_tiers_beyond_the_range_of_engines_share_the_last_priority():
    tiers = range(20)
    assert engine_priority(19, None, tiers) == PRIORITY_LEVELS - 1
