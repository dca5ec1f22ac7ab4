"""Tests of the fair shares of a pool's work and of relative use."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.customer_work import Work
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.peers.loads.load_entries import Activity, note_activity
from wingfall.gateway.rules.admission.fair_shares import (
    FairShares,
    PoolShares,
    fair_share,
    relative_use,
    work_done,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

POOL = 'engines'
USUAL = ('aker', 'bryn', 'drammen', 'ekeberg')
HOT = 'hot'
# Tokens that each usual customer asks in a tenth of a second, and the factor by
# which the hot customer asks more.
USUAL_TICK_TOKENS = 1000
HOT_FACTOR = 12
# The hot customer asks for twelve parts and is given four, the rest of eight.
HOT_USE = math.sqrt(12 * 4) / 4
TICK_MS = 100
# Ticks after which decaying sums have converged.
CONVERGED_TICKS = 100


class Gateway:
    """Knowledge of one gateway of customers' work."""

    def __init__(self, *, clock: ManualClock) -> None:
        """Create a gateway without work.

        :param clock: source of the current time.
        """
        self.knowledge = EndpointKnowledge(clock=clock)
        self.shares = FairShares(clock=clock, knowledge=self.knowledge)
        engine = PoolEndpoint(
            name='e1',
            pool=POOL,
            host='h',
            port=1,
            zone='a',
            slots=64,
            draining=False,
        )
        self.knowledge.table.put(engine)
        self.ask('long ago', 0, 0)

    def ask(self, customer: str, asked: float, given_fraction: float) -> None:
        """Record work that a customer asks for."""
        work = Work(asked=asked, given=asked * given_fraction)
        self.knowledge.customer_work.note(POOL, customer, work)

    def relative_use(self, customer: str) -> float:
        """Return the use of a customer as a multiple of its share."""
        return self.shares.find(POOL).relative_use(customer)


class Site:
    """Gateways that report work to each other."""

    def __init__(self, *, gateways: int) -> None:
        """Create the gateways.

        :param gateways: number of gateways.
        """
        self.clock = ManualClock(start_ms=1000)
        self.gateways = [
            Gateway(clock=self.clock) for _number in range(gateways)
        ]
        # Gateways that report no work.
        self.silent: list[Gateway] = []
        # Groups of gateways that receive reports of each other.
        self.groups = [self.gateways]

    def run(self, ticks: int = CONVERGED_TICKS) -> None:
        """Run customers at all gateways; half of the asked work is done."""
        for _tick in range(ticks):
            self.clock.advance(TICK_MS)
            for gateway in self.gateways:
                for customer in USUAL:
                    gateway.ask(customer, USUAL_TICK_TOKENS, 1)
                # Eight of sixteen parts are done, four for usual customers.
                gateway.ask(HOT, USUAL_TICK_TOKENS * HOT_FACTOR, 1 / 3)
            self.exchange_reports()

    def exchange_reports(self) -> None:
        """Send unreported work of each gateway to the others."""
        for group, sender in self._members():
            entries = sender.knowledge.customer_work.take_unreported()
            report = Activity(work=[] if sender in self.silent else entries)
            for receiver in group:
                if receiver is not sender:
                    note_activity(report, receiver.knowledge)

    def _members(self) -> Iterator[tuple[list[Gateway], Gateway]]:
        for group in self.groups:
            for gateway in group:
                yield group, gateway


def test_share_is_infinite_if_supply_meets_demand():
    assert fair_share([1, 2, 3], 6) == math.inf
    assert fair_share([], 6) == math.inf


def test_supply_left_by_small_demands_goes_to_large_ones():
    assert fair_share([1, 2, 9], 9) == 6
    assert fair_share([1, 8, 9], 9) == 4


@given(
    st.lists(st.floats(min_value=0.1, max_value=1e6), min_size=1),
    st.floats(min_value=0.1, max_value=1e6),
)
def test_shares_use_exactly_the_supply(demands: list[float], supply: float):
    share = fair_share(demands, supply)
    used = sum(min(share, demand) for demand in demands)
    assert used == pytest.approx(min(supply, sum(demands)))


def test_pending_tokens_are_not_done_work():
    assert work_done(1000, 300) == 700
    assert work_done(1000, 4000) == 500


def test_use_is_the_geometric_mean_of_asked_and_given_work():
    # At equal given work, a customer that asks for more uses more.
    uses = [
        relative_use(Work(asked=asked, given=1000), 1000)
        for asked in (1000, 4000)
    ]
    assert uses == [1, 2]


def test_customer_far_below_its_share_is_not_limited():
    assert relative_use(Work(asked=40_000, given=400), 1000) == 1


def test_only_the_customer_above_its_share_is_limited():
    site = Site(gateways=3)
    site.run()
    for gateway in site.gateways:
        assert gateway.relative_use(HOT) == pytest.approx(HOT_USE, rel=0.05)
        assert {gateway.relative_use(customer) for customer in USUAL} == {1}


def test_no_customer_exceeds_its_share_while_all_work_is_given():
    gateway = Gateway(clock=ManualClock(start_ms=1000))
    gateway.ask(HOT, USUAL_TICK_TOKENS * HOT_FACTOR, 1)
    gateway.ask('aker', USUAL_TICK_TOKENS, 1)
    assert gateway.relative_use(HOT) == 1


def test_pending_work_reveals_a_heavy_customer_before_any_refusal():
    work = {
        HOT: Work(asked=12_000, given=12_000),
        'aker': Work(asked=2000, given=2000),
    }
    shares = PoolShares(work=work, pending_tokens=6000, now_ms=0)
    assert shares.relative_use(HOT) == pytest.approx(2)
    assert shares.relative_use('aker') == 1


def test_lost_report_changes_relative_use_little():
    site = Site(gateways=3)
    site.run()
    # The report of one gateway for a tenth of a second is lost.
    site.silent = site.gateways[:1]
    site.run(1)
    uses = [gateway.relative_use(HOT) for gateway in site.gateways]
    assert uses == pytest.approx([HOT_USE, HOT_USE, HOT_USE], rel=0.05)
    site.silent = []
    site.run()
    uses = [gateway.relative_use(HOT) for gateway in site.gateways]
    assert uses == pytest.approx([HOT_USE, HOT_USE, HOT_USE], rel=0.05)


def test_started_gateway_limits_no_customer_until_it_has_reports():
    site = Site(gateways=2)
    site.run()
    started = Gateway(clock=site.clock)
    uses = {started.relative_use(customer) for customer in (*USUAL, HOT)}
    assert uses == {1}
    site.gateways.append(started)
    site.run(25)
    assert {started.relative_use(customer) for customer in USUAL} == {1}
    assert started.relative_use(HOT) > 1


def test_partitioned_halves_agree_on_a_customer_of_both():
    site = Site(gateways=4)
    site.run()
    site.groups = [site.gateways[:2], site.gateways[2:]]
    site.run()
    for gateway in site.gateways:
        assert gateway.relative_use(HOT) == pytest.approx(HOT_USE, rel=0.05)


def one_sided_use(groups: list[slice]) -> float:
    """Return the relative use of a customer that asks at one gateway only."""
    site = Site(gateways=4)
    site.groups = [site.gateways[group] for group in groups]
    for _tick in range(CONVERGED_TICKS):
        site.clock.advance(TICK_MS)
        for gateway in site.gateways:
            for customer in USUAL:
                gateway.ask(customer, USUAL_TICK_TOKENS, 5 / 6)
        site.gateways[0].ask('one-sided', USUAL_TICK_TOKENS * 4, 5 / 6)
        site.exchange_reports()
    return site.gateways[1].relative_use('one-sided')


def test_partition_at_most_doubles_the_relative_use():
    use = one_sided_use([slice(0, 4)])
    assert use > 1
    assert use < one_sided_use([slice(0, 2), slice(2, 4)]) <= use * 2


def test_gateway_of_an_older_version_is_ignored():
    site = Site(gateways=3)
    site.silent = site.gateways[:1]
    site.run()
    for gateway in site.gateways[1:]:
        assert gateway.relative_use(HOT) == pytest.approx(HOT_USE, rel=0.05)
        assert {gateway.relative_use(customer) for customer in USUAL} == {1}


def test_fields_of_a_later_version_are_ignored():
    gateway = Gateway(clock=ManualClock(start_ms=1000))
    report = [[POOL, HOT, 4000, 2000, 'later']]
    note_activity(Activity(work=report), gateway.knowledge)
    assert gateway.knowledge.customer_work.decayed_work(POOL)[HOT].given == 2000


def test_negative_work_of_a_peer_is_tolerated():
    assert relative_use(Work(asked=4000, given=-500), 100) <= 1
    assert relative_use(Work(asked=-4000, given=500), 100) == 0
