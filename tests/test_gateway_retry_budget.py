"""Tests of the retry budget of gateways."""

from __future__ import annotations

from typing import Any

from wingfall.clock import ManualClock
from wingfall.gateway.rules.retries.retry_budget import RetryBudget


def make_budget(clock: ManualClock, **changes: Any) -> RetryBudget:
    """Return a budget of one gateway, by default without requests."""
    defaults = {'ratio': 0, 'slack': 12.5, 'window_ms': 10_000, **changes}
    budget = RetryBudget(clock=clock, **defaults)
    budget.set_gateway_count(1)
    return budget


def count_allowed(budget: RetryBudget, pool: str = 'pool') -> int:
    """Return the number of retries that are allowed at once."""
    return sum(budget.take(pool) for _retry in range(100))


def note_requests(budget: RetryBudget, requests: int) -> None:
    """Record requests at this moment."""
    for _request in range(requests):
        budget.note_request('pool')


def test_new_gateway_has_earned_nothing(clock: ManualClock):
    assert count_allowed(make_budget(clock)) == 0


def test_slack_is_earned_over_the_window(clock: ManualClock):
    budget = make_budget(clock)
    clock.advance(1599)
    assert count_allowed(budget) == 0
    clock.advance(1)
    assert count_allowed(budget) == 1
    clock.advance(1600)
    assert count_allowed(budget) == 1


def test_unused_slack_is_kept_for_one_window(clock: ManualClock):
    budget = make_budget(clock)
    clock.advance(600_000)
    assert count_allowed(budget) == 6
    assert count_allowed(budget) == 0


def test_requests_earn_retries(clock: ManualClock):
    budget = make_budget(clock, slack=0, ratio=0.5)
    note_requests(budget, 100)
    assert count_allowed(budget) == 25


def test_earned_retries_expire_after_the_window(clock: ManualClock):
    budget = make_budget(clock, slack=0, ratio=0.5)
    note_requests(budget, 100)
    clock.advance(9999)
    assert budget.take('pool')
    clock.advance(1)
    assert count_allowed(budget) == 0


def test_gateways_share_the_slack(clock: ManualClock):
    budget = make_budget(clock)
    budget.set_gateway_count(5)
    clock.advance(10_000)
    assert count_allowed(budget) == 1


def test_more_gateways_leave_less_of_the_earned_slack(clock: ManualClock):
    budget = make_budget(clock)
    clock.advance(10_000)
    budget.set_gateway_count(5)
    assert count_allowed(budget) == 1


def test_gateway_that_knows_no_count_has_no_share(clock: ManualClock):
    budget = make_budget(clock)
    budget.set_gateway_count(None)
    clock.advance(10_000)
    assert count_allowed(budget) == 0
    budget.set_gateway_count(1)
    assert count_allowed(budget) == 0


def test_each_pool_has_its_own_budget(clock: ManualClock):
    budget = make_budget(clock)
    clock.advance(10_000)
    assert count_allowed(budget, 'one') == 6
    assert count_allowed(budget, 'two') == 6


def test_lowered_bounds_apply_to_what_was_earned(clock: ManualClock):
    budget = make_budget(clock, ratio=0.5)
    clock.advance(10_000)
    note_requests(budget, 100)
    budget.set_bounds(0.1, 2, 10_000)
    assert count_allowed(budget) == 6


def test_shortened_window_forgets_older_requests(clock: ManualClock):
    budget = make_budget(clock, slack=0, ratio=0.5)
    note_requests(budget, 100)
    clock.advance(2000)
    budget.set_bounds(0.5, 0, 1000)
    assert count_allowed(budget) == 0


def test_window_without_a_length_is_no_error(clock: ManualClock):
    budget = make_budget(clock, ratio=2, window_ms=0)
    clock.advance(1)
    note_requests(budget, 1)
    assert count_allowed(budget) == 7
    budget.set_bounds(2, 12.5, 0)
    clock.advance(1)
    assert count_allowed(budget) == 6
