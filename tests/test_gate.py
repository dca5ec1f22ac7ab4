"""The gate of an agent: slots, grants, refusals."""

from __future__ import annotations

import pytest

from tests.tickets import make_ticket
from wingfall.decision.gate import Gate
from wingfall.decision.limit import FixedLimit, Pace
from wingfall.decision.order import orders
from wingfall.decision.slots import Slots
from wingfall.wire.reasons import RefusalReason


@pytest.fixture
def make_gate(clock):
    """Give a function that makes a gate."""

    def make(limit=2, headroom=0, queue=4):
        order = orders.find('tiered').unwrap()(capacity=queue)
        return Gate(
            clock=clock,
            order=order,
            limit=FixedLimit(clock=clock, pace=Pace(), slots=limit),
            headroom=headroom,
            slots=Slots(clock=clock, grant_ms=500),
        )

    return make


def _offer(gate, ticket, *, eager=False):
    return [
        (verdict.ticket is ticket, verdict.reason)
        for verdict in gate.offer(ticket, eager=eager)
    ]


def test_free_slot_is_granted_at_once(make_gate):
    gate = make_gate()
    assert _offer(gate, make_ticket()) == [(True, None)]
    assert gate.in_use == 1


def test_full_gate_lets_wait_and_grants_when_a_call_ends(make_gate):
    gate = make_gate(limit=1)
    first, second = make_ticket(), make_ticket()
    _offer(gate, first)
    assert _offer(gate, second) == []
    assert gate.start(first.call_id) is first
    (verdict,) = gate.finish(first.call_id, whole=True)
    assert verdict.ticket is second
    assert verdict.reason is None


def test_eager_offer_is_refused_when_full(make_gate):
    gate = make_gate(limit=1)
    _offer(gate, make_ticket())
    late = make_ticket()
    assert _offer(gate, late, eager=True) == [(True, RefusalReason.busy)]
    assert gate.start(late.call_id) is None


def test_eager_offer_does_not_overtake_those_that_wait(make_gate):
    gate = make_gate(limit=2, headroom=1)
    _offer(gate, make_ticket())
    _offer(gate, make_ticket())
    assert gate.waiting == 1
    eager = make_ticket()
    assert _offer(gate, eager, eager=True) == [(True, RefusalReason.busy)]


def test_headroom_is_kept_for_the_top_tier(make_gate):
    gate = make_gate(limit=2, headroom=1)
    assert _offer(gate, make_ticket(tier=1)) == [(True, None)]
    assert _offer(gate, make_ticket(tier=1)) == []
    assert _offer(gate, make_ticket(tier=0)) == [(True, None)]


def test_headroom_never_takes_the_last_slot(make_gate):
    gate = make_gate(limit=1, headroom=5)
    assert _offer(gate, make_ticket(tier=3)) == [(True, None)]


def test_run_without_a_grant_does_not_start(make_gate):
    gate = make_gate()
    assert gate.start('never offered') is None
    assert gate.in_use == 0


def test_lapsed_grant_frees_its_slot_and_can_not_start(make_gate, clock):
    gate = make_gate(limit=1)
    first, second = make_ticket(), make_ticket()
    _offer(gate, first)
    _offer(gate, second)
    clock.advance(500)
    lapsed, granted = gate.tick()
    assert lapsed.reason is RefusalReason.grant_lapsed
    assert granted.ticket is second
    assert gate.start(first.call_id) is None


def test_ticket_that_can_not_be_met_is_refused_at_once(make_gate, clock):
    gate = make_gate(limit=1)
    _offer(gate, make_ticket())
    waiting = make_ticket(start_by_ms=clock.now_ms() + 300)
    _offer(gate, waiting)
    gate.start('none')
    clock.advance(300)
    (verdict,) = gate.tick()
    assert verdict.ticket is waiting
    assert verdict.reason is RefusalReason.too_late
    assert verdict.retry_after_ms >= 1000


def test_early_refusal_from_the_expected_wait(make_gate, clock):
    gate = make_gate(limit=1)
    _offer(gate, make_ticket())
    hurried = make_ticket(start_by_ms=clock.now_ms() + 100)
    assert _offer(gate, hurried) == [(True, RefusalReason.too_late)]
    assert gate.waiting == 0


def test_withdrawn_offer_never_starts(make_gate):
    gate = make_gate(limit=1)
    first, second = make_ticket(), make_ticket()
    _offer(gate, first)
    _offer(gate, second)
    withdrawn, verdicts = gate.withdraw(first.call_id)
    assert withdrawn
    assert [verdict.ticket for verdict in verdicts] == [second]
    assert gate.start(first.call_id) is None


def test_running_call_is_not_withdrawn(make_gate):
    gate = make_gate()
    ticket = make_ticket()
    _offer(gate, ticket)
    gate.start(ticket.call_id)
    assert gate.withdraw(ticket.call_id) == (False, [])


def test_leaving_refuses_what_waits_and_what_comes(make_gate):
    gate = make_gate(limit=1)
    running, waiting = make_ticket(), make_ticket()
    _offer(gate, running)
    _offer(gate, waiting)
    (verdict,) = gate.leave()
    assert verdict.ticket is waiting
    assert verdict.reason is RefusalReason.leaving
    assert _offer(gate, make_ticket()) == [(True, RefusalReason.leaving)]
    assert gate.start(running.call_id) is running
    assert gate.finish(running.call_id, whole=True) == []


def test_lost_router_frees_its_grants_but_not_its_calls(make_gate):
    gate = make_gate(limit=2)
    running = make_ticket(owner='lost')
    granted = make_ticket(owner='lost')
    other = make_ticket(owner='other')
    for ticket in (running, granted, other):
        _offer(gate, ticket)
    gate.start(running.call_id)
    (verdict,) = gate.drop_owner('lost')
    assert verdict.ticket is other
    assert gate.in_use == 2


def test_mean_run_follows_whole_answers_only(make_gate, clock):
    gate = make_gate()
    before = gate.mean_run_ms
    for whole in (False, True):
        ticket = make_ticket()
        _offer(gate, ticket)
        gate.start(ticket.call_id)
        clock.advance(10_000)
        gate.finish(ticket.call_id, whole=whole)
        assert (gate.mean_run_ms > before) is whole
