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
def test_more_urgent_route_goes_first_whoever_the_customers_are(count: int):
    tiers = range(count)
    for urgent, lesser in itertools.combinations(tiers, 2):
        for first, second in itertools.product(CUSTOMER_TIERS, CUSTOMER_TIERS):
            assert engine_priority(urgent, first, tiers) < engine_priority(
                lesser, second, tiers
            )


@pytest.mark.parametrize('count', range(1, PRIORITY_LEVELS + 1))
def test_priorities_fit_what_engines_tell_apart(count: int):
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


def test_tiers_far_apart_leave_room_for_customers():
    assert engine_priority(9, 0, (2, 9)) < engine_priority(9, 9, (2, 9))


def test_more_tiers_than_engines_tell_apart_share_the_last():
    tiers = range(20)
    assert engine_priority(19, None, tiers) == PRIORITY_LEVELS - 1
