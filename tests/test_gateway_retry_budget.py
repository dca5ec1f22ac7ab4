"""The bound of second sendings."""

from __future__ import annotations

from typing import Any

from wingfall.clock import ManualClock
from wingfall.gateway.rules.retries.retry_budget import RetryBudget


def make(clock: ManualClock, **changes: Any) -> RetryBudget:
    """Make a budget of ten a window."""
    known = {'ratio': 0, 'slack': 12.5, 'window_ms': 10_000, **changes}
    return RetryBudget(clock=clock, **known)


def taken(budget: RetryBudget, pool: str = 'pool') -> int:
    """Count how many second sendings are allowed at once."""
    return sum(budget.take(pool) for _ask in range(100))


def test_slack_is_used_up_and_comes_back(clock: ManualClock):
    budget = make(clock)
    assert taken(budget) == 10
    clock.advance(9_999)
    assert taken(budget) == 0
    clock.advance(1)
    assert taken(budget) == 10


def test_fresh_requests_earn_more(clock: ManualClock):
    budget = make(clock, slack=0, ratio=0.5)
    for _fresh in range(100):
        budget.note_request('pool')
    assert taken(budget) == 40


def test_routers_share_the_slack(clock: ManualClock):
    budget = make(clock)
    budget.share_among(5)
    assert taken(budget) == 2


def test_pools_have_budgets_of_their_own(clock: ManualClock):
    budget = make(clock)
    assert taken(budget, 'one') == 10
    assert taken(budget, 'two') == 10
