"""Tests of the limits that gateways share, as peers come and go."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from tests.retry_fleet import STORM
from wingfall.clock import ManualClock
from wingfall.gateway.peers.shared_bounds import SharedBounds
from wingfall.gateway.rules.retries.retry_budget import RetryBudget

PEERS = {
    name: SimpleNamespace(name=name, leaving=False)
    for name in ('g1', 'g2', 'g3')
}


@pytest.fixture
def budget(clock: ManualClock) -> RetryBudget:
    """Give a budget of which 4 gateways may use 10 retries each at once."""
    return RetryBudget(clock=clock, ratio=0, slack=80, window_ms=10_000)


@pytest.fixture
def bounds(clock: ManualClock, budget: RetryBudget) -> SharedBounds:
    """Give the bounds of a gateway that has just started."""
    ignored = SimpleNamespace(
        set_peers=lambda names: None, note_gateways=lambda **known: None
    )
    return SharedBounds(
        budget=budget, blocks=ignored, gate=ignored, clock=clock
    )


def count_allowed(budget: RetryBudget) -> int:
    """Return the number of retries that are allowed at once."""
    return sum(budget.take('pool') for _retry in range(STORM))


def test_gateways_behind_a_cut_still_share_the_slack(
    clock: ManualClock, bounds: SharedBounds, budget: RetryBudget
):
    bounds.note_sessions(PEERS, known=3)
    # The addresses of the others were dropped after failed dials.
    clock.advance(10_000)
    bounds.note_sessions({}, known=1)
    clock.advance(10_000)
    assert count_allowed(budget) == 10


def test_gateway_that_reached_no_other_has_no_share_of_the_slack(
    clock: ManualClock, bounds: SharedBounds, budget: RetryBudget
):
    bounds.note_sessions({}, known=2)
    clock.advance(60_000)
    bounds.note_sessions({}, known=2)
    assert count_allowed(budget) == 0


def test_gateway_without_peers_has_the_whole_slack(
    clock: ManualClock, bounds: SharedBounds, budget: RetryBudget
):
    bounds.note_sessions({}, known=0)
    clock.advance(60_000)
    assert count_allowed(budget) == 40
