"""Prefill rates that are local in small pools and shared in large ones."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.knowledge.shared_rates import SharedRates
from wingfall.gateway.knowledge.start_estimates import CorrectedEstimates
from wingfall.gateway.model.pool_endpoint import PoolEndpoint

POOL = 'engines'
# Reported by another gateway, in tenths of a token per millisecond.
REPORTED_RATES = [1500, 1500, 1500]
REPORTED_RATE = 150
INITIAL_TOKENS_PER_MS = 25
LARGE_POOL = 9


@pytest.fixture(name='clock')
def make_clock() -> ManualClock:
    return ManualClock(start_ms=10_000)


@pytest.fixture(name='knowledge')
def make_knowledge(clock: ManualClock) -> EndpointKnowledge:
    return EndpointKnowledge(
        clock=clock,
        rates=SharedRates(clock=clock),
        start_estimates=CorrectedEstimates(),
        large_pool=LARGE_POOL,
    )


def list_engines(knowledge: EndpointKnowledge, count: int) -> None:
    """Put the given number of engines into the endpoint table."""
    for number in range(count):
        knowledge.table.put(
            PoolEndpoint(
                name=f'i-{number}',
                pool=POOL,
                host='127.0.0.1',
                port=1,
                zone='a',
                slots=64,
                draining=False,
            )
        )


@pytest.mark.parametrize(
    ('count', 'rate'),
    [(LARGE_POOL - 1, INITIAL_TOKENS_PER_MS), (LARGE_POOL, REPORTED_RATE)],
)
def test_reported_samples_count_only_in_large_pools(
    knowledge: EndpointKnowledge, count: int, rate: float
):
    list_engines(knowledge, count)
    knowledge.merge_rate_samples('i-0', REPORTED_RATES)
    assert knowledge.speed('i-0').rate.tokens_per_ms == rate


def test_growing_pool_soon_uses_shared_rates(
    knowledge: EndpointKnowledge, clock: ManualClock
):
    list_engines(knowledge, LARGE_POOL - 1)
    knowledge.merge_rate_samples('i-0', REPORTED_RATES)
    speed = knowledge.speed('i-0')
    assert speed.rate.tokens_per_ms == INITIAL_TOKENS_PER_MS
    list_engines(knowledge, LARGE_POOL)
    clock.advance(500)
    assert speed.rate.tokens_per_ms == REPORTED_RATE


def test_estimates_of_a_small_pool_are_not_corrected(
    knowledge: EndpointKnowledge, clock: ManualClock
):
    list_engines(knowledge, LARGE_POOL - 1)
    assert knowledge.expected_start_ms(POOL, 0, 100) == 100
    list_engines(knowledge, LARGE_POOL)
    clock.advance(500)
    assert knowledge.expected_start_ms(POOL, 0, 100) > 100


def test_engine_known_before_it_is_listed_joins_its_pool(
    knowledge: EndpointKnowledge, clock: ManualClock
):
    speed = knowledge.speed('i-0')
    assert speed.rate.tokens_per_ms == INITIAL_TOKENS_PER_MS
    list_engines(knowledge, LARGE_POOL)
    clock.advance(500)
    knowledge.merge_rate_samples('i-0', REPORTED_RATES)
    assert speed.rate.tokens_per_ms == REPORTED_RATE


@pytest.mark.parametrize(
    ('asked_ms', 'together'),
    [({}, False), ({POOL: 300}, False), ({POOL: 250}, True)],
    ids=['none', 'long gaps', 'short gaps'],
)
def test_pool_without_short_gaps_uses_own_rates(
    clock: ManualClock, asked_ms: dict[str, int], *, together: bool
):
    knowledge = EndpointKnowledge(
        clock=clock,
        rates=SharedRates(clock=clock),
        large_pool=LARGE_POOL,
        short_gap_ms=250,
    )
    knowledge.set_shortest_gaps(asked_ms)
    list_engines(knowledge, LARGE_POOL)
    assert knowledge.shares_estimates(POOL) == together
    knowledge.merge_rate_samples('i-0', REPORTED_RATES)
    rate = REPORTED_RATE if together else INITIAL_TOKENS_PER_MS
    assert knowledge.speed('i-0').rate.tokens_per_ms == rate
