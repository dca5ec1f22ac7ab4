"""The waiting orders: tiers, floor, fairness, shedding."""

from __future__ import annotations

import collections
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.tickets import make_ticket
from wingfall.decision.order import orders


@pytest.fixture
def tiered():
    """Give an order with four shared places."""
    return orders.find('tiered').unwrap()(capacity=4)


def _drain(order):
    return list(iter(lambda: order.pop(top_only=False), None))


def test_higher_tier_starts_first(tiered):
    for tier in (2, 0, 1):
        tiered.push(make_ticket(tier=tier))
    assert [ticket.tier for ticket in _drain(tiered)] == [0, 1, 2]


def test_least_slack_starts_first_in_a_tier(tiered):
    for slack in (300, 100, 200):
        tiered.push(make_ticket(start_by_ms=slack))
    assert [ticket.start_by_ms for ticket in _drain(tiered)] == [100, 200, 300]


def test_customers_share_by_worth():
    tiered = orders.find('tiered').unwrap()(capacity=100)
    for _turn in range(30):
        tiered.push(make_ticket(customer='large', worth=2))
        tiered.push(make_ticket(customer='small', worth=1))
    starts = collections.Counter(
        tiered.pop(top_only=False).customer for _turn in range(30)
    )
    assert starts['large'] == pytest.approx(20, abs=1)


def test_one_that_was_away_does_not_catch_up():
    tiered = orders.find('tiered').unwrap()(capacity=100)
    for _turn in range(40):
        tiered.push(make_ticket(customer='steady'))
    for _turn in range(20):
        tiered.pop(top_only=False)
    for _turn in range(10):
        tiered.push(make_ticket(customer='fresh'))
    starts = [tiered.pop(top_only=False).customer for _turn in range(10)]
    assert starts.count('steady') >= 4


def test_floor_starts_the_lowest_class(tiered):
    tiered.push(make_ticket(tier=3, class_name='low', share=0.1))
    starts = []
    for _turn in range(20):
        tiered.push(make_ticket(tier=0, class_name='top', share=0.02))
        starts.append(tiered.pop(top_only=False).class_name)
    assert starts.index('low') <= 10


def test_top_only_leaves_lower_tiers_waiting(tiered):
    tiered.push(make_ticket(tier=1))
    assert tiered.pop(top_only=True) is None
    assert len(tiered) == 1


def test_victim_is_of_the_lowest_tier(tiered):
    low = make_ticket(tier=3, class_name='low', private=0)
    tiered.push(low)
    for _place in range(3):
        assert tiered.push(make_ticket(tier=0, private=0)) is None
    assert tiered.push(make_ticket(tier=0, private=0)) is low


def test_newcomer_of_the_lowest_tier_is_refused(tiered):
    for _place in range(4):
        tiered.push(make_ticket(tier=1, private=0))
    late = make_ticket(tier=2, private=0)
    assert tiered.push(late) is late


def test_private_place_is_kept_when_the_rest_is_full(tiered):
    for _place in range(6):
        tiered.push(make_ticket(tier=0, class_name='top', private=2))
    low = make_ticket(tier=3, class_name='low', private=1)
    assert tiered.push(low) is None
    shed = tiered.push(make_ticket(tier=0, class_name='top', private=2))
    assert shed.class_name == 'top'
    assert low in list(tiered)


_TICKETS = st.builds(
    make_ticket,
    tier=st.integers(0, 3),
    class_name=st.sampled_from(['a', 'b', 'c', 'd']),
    customer=st.sampled_from(['x', 'y']),
    worth=st.floats(0.1, 10),
    start_by_ms=st.integers(0, 10_000),
)


def _by_class(tickets):
    # A class has one tier.
    for ticket in tickets:
        ticket.tier = 'abcd'.index(ticket.class_name)
    return tickets


@given(st.lists(_TICKETS, max_size=60).map(_by_class), st.integers(1, 8))
def test_no_higher_tier_is_shed_for_a_lower(tickets, capacity):
    order = orders.find('tiered').unwrap()(capacity=capacity)
    for ticket in tickets:
        seats = collections.Counter(held.class_name for held in order)
        shed = order.push(ticket)
        if shed is None:
            continue
        private = [
            held
            for held in order
            if seats[held.class_name] > held.private and held.tier > shed.tier
        ]
        assert not private


@given(st.lists(_TICKETS, max_size=60).map(_by_class), st.integers(1, 8))
def test_queue_bound_holds(tickets, capacity):
    order = orders.find('tiered').unwrap()(capacity=capacity)
    for ticket in tickets:
        order.push(ticket)
        private = sum(
            {held.class_name: held.private for held in order}.values()
        )
        assert len(order) <= capacity + private


@given(
    st.dictionaries(
        st.sampled_from(['a', 'b', 'c', 'd']),
        st.floats(0.02, 0.5),
        min_size=1,
    ),
)
def test_no_class_starves(shares):
    order = orders.find('tiered').unwrap()(capacity=50)
    first_start: dict[str, int] = {}
    for start in range(200):
        waiting = {held.class_name for held in order}
        for name, share in shares.items():
            if name not in waiting:
                tier = 'abcd'.index(name)
                order.push(make_ticket(tier, name, share=share))
        order.push(make_ticket(0, 'top', share=0.02))
        first_start.setdefault(order.pop(top_only=False).class_name, start)
    assert set(shares) <= set(first_start)


def test_fifo_keeps_the_order_of_arrival():
    fifo = orders.find('fifo').unwrap()(capacity=2)
    tickets = [make_ticket(tier=tier) for tier in (3, 0, 0)]
    shed = [fifo.push(ticket) for ticket in tickets]
    assert shed == [None, None, tickets[2]]
    assert _drain(fifo) == tickets[:2]


def test_removed_ticket_is_gone(tiered):
    tickets = [make_ticket() for _ticket in range(3)]
    for ticket in tickets:
        tiered.push(ticket)
    assert tiered.remove(tickets[1].call_id) is tickets[1]
    assert tiered.remove(tickets[1].call_id) is None
    assert list(tiered) == [tickets[0], tickets[2]]
    assert list(itertools.chain(tiered)) == list(tiered)
