"""Tests of the retry budget of gateways."""

from __future__ import annotations

from typing import Any

from wingfall.clock import ManualClock
from wingfall.gateway.rules.retries.retry_budget import RetryBudget


def make_budget(clock: ManualClock, **changes: Any) -> RetryBudget:
    """Return a budget of ten retries per window."""
    defaults = {'ratio': 0, 'slack': 12.5, 'window_ms': 10_000, **changes}
    return RetryBudget(clock=clock, **defaults)


def count_allowed(budget: RetryBudget, pool: str = 'pool') -> int:
    """Return the number of retries that are allowed at once."""
    return sum(budget.take(pool) for _retry in range(100))


def test_slack_is_restored_after_the_window(clock: ManualClock):
    budget = make_budget(clock)
    assert count_allowed(budget) == 10
    clock.advance(9_999)
    assert count_allowed(budget) == 0
    clock.advance(1)
    assert count_allowed(budget) == 10


def test_requests_increase_the_budget(clock: ManualClock):
    budget = make_budget(clock, slack=0, ratio=0.5)
    for _request in range(100):
        budget.note_request('pool')
    assert count_allowed(budget) == 40


def test_gateways_share_the_slack(clock: ManualClock):
    budget = make_budget(clock)
    budget.set_gateway_count(5)
    assert count_allowed(budget) == 2


def test_each_pool_has_its_own_budget(clock: ManualClock):
    budget = make_budget(clock)
    assert count_allowed(budget, 'one') == 10
    assert count_allowed(budget, 'two') == 10
