"""Shares of a pool's work, and who is above its share."""

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
    use_over_share,
    work_done,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

POOL = 'engines'
USUAL = ('aker', 'bryn', 'drammen', 'ekeberg')
HOT = 'hot'
# Tokens that each customer asks in a tenth of a second, and how many times as
# much the hot one asks.
USUAL_TOKENS = 1000
TIMES = 12
# It asks for twelve and is given four, all that is left of eight.
HOT_USE = math.sqrt(12 * 4) / 4
TICK_MS = 100
# Ticks after which fading sums are as they stay.
LONG = 100


class Gateway:
    """What one gateway knows of customers' work."""

    def __init__(self, *, clock: ManualClock) -> None:
        """Start without work.

        :param clock: the time.
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

    def ask(self, customer: str, asked: float, given_part: float) -> None:
        """Have a customer ask for work."""
        work = Work(asked=asked, given=asked * given_part)
        self.knowledge.customer_work.note(POOL, customer, work)

    def use(self, customer: str) -> float:
        """Tell how far a customer is above its share."""
        return self.shares.find(POOL).use(customer)


class Site:
    """Gateways that tell each other of work."""

    def __init__(self, *, gateways: int) -> None:
        """Start them.

        :param gateways: how many.
        """
        self.clock = ManualClock(start_ms=1000)
        self.gateways = [
            Gateway(clock=self.clock) for _number in range(gateways)
        ]
        # Gateways that tell nothing of work.
        self.silent: list[Gateway] = []
        # Which gateways hear each other.
        self.parts = [self.gateways]

    def run(self, ticks: int = LONG) -> None:
        """Let customers ask at all gateways, with room for half of it."""
        for _tick in range(ticks):
            self.clock.advance(TICK_MS)
            for gateway in self.gateways:
                for customer in USUAL:
                    gateway.ask(customer, USUAL_TOKENS, 1)
                # Eight of sixteen parts are done, four of them for the others.
                gateway.ask(HOT, USUAL_TOKENS * TIMES, 1 / 3)
            self.tell()

    def tell(self) -> None:
        """Let each tell the others what they have not heard of."""
        for part, one in self._all():
            untold = one.knowledge.customer_work.take_untold()
            told = Activity(work=[] if one in self.silent else untold)
            for other in part:
                if other is not one:
                    note_activity(told, other.knowledge)

    def _all(self) -> Iterator[tuple[list[Gateway], Gateway]]:
        for part in self.parts:
            for gateway in part:
                yield part, gateway


def test_enough_for_all_needs_no_shares():
    assert fair_share([1, 2, 3], 6) == math.inf
    assert fair_share([], 6) == math.inf


def test_what_small_ones_leave_goes_to_large_ones():
    assert fair_share([1, 2, 9], 9) == 6
    assert fair_share([1, 8, 9], 9) == 4


@given(
    st.lists(st.floats(min_value=0.1, max_value=1e6), min_size=1),
    st.floats(min_value=0.1, max_value=1e6),
)
def test_shares_use_all_there_is_and_no_more(
    demands: list[float], supply: float
):
    share = fair_share(demands, supply)
    used = sum(min(share, demand) for demand in demands)
    assert used == pytest.approx(min(supply, sum(demands)))


def test_what_waits_is_not_done():
    assert work_done(1000, 300) == 700
    assert work_done(1000, 4000) == 500


def test_use_is_halfway_between_what_was_asked_and_given():
    # Who asks more and is given as much uses more.
    uses = [
        use_over_share(Work(asked=asked, given=1000), 1000)
        for asked in (1000, 4000)
    ]
    assert uses == [1, 2]


def test_customer_behind_its_share_is_not_held_back():
    assert use_over_share(Work(asked=40_000, given=400), 1000) == 1


def test_customer_above_its_share_is_known_and_no_other():
    site = Site(gateways=3)
    site.run()
    for gateway in site.gateways:
        assert gateway.use(HOT) == pytest.approx(HOT_USE, rel=0.05)
        assert {gateway.use(customer) for customer in USUAL} == {1}


def test_nobody_is_above_a_share_while_all_is_given():
    gateway = Gateway(clock=ManualClock(start_ms=1000))
    gateway.ask(HOT, USUAL_TOKENS * TIMES, 1)
    gateway.ask('aker', USUAL_TOKENS, 1)
    assert gateway.use(HOT) == 1


def test_work_that_waits_shows_who_is_above_before_any_refusal():
    work = {
        HOT: Work(asked=12_000, given=12_000),
        'aker': Work(asked=2000, given=2000),
    }
    shares = PoolShares(work=work, waiting=6000, now_ms=0)
    assert shares.use(HOT) == pytest.approx(2)
    assert shares.use('aker') == 1


def test_lost_message_changes_little():
    site = Site(gateways=3)
    site.run()
    # All that one gateway tells of a tenth of a second.
    site.silent = site.gateways[:1]
    site.run(1)
    uses = [gateway.use(HOT) for gateway in site.gateways]
    assert uses == pytest.approx([HOT_USE, HOT_USE, HOT_USE], rel=0.05)
    site.silent = []
    site.run()
    uses = [gateway.use(HOT) for gateway in site.gateways]
    assert uses == pytest.approx([HOT_USE, HOT_USE, HOT_USE], rel=0.05)


def test_gateway_that_starts_holds_nobody_back_and_knows_soon():
    site = Site(gateways=2)
    site.run()
    started = Gateway(clock=site.clock)
    uses = {started.use(customer) for customer in (*USUAL, HOT)}
    assert uses == {1}
    site.gateways.append(started)
    site.run(25)
    assert {started.use(customer) for customer in USUAL} == {1}
    assert started.use(HOT) > 1


def test_halves_that_are_cut_apart_judge_alike_what_uses_both():
    site = Site(gateways=4)
    site.run()
    site.parts = [site.gateways[:2], site.gateways[2:]]
    site.run()
    for gateway in site.gateways:
        assert gateway.use(HOT) == pytest.approx(HOT_USE, rel=0.05)


def one_sided_use(parts: list[slice]) -> float:
    """Tell how a customer is judged that asks in one of two halves alone."""
    site = Site(gateways=4)
    site.parts = [site.gateways[part] for part in parts]
    for _tick in range(LONG):
        site.clock.advance(TICK_MS)
        for gateway in site.gateways:
            for customer in USUAL:
                gateway.ask(customer, USUAL_TOKENS, 5 / 6)
        site.gateways[0].ask('one-sided', USUAL_TOKENS * 4, 5 / 6)
        site.tell()
    return site.gateways[1].use('one-sided')


def test_cut_misjudges_by_the_ratio_of_the_whole_to_the_half_at_most():
    use = one_sided_use([slice(0, 4)])
    assert use > 1
    assert use < one_sided_use([slice(0, 2), slice(2, 4)]) <= use * 2


def test_gateway_of_the_version_before_is_not_counted():
    site = Site(gateways=3)
    site.silent = site.gateways[:1]
    site.run()
    for gateway in site.gateways[1:]:
        assert gateway.use(HOT) == pytest.approx(HOT_USE, rel=0.05)
        assert {gateway.use(customer) for customer in USUAL} == {1}


def test_fields_of_a_later_version_are_passed_over():
    gateway = Gateway(clock=ManualClock(start_ms=1000))
    told = [[POOL, HOT, 4000, 2000, 'later']]
    note_activity(Activity(work=told), gateway.knowledge)
    assert gateway.knowledge.customer_work.read(POOL)[HOT].given == 2000


def test_nonsense_of_a_peer_is_no_fault():
    assert use_over_share(Work(asked=4000, given=-500), 100) <= 1
    assert use_over_share(Work(asked=-4000, given=500), 100) == 0
