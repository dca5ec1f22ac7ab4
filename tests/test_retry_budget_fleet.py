"""Tests of the retry budget over all gateways, whatever becomes of them."""

from __future__ import annotations

from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.retry_fleet import RetryFleet

ALL: Final = range(4)
# Retries are whole and shares are not.
ROUNDING: Final = 1e-6


def test_gateways_that_are_killed_together_keep_the_budget():
    fleet = RetryFleet(gateways=len(ALL))
    fleet.run(20, ALL)
    fleet.run(1, ALL, failing=True)
    fleet.restart(ALL)
    fleet.run(12, ALL, failing=True)
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())


def test_gateways_that_restart_in_turn_keep_the_budget():
    fleet = RetryFleet(gateways=len(ALL))
    fleet.run(20, ALL)
    for number in (*ALL, *ALL):
        fleet.run(1, ALL, failing=True)
        fleet.restart([number])
    fleet.run(6, ALL, failing=True)
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())


def test_gateway_that_restarts_again_and_again_keeps_the_budget():
    fleet = RetryFleet(gateways=1)
    fleet.run(20, [0], requests=4)
    for _restart in range(40):
        fleet.run(0.2, [0], failing=True, requests=4)
        fleet.restart([0])
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())


@pytest.mark.parametrize('cut', [1, 2, 3])
def test_callers_that_move_to_other_gateways_keep_the_budget(cut: int):
    fleet = RetryFleet(gateways=len(ALL))
    fleet.run(20, ALL, requests=6)
    fleet.run(0.5, ALL, failing=True, requests=6)
    connected = range(cut, len(ALL))
    requests = 24 // len(connected)
    fleet.run(12, connected, failing=True, requests=requests)
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())


def test_gateways_that_are_added_keep_the_budget():
    fleet = RetryFleet(gateways=len(ALL))
    fleet.run(20, ALL)
    fleet.run(1, ALL, failing=True)
    for added in range(len(ALL), 2 * len(ALL)):
        fleet.budgets.append(RetryFleet(gateways=1).budgets[0])
        fleet.restart([added])
        fleet.run(1, range(added + 1), failing=True)
    fleet.run(6, range(2 * len(ALL)), failing=True)
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())


def test_retries_after_a_suspension_keep_the_budget():
    fleet = RetryFleet(gateways=len(ALL))
    fleet.run(20, ALL)
    fleet.run(1, ALL, failing=True)
    fleet.clock.advance(9000)
    fleet.run(1, ALL, failing=True)
    fleet.clock.advance(600_000)
    fleet.run(1, ALL, failing=True)
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())


@pytest.mark.parametrize('window_ms', [1000, 60_000])
@pytest.mark.parametrize('ratio', [0.3, 1])
@pytest.mark.parametrize('gateways', [1, 300])
def test_budget_holds_for_unlike_bounds(
    window_ms: int, ratio: float, gateways: int
):
    fleet = RetryFleet(
        gateways=gateways, window_ms=window_ms, ratio=ratio, slack=100
    )
    everyone = range(gateways)
    seconds = 2 * window_ms / 1000
    if gateways > 1:
        seconds = min(seconds, 4)
    fleet.run(seconds, everyone)
    fleet.retry(everyone)
    fleet.restart(everyone)
    fleet.run(seconds / 2, everyone, failing=True)
    assert fleet.worst().excess <= ROUNDING, str(fleet.worst())


EVENTS = st.one_of(
    st.tuples(st.just('serve'), st.sampled_from(ALL), st.integers(1, 60)),
    st.tuples(st.just('retry'), st.sampled_from(ALL), st.integers(1, 60)),
    st.tuples(st.just('restart'), st.sampled_from(ALL), st.just(0)),
    st.tuples(st.just('wait'), st.just(0), st.integers(1, 11_000)),
)


@given(st.lists(EVENTS, max_size=60))
def test_budget_holds_for_any_series_of_events(
    events: list[tuple[str, int, int]],
):
    fleet = RetryFleet(gateways=len(ALL))
    fleet.clock.advance(20_000)
    for kind, gateway, amount in events:
        if kind == 'serve':
            fleet.serve([gateway], amount)
        elif kind == 'retry':
            fleet.retry([gateway], amount)
        elif kind == 'restart':
            fleet.restart([gateway])
        else:
            fleet.clock.advance(amount)
    if fleet.retries_s:
        assert fleet.worst().excess <= ROUNDING, str(fleet.worst())
