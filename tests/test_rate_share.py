"""Tests that gateways together keep to an endpoint's rate limit and use it."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from tests.rate_simulation import ENDPOINT, RateSimulation
from wingfall.gateway.rules.pacing.pace import TokenBucket
from wingfall.gateway.rules.pacing.rate_share import (
    ShareTerms,
    share_among_few,
    share_equally,
)

MIN_USAGE = 0.7
RATES = (0.2, 1, 8, 50)


def max_requests(rate: float) -> float:
    """Return the maximum number of requests in a window of four seconds."""
    return 1.5 * rate * 4 + 5


def list_shares(rate: float, count: int, rule=share_among_few) -> list[float]:
    """Return the share of each of the gateways in requests per second."""
    names = [f'g{number}' for number in range(count)]
    return [
        rule(
            ShareTerms(endpoint=ENDPOINT, rate=rate, name=name, gateways=names),
        )
        for name in names
    ]


@pytest.mark.parametrize('count', [1, 4, 30, 298, 620])
@pytest.mark.parametrize('rate', RATES)
def test_shares_add_up_to_the_limit(rate: float, count: int):
    assert sum(list_shares(rate, count)) == pytest.approx(rate)


@pytest.mark.parametrize('count', [4, 30, 298, 620])
@pytest.mark.parametrize('rate', RATES)
def test_first_requests_of_all_are_within_the_bound(rate: float, count: int):
    # The burst of each gateway, at least one request, and then the rate.
    buckets = [
        TokenBucket(rate=share, now_ms=0) for share in list_shares(rate, count)
    ]
    burst = sum(each.take(60_000) for each in buckets for _call in range(100))
    assert burst + 4 * rate <= max_requests(rate)


def test_equal_shares_let_first_requests_exceed_the_bound():
    buckets = [
        TokenBucket(rate=share, now_ms=0)
        for share in list_shares(1, 298, share_equally)
    ]
    burst = sum(bucket.take(600_000) for bucket in buckets)
    assert burst + 4 > max_requests(1)


def test_added_or_removed_gateway_changes_few_shares():
    names = [f'g{number}' for number in range(30)]

    def users(gateways: list[str]) -> set[str]:
        return {
            name
            for name in gateways
            if share_among_few(
                ShareTerms(
                    endpoint=ENDPOINT, rate=4, name=name, gateways=gateways
                ),
            )
        }

    before = users(names)
    for removed in names:
        after = users([name for name in names if name != removed])
        assert len(before - after) <= 1


def test_limits_of_endpoints_are_used_by_different_gateways():
    names = [f'g{number}' for number in range(30)]
    using = {
        name
        for number in range(200)
        for name in names
        if share_among_few(
            ShareTerms(
                endpoint=f'e{number}', rate=0.5, name=name, gateways=names
            ),
        )
    }
    assert len(using) > 25


@pytest.mark.parametrize('rate', RATES)
def test_token_bucket_bounds_rate_and_burst(rate: float):
    bucket = TokenBucket(rate=rate, now_ms=0)
    # Burst after a minute without requests.
    sent = sum(bucket.take(60_000) for _call in range(1000))
    assert sent + 4 * rate <= max_requests(rate)
    sent = sum(bucket.take(60_000 + at_ms) for at_ms in range(0, 20_000, 5))
    assert sent == pytest.approx(rate * 20, abs=1)


def test_token_bucket_starts_empty():
    bucket = TokenBucket(rate=2, now_ms=0)
    assert not bucket.take(0)
    assert bucket.ready_in_ms(0) == 500
    assert bucket.take(500)
    bucket.update_rate(0, 1000)
    assert not bucket.take(100_000)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    gateways=strategies.integers(2, 12),
    rate=strategies.sampled_from(RATES),
    delay_ms=strategies.sampled_from((0, 200, 1500)),
    seed=strategies.integers(0, 10_000),
)
def test_limit_is_kept_while_gateways_end_and_start(
    gateways: int, rate: float, delay_ms: int, seed: int
):
    simulation = RateSimulation(
        gateways=gateways, rate=rate, seed=seed, max_delay_ms=delay_ms, demand=8
    )
    simulation.run(4)
    for _round in range(3):
        name = simulation.rng.choice(list(simulation.gateways))
        simulation.kill(name)
        simulation.run(simulation.rng.choice((0.5, 2, 5)))
        simulation.restart(name)
        simulation.run(simulation.rng.choice((0.5, 4)))
    assert simulation.max_window_arrivals() <= max_requests(rate)


@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize(
    ('seconds', 'times'),
    # After six seconds each half removes the gateways of the other one.
    [(5, 1), (30, 2)],
)
def test_halves_that_are_cut_from_each_other(
    rate: float, seconds: float, times: int
):
    simulation = RateSimulation(
        gateways=8, rate=rate, seed=5, demand=max(8, rate)
    )
    simulation.run(5)
    simulation.partition({f'g{number}' for number in range(4)})
    simulation.run(seconds)
    simulation.partition(set())
    simulation.run(5)
    assert simulation.max_window_arrivals() <= times * max_requests(rate)


def test_uneven_calls_use_the_limit():
    # Five gateways with 8.5 calls per second for a limit of eight.
    simulation = RateSimulation(gateways=5, rate=8, seed=1, demand=1.7)
    simulation.run(10)
    since_ms = simulation.clock.now_ms()
    simulation.run(60)
    assert simulation.arrival_rate(since_ms) >= MIN_USAGE * 8
    assert simulation.max_window_arrivals() <= max_requests(8)


@pytest.mark.parametrize('gateways', [4, 12, 30])
@pytest.mark.parametrize('rate', RATES)
def test_limit_is_used(rate: float, gateways: int):
    # Each gateway has calls for three times its share, or four per second.
    demand = max(4, 3 * rate / gateways)
    simulation = RateSimulation(
        gateways=gateways, rate=rate, seed=1, demand=demand
    )
    simulation.run(10)
    since_ms = simulation.clock.now_ms()
    simulation.run(60)
    assert MIN_USAGE * rate <= simulation.arrival_rate(since_ms) <= 1.1 * rate
    assert simulation.max_window_arrivals() <= max_requests(rate)


def test_gateways_return_gradually_after_a_limit_ends():
    simulation = RateSimulation(gateways=12, rate=1, seed=3, demand=8)
    simulation.run(10)
    ended_ms = simulation.clock.now_ms()
    simulation.rate = None
    simulation.run(8)
    per_second = [
        sum(
            0 <= at_ms - ended_ms - second * 1000 < 1000
            for at_ms, _counts in simulation.arrivals
        )
        for second in range(8)
    ]
    # About 96 calls per second wait to be sent to the endpoint.
    assert max(per_second[:2]) < 70
    assert per_second[-1] > 70
