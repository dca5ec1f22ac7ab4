"""One limit for all gateways: it is kept, and it is used."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from tests.rate_world import ENDPOINT, RateWorld
from wingfall.gateway.rules.pacing.pace import Pace
from wingfall.gateway.rules.pacing.rate_share import (
    ShareTerms,
    share_among_few,
    share_equally,
)

LEAST_USE = 0.7
RATES = (0.2, 1, 8, 50)


def allowed(rate: float) -> float:
    """Tell how many requests may come in four seconds."""
    return 1.5 * rate * 4 + 5


def parts(rate: float, count: int, rule=share_among_few) -> list[float]:
    """List what each of some gateways may send."""
    names = [f'g{number}' for number in range(count)]
    return [
        rule(
            ShareTerms(endpoint=ENDPOINT, rate=rate, name=name, gateways=names),
        )
        for name in names
    ]


@pytest.mark.parametrize('count', [1, 4, 30, 298, 620])
@pytest.mark.parametrize('rate', RATES)
def test_parts_add_up_to_the_limit(rate: float, count: int):
    assert sum(parts(rate, count)) == pytest.approx(rate)


@pytest.mark.parametrize('count', [4, 30, 298, 620])
@pytest.mark.parametrize('rate', RATES)
def test_first_requests_of_all_are_within_the_bound(rate: float, count: int):
    # What each has saved up, one request at least, and then the rate.
    paces = [Pace(rate=part, now_ms=0) for part in parts(rate, count)]
    saved = sum(pace.take(60_000) for pace in paces for _call in range(100))
    assert saved + 4 * rate <= allowed(rate)


def test_equal_parts_let_first_requests_pass_the_bound():
    paces = [Pace(rate=part, now_ms=0) for part in parts(1, 298, share_equally)]
    saved = sum(pace.take(600_000) for pace in paces)
    assert saved + 4 > allowed(1)


def test_gateway_that_comes_or_goes_moves_few_parts():
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
    for gone in names:
        after = users([name for name in names if name != gone])
        assert len(before - after) <= 1


def test_endpoints_have_other_gateways():
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
def test_pace_is_a_rate_and_not_a_burst(rate: float):
    pace = Pace(rate=rate, now_ms=0)
    # What was not used for a minute.
    sent = sum(pace.take(60_000) for _call in range(1000))
    assert sent + 4 * rate <= allowed(rate)
    sent = sum(pace.take(60_000 + at_ms) for at_ms in range(0, 20_000, 5))
    assert sent == pytest.approx(rate * 20, abs=1)


def test_pace_starts_with_nothing_saved_up():
    pace = Pace(rate=2, now_ms=0)
    assert not pace.take(0)
    assert pace.ready_in_ms(0) == 500
    assert pace.take(500)
    pace.change(0, 1000)
    assert not pace.take(100_000)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(
    gateways=strategies.integers(2, 12),
    rate=strategies.sampled_from(RATES),
    news_ms=strategies.sampled_from((0, 200, 1500)),
    seed=strategies.integers(0, 10_000),
)
def test_limit_is_kept_while_gateways_end_and_start(
    gateways: int, rate: float, news_ms: int, seed: int
):
    world = RateWorld(
        gateways=gateways, rate=rate, seed=seed, news_ms=news_ms, demand=8
    )
    world.run(4)
    for _round in range(3):
        name = world.chance.choice(list(world.gateways))
        world.kill(name)
        world.run(world.chance.choice((0.5, 2, 5)))
        world.restart(name)
        world.run(world.chance.choice((0.5, 4)))
    assert world.worst_window() <= allowed(rate)


@pytest.mark.parametrize('rate', RATES)
@pytest.mark.parametrize(
    ('seconds', 'times'),
    # After six seconds each half takes the other one for gone.
    [(5, 1), (30, 2)],
)
def test_halves_that_are_cut_from_each_other(
    rate: float, seconds: float, times: int
):
    world = RateWorld(gateways=8, rate=rate, seed=5, demand=max(8, rate))
    world.run(5)
    world.cut({f'g{number}' for number in range(4)})
    world.run(seconds)
    world.cut(set())
    world.run(5)
    assert world.worst_window() <= times * allowed(rate)


def test_calls_that_come_unevenly_use_a_limit():
    # 8.5 calls a second for an endpoint that takes eight, at five gateways.
    world = RateWorld(gateways=5, rate=8, seed=1, demand=1.7)
    world.run(10)
    since_ms = world.clock.now_ms()
    world.run(60)
    assert world.use(since_ms) >= LEAST_USE * 8
    assert world.worst_window() <= allowed(8)


@pytest.mark.parametrize('gateways', [4, 12, 30])
@pytest.mark.parametrize('rate', RATES)
def test_limit_is_used(rate: float, gateways: int):
    # Each gateway has three times its part to send, or four a second.
    demand = max(4, 3 * rate / gateways)
    world = RateWorld(gateways=gateways, rate=rate, seed=1, demand=demand)
    world.run(10)
    since_ms = world.clock.now_ms()
    world.run(60)
    assert LEAST_USE * rate <= world.use(since_ms) <= 1.1 * rate
    assert world.worst_window() <= allowed(rate)


def test_gateways_come_back_one_after_the_other():
    world = RateWorld(gateways=12, rate=1, seed=3, demand=8)
    world.run(10)
    ended_ms = world.clock.now_ms()
    world.rate = None
    world.run(8)
    per_second = [
        sum(
            0 <= at_ms - ended_ms - second * 1000 < 1000
            for at_ms, _counts in world.arrivals
        )
        for second in range(8)
    ]
    # Some 96 calls a second wait to be sent there.
    assert max(per_second[:2]) < 70
    assert per_second[-1] > 70
