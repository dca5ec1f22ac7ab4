"""The groups of a pool as loads change, without a network."""

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
    EngineGroups,
    keep_none,
    part_by_gap,
)
from wingfall.gateway.rules.placement.group_size import GroupSize
from wingfall.gateway.rules.placement.kept_engines import KeptEngines

POOL = 'engines'
SHORT_MS = 200
LONG_MS = 800
LOOK_MS = 250
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
    """Make the part of a route that groups look at, and indexes."""
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
    """What a gateway knows of a pool of two speeds that reads long prompts."""

    def __init__(self, parts_pool: EngineGroups = part_by_gap) -> None:
        """Start with gaps of all engines seen."""
        self.clock = ManualClock(start_ms=1000)
        self.knowledge = EndpointKnowledge(clock=self.clock)
        self.kept = KeptEngines(
            clock=self.clock, knowledge=self.knowledge, parts_pool=parts_pool
        )
        for name in sorted(QUICK | SLOW):
            self._add(name, 80 if name in QUICK else 360)

    @property
    def closed(self) -> set[str]:
        """Engines that take no long reads."""
        groups = self.kept.status().get(POOL, {})
        return {name for each in groups.values() for name in each['closed']}

    def choose(self, demand: Demand) -> set[str]:
        """Tell where a prompt may go."""
        usable = self.knowledge.table.usable(POOL)
        chosen = self.kept.narrow(ROUTES, demand, usable)
        return {each.name for each in chosen}

    def wait(self, seconds: float, *, long_reads: bool = True) -> None:
        """Let time pass with prompts of both kinds."""
        for _look in range(int(seconds * 1000 / LOOK_MS)):
            self.clock.advance(LOOK_MS)
            if long_reads:
                self.knowledge.note_prompt_sent('s-0', 17_000)
                self.choose(LONG)
            self.choose(SHORT)

    def run(self, count: int) -> list[LoadEntry]:
        """Start streams with short gaps, evenly over the quick engines."""
        names = sorted(QUICK)
        return [
            self.knowledge.load.start(
                names[number % len(names)],
                EndpointLoad(running=1, streams={SHORT_MS: 1}),
            )
            for number in range(count)
        ]

    def read(self, engines: frozenset[str], tokens: int) -> None:
        """Let prompts wait at engines."""
        for name in engines:
            self.knowledge.load.start(
                name, EndpointLoad(running=1, reading_tokens=tokens)
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
        self.knowledge.take_gaps(name, list(itertools.repeat(gap_ms, 8)))


@pytest.fixture
def gateway() -> Gateway:
    """Make a gateway that has looked at its pool."""
    known = Gateway()
    known.wait(1)
    return known


def test_baseline_narrows_nothing():
    known = Gateway(keep_none)
    known.run(300)
    known.wait(3)
    assert known.choose(SHORT) == known.choose(LONG) == QUICK | SLOW
    assert known.kept.status() == {}


def test_streams_with_short_gaps_go_where_reads_are_harmless(gateway: Gateway):
    assert gateway.choose(SHORT) == QUICK
    assert gateway.choose(LONG) == QUICK | SLOW
    assert gateway.kept.safe_gap_ms(POOL, 'q-0') == SHORT_MS
    assert gateway.kept.safe_gap_ms(POOL, 's-0') == LONG_MS


def test_streams_without_room_in_their_group_go_to_the_whole_pool(
    gateway: Gateway,
):
    gateway.run(SLOTS * len(QUICK))
    gateway.clock.advance(LOOK_MS)
    assert gateway.choose(SHORT) == QUICK | SLOW


def test_long_reads_leave_engines_to_many_streams(gateway: Gateway):
    gateway.run(200)
    gateway.wait(3)
    assert gateway.closed
    assert gateway.closed < QUICK
    assert not gateway.choose(LONG) & gateway.closed
    # The others run as many streams as they bear beside reads.
    assert gateway.choose(SHORT) == gateway.closed


def test_closed_engine_without_a_stream_takes_what_would_begin_late(
    gateway: Gateway,
):
    streams = gateway.run(200)
    gateway.wait(3)
    closed = gateway.closed
    gateway.read(QUICK | SLOW - closed, 200_000)
    gateway.wait(0.5)
    assert not gateway.choose(LONG) & closed
    for entry in streams:
        entry.end()
    gateway.wait(0.5)
    assert closed <= gateway.choose(LONG)


def test_engines_are_closed_one_after_the_other_and_opened_later(
    gateway: Gateway,
):
    streams = gateway.run(280)
    sizes = []
    for _look in range(12):
        gateway.wait(LOOK_MS / 1000)
        sizes.append(len(gateway.closed))
    steps = [after - before for before, after in zip(sizes, sizes[1:])]
    assert set(steps) <= {0, 1}
    assert sizes[-1] > 1
    for entry in streams:
        entry.end()
    gateway.wait(1)
    assert len(gateway.closed) == sizes[-1]
    gateway.wait(8)
    assert not gateway.closed


def test_nothing_is_closed_once_no_long_reads_come(gateway: Gateway):
    gateway.run(280)
    gateway.wait(3)
    assert gateway.closed
    gateway.wait(30, long_reads=False)
    assert not gateway.closed


def test_nothing_moves_while_the_streams_of_lost_engines_are_sent_again(
    gateway: Gateway,
):
    gateway.wait(1)
    for name in sorted(SLOW)[-5:]:
        gateway.knowledge.table.remove(name)
    gateway.clock.advance(1000)
    gateway.run(280)
    gateway.wait(3)
    assert not gateway.closed
    gateway.wait(4)
    assert gateway.closed


def test_halves_that_are_cut_apart_close_parts_of_one_order():
    one, other = Gateway(), Gateway()
    one.run(200)
    other.run(280)
    for half in (one, other):
        half.wait(4)
    assert one.closed
    assert one.closed < other.closed


def test_pool_is_looked_at_some_times_a_second():
    looks = []

    def count_looks(pool: object) -> None:
        looks.append(pool)

    known = Gateway(count_looks)
    for _prompt in range(1000):
        known.clock.advance(1)
        known.choose(SHORT)
    assert len(looks) <= 1 + math.ceil(1000 / LOOK_MS)


def test_size_grows_sooner_than_it_shrinks():
    size = GroupSize()
    grown = [size.follow(5, now_ms) for now_ms in range(0, 1000, 50)]
    assert sum(grown) == size.engines == 4
    # A short dip changes nothing.
    size.follow(0, 1000)
    size.follow(4, 2500)
    assert not size.follow(0, 3500)
    assert size.engines == 4
    assert size.follow(0, 5600)
    assert size.engines == 3
