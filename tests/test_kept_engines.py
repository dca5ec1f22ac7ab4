"""Tests of the engine groups of a pool under changing load, without network."""

from __future__ import annotations

import itertools
import math
from types import SimpleNamespace

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.knowledge.load import EndpointLoad, LoadEntry
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.routes import CallerLimits, Routes
from wingfall.gateway.rules.placement.candidate import Demand
from wingfall.gateway.rules.placement.engine_groups import (
    EngineGroupPolicy,
    group_by_gap,
    reserve_none,
)
from wingfall.gateway.rules.placement.group_size import GroupSize
from wingfall.gateway.rules.placement.reserved_engines import ReservedEngines

POOL = 'engines'
SHORT_MS = 200
LONG_MS = 800
UPDATE_INTERVAL_MS = 250
QUICK = frozenset(f'q-{number}' for number in range(4))
SLOW = frozenset(f's-{number}' for number in range(12))
SLOTS = 100
SHORT = Demand(
    is_prompt=True, tokens=1400, gap_target_ms=SHORT_MS, start_target_ms=800
)
LONG = Demand(
    is_prompt=True, tokens=17_000, gap_target_ms=LONG_MS, start_target_ms=1200
)


def route(gap_ms: int) -> SimpleNamespace:
    """Create a route with the fields that groups and indexes read."""
    return SimpleNamespace(
        host='h',
        path_prefix=f'/{gap_ms}',
        tier=1,
        pools=(SimpleNamespace(pool=POOL),),
        target=SimpleNamespace(token_gap_ms=gap_ms),
    )


ROUTES = Routes(
    version=1,
    routes=(route(SHORT_MS), route(LONG_MS)),
    pools=(),
    customers=(),
    limits=CallerLimits(),
)


class Gateway:
    """A gateway's knowledge of a pool with quick and slow engines."""

    def __init__(self, group_policy: EngineGroupPolicy = group_by_gap) -> None:
        """Create a gateway with token gap samples of all engines."""
        self.clock = ManualClock(start_ms=1000)
        self.knowledge = EndpointKnowledge(clock=self.clock)
        self.reserved = ReservedEngines(
            clock=self.clock,
            knowledge=self.knowledge,
            group_policy=group_policy,
        )
        for name in sorted(QUICK | SLOW):
            self._add(name, 80 if name in QUICK else 360)

    @property
    def closed(self) -> set[str]:
        """Names of the engines that are closed to long prefills."""
        groups = self.reserved.status().get(POOL, {})
        return {name for each in groups.values() for name in each['closed']}

    def choose(self, demand: Demand) -> set[str]:
        """Return the names of the engines that a prompt may go to."""
        usable = self.knowledge.table.usable(POOL)
        chosen = self.reserved.allowed_engines(ROUTES, demand, usable)
        return {each.name for each in chosen}

    def advance(self, seconds: float, *, long_prompts: bool = True) -> None:
        """Advance the clock, with short and optionally long prompts."""
        for _update in range(int(seconds * 1000 / UPDATE_INTERVAL_MS)):
            self.clock.advance(UPDATE_INTERVAL_MS)
            if long_prompts:
                self.knowledge.note_prompt_sent('s-0', 17_000)
                self.choose(LONG)
            self.choose(SHORT)

    def start_streams(self, count: int) -> list[LoadEntry]:
        """Start short-gap streams, evenly over the quick engines."""
        names = sorted(QUICK)
        return [
            self.knowledge.load.start(
                names[number % len(names)],
                EndpointLoad(running=1, streams={SHORT_MS: 1}),
            )
            for number in range(count)
        ]

    def add_prefills(self, engines: frozenset[str], tokens: int) -> None:
        """Add pending prefill tokens to engines."""
        for name in engines:
            self.knowledge.load.start(
                name, EndpointLoad(running=1, prefill_tokens=tokens)
            )

    def _add(self, name: str, gap_ms: int) -> None:
        self.knowledge.table.put(
            PoolEndpoint(
                name=name,
                pool=POOL,
                host='h',
                port=1,
                zone='a',
                slots=SLOTS,
                draining=False,
            )
        )
        self.knowledge.merge_gap_samples(
            name, list(itertools.repeat(gap_ms, 8))
        )


@pytest.fixture
def gateway() -> Gateway:
    """Create a gateway that has updated its groups."""
    simulated = Gateway()
    simulated.advance(1)
    return simulated


def test_baseline_policy_reserves_no_engines():
    simulated = Gateway(reserve_none)
    simulated.start_streams(300)
    simulated.advance(3)
    assert simulated.choose(SHORT) == simulated.choose(LONG) == QUICK | SLOW
    assert simulated.reserved.status() == {}


def test_short_gap_streams_go_to_engines_that_keep_the_bound(gateway: Gateway):
    assert gateway.choose(SHORT) == QUICK
    assert gateway.choose(LONG) == QUICK | SLOW
    assert gateway.reserved.safe_gap_ms(POOL, 'q-0') == SHORT_MS
    assert gateway.reserved.safe_gap_ms(POOL, 's-0') == LONG_MS


def test_streams_use_whole_pool_if_their_group_is_full(
    gateway: Gateway,
):
    gateway.start_streams(SLOTS * len(QUICK))
    gateway.clock.advance(UPDATE_INTERVAL_MS)
    assert gateway.choose(SHORT) == QUICK | SLOW


def test_engines_close_to_long_prefills_for_many_streams(gateway: Gateway):
    gateway.start_streams(200)
    gateway.advance(3)
    assert gateway.closed
    assert gateway.closed < QUICK
    assert not gateway.choose(LONG) & gateway.closed
    # The other quick engines have no free capacity beside prefills.
    assert gateway.choose(SHORT) == gateway.closed


def test_closed_engine_without_streams_takes_late_long_prompt(
    gateway: Gateway,
):
    streams = gateway.start_streams(200)
    gateway.advance(3)
    closed = gateway.closed
    gateway.add_prefills(QUICK | SLOW - closed, 200_000)
    gateway.advance(0.5)
    assert not gateway.choose(LONG) & closed
    for entry in streams:
        entry.end()
    gateway.advance(0.5)
    assert closed <= gateway.choose(LONG)


def test_engines_close_one_at_a_time_and_reopen_later(
    gateway: Gateway,
):
    streams = gateway.start_streams(280)
    sizes = []
    for _update in range(12):
        gateway.advance(UPDATE_INTERVAL_MS / 1000)
        sizes.append(len(gateway.closed))
    steps = [after - before for before, after in zip(sizes, sizes[1:])]
    assert set(steps) <= {0, 1}
    assert sizes[-1] > 1
    for entry in streams:
        entry.end()
    gateway.advance(1)
    assert len(gateway.closed) == sizes[-1]
    gateway.advance(8)
    assert not gateway.closed


def test_no_engine_is_closed_without_long_prompts(gateway: Gateway):
    gateway.start_streams(280)
    gateway.advance(3)
    assert gateway.closed
    gateway.advance(30, long_prompts=False)
    assert not gateway.closed


def test_groups_are_frozen_after_loss_of_engines(
    gateway: Gateway,
):
    gateway.advance(1)
    for name in sorted(SLOW)[-5:]:
        gateway.knowledge.table.remove(name)
    gateway.clock.advance(1000)
    gateway.start_streams(280)
    gateway.advance(3)
    assert not gateway.closed
    gateway.advance(4)
    assert gateway.closed


def test_partitioned_gateways_close_engines_in_one_order():
    one, other = Gateway(), Gateway()
    one.start_streams(200)
    other.start_streams(280)
    for half in (one, other):
        half.advance(4)
    assert one.closed
    assert one.closed < other.closed


def test_pool_update_rate_is_limited():
    updates = []

    def record_update(pool: object) -> None:
        updates.append(pool)

    simulated = Gateway(record_update)
    for _prompt in range(1000):
        simulated.clock.advance(1)
        simulated.choose(SHORT)
    assert len(updates) <= 1 + math.ceil(1000 / UPDATE_INTERVAL_MS)


def test_group_size_grows_faster_than_it_shrinks():
    size = GroupSize()
    changes = [size.step_towards(5, now_ms) for now_ms in range(0, 1000, 50)]
    assert sum(changes) == size.engines == 4
    # A short drop changes nothing.
    size.step_towards(0, 1000)
    size.step_towards(4, 2500)
    assert not size.step_towards(0, 3500)
    assert size.engines == 4
    assert size.step_towards(0, 5600)
    assert size.engines == 3
