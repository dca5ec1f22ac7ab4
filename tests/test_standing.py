"""Who steps in for the holder of the lease, and when."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.duties.standing import Peering, Standing
from wingfall.gateway.model.duty import LeaseRecord

LEASE_MS = 3000
NEW_MS = 10_000
ALL = frozenset(('a', 'b', 'c'))
HELD = LeaseRecord(holder='a/1', name='a')


class Sight:
    """What the gateway sees, which a test changes."""

    def __init__(self) -> None:
        """See all, with the own gateway first."""
        self.seen = {
            'before': 0,
            'heard': ALL,
            'known': 3,
            'holder_heard': False,
        }
        self.stopping = False

    def look(self) -> Peering:
        """Tell what is seen."""
        return Peering(**self.seen)


@pytest.fixture
def sight() -> Sight:
    """Give a sight of all others."""
    return Sight()


@pytest.fixture
def standing(clock: ManualClock, sight: Sight) -> Standing:
    """Give a gateway that has been up for long."""
    made = Standing(
        clock=clock,
        lease_ms=LEASE_MS,
        new_ms=NEW_MS,
        look=sight.look,
        is_stopping=lambda: sight.stopping,
    )
    clock.advance(NEW_MS)
    return made


def first_turn_ms(standing: Standing) -> int:
    """Find for how long something must be due before it steps in."""
    return next(
        waited_ms
        for waited_ms in range(0, 20_000, 100)
        if standing.steps_in(waited_ms)
    )


def test_first_steps_in_at_once_if_no_holder_is_heard(standing: Standing):
    assert first_turn_ms(standing) == 0


def test_each_waits_for_those_before_it(standing: Standing, sight: Sight):
    sight.seen['before'] = 2
    assert first_turn_ms(standing) == 600


def test_holder_that_is_heard_is_waited_for(standing: Standing, sight: Sight):
    sight.seen['holder_heard'] = True
    assert first_turn_ms(standing) == 1500


def test_one_that_has_just_started_goes_behind_others(
    clock: ManualClock, sight: Sight
):
    started = Standing(
        clock=clock,
        lease_ms=LEASE_MS,
        new_ms=NEW_MS,
        look=sight.look,
        is_stopping=bool,
    )
    clock.advance(LEASE_MS)
    assert not started.steps_in(20_000)
    clock.advance(1)
    assert first_turn_ms(started) == 900


def test_one_that_stops_does_not_stand(standing: Standing, sight: Sight):
    sight.stopping = True
    assert not standing.steps_in(20_000)


def test_looks_are_half_a_second_apart(clock: ManualClock, standing: Standing):
    assert standing.steps_in(1000)
    assert not standing.steps_in(1000)
    clock.advance(500)
    assert standing.steps_in(1000)


def test_last_gateway_that_is_left_stands(standing: Standing, sight: Sight):
    # Seeds are known for good, also those that are gone.
    sight.seen['heard'] = frozenset()
    assert first_turn_ms(standing) == 3000
    assert standing.replaces(HELD, 0, decided=False)


def test_gateway_that_is_cut_off_leaves_the_holder_alone(
    standing: Standing, sight: Sight
):
    sight.seen['heard'] = frozenset()
    assert not standing.replaces(HELD, 20_000, decided=True)


def test_holder_that_is_heard_has_a_lease_of_time(standing: Standing):
    assert not standing.replaces(HELD, LEASE_MS - 1, decided=False)
    assert standing.replaces(HELD, LEASE_MS, decided=False)


def test_holder_of_a_short_lease_has_time_to_hear_counts(
    clock: ManualClock, sight: Sight
):
    # Two gateways took a lease of 1.2 s from each other each 1.6 s, while a
    # holder waits 1.5 s for counts; no window was reported.
    short = Standing(
        clock=clock,
        lease_ms=1200,
        new_ms=NEW_MS,
        look=sight.look,
        is_stopping=bool,
    )
    assert not short.replaces(HELD, 2499, decided=False)
    assert short.replaces(HELD, 2500, decided=False)


def test_holder_that_is_gone_is_replaced_at_once(standing: Standing):
    gone = LeaseRecord(holder='d/1', name='d')
    assert standing.replaces(gone, 0, decided=True)
    assert standing.replaces(LeaseRecord(), 0, decided=False)
