"""Request counts of all gateways by window and customer."""

from __future__ import annotations

import pytest

from tests.fake_connection import FakeConnection
from wingfall.clock import ManualClock
from wingfall.gateway.duties.lease import Lease
from wingfall.gateway.knowledge.true_time import TrueTime
from wingfall.gateway.knowledge.usage_counts import UsageCounts
from wingfall.gateway.peers.duty_exchange import DutyExchange
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.wire.gateway_messages import GatewayHello

WINDOW_MS = 5000
WINDOW = 200


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock at the beginning of a window."""
    return ManualClock(start_ms=WINDOW * WINDOW_MS)


@pytest.fixture
def true_time(clock: ManualClock) -> TrueTime:
    """Return a time of day that equals the clock."""
    return TrueTime(clock=clock, wall=clock)


@pytest.fixture
def counts(true_time: TrueTime) -> UsageCounts:
    """Return empty counts."""
    return UsageCounts(time=true_time, window_ms=WINDOW_MS)


@pytest.fixture
def exchange(
    clock: ManualClock, true_time: TrueTime, counts: UsageCounts
) -> DutyExchange:
    """Return the exchange of a gateway that does not hold the lease."""
    return DutyExchange(
        clock=clock,
        true_time=true_time,
        counts=counts,
        lease=Lease(
            name='g',
            holder='g/1',
            clock=clock,
            store=None,
            lease_ms=3000,
        ),
    )


def session(name: str, *, incarnation: int = 1) -> PeerSession:
    """Return a session with a peer."""
    hello = GatewayHello(
        name=name, address='a', known=[], zone='z', incarnation=incarnation
    )
    return PeerSession(hello=hello, connection=FakeConnection())


def test_requests_count_in_the_window_of_their_start(
    clock: ManualClock, counts: UsageCounts
):
    counts.note('oslo', clock.now_ms())
    counts.note('oslo', clock.now_ms() - 1)
    counts.note('bergen', clock.now_ms() + WINDOW_MS - 1)
    assert counts.window_totals(WINDOW) == {'oslo': 1, 'bergen': 1}
    assert counts.window_totals(WINDOW - 1) == {'oslo': 1}


def test_duplicate_and_late_reports_change_no_count(counts: UsageCounts):
    counts.note('oslo', WINDOW * WINDOW_MS)
    counts.merge_reported('b/1', [(WINDOW, 'oslo', 7)])
    counts.merge_reported('b/1', [(WINDOW, 'oslo', 5)])
    counts.merge_reported('b/1', [(WINDOW, 'oslo', 7)])
    # The same gateway after a restart; its earlier reports still count.
    counts.merge_reported('b/2', [(WINDOW, 'oslo', 2)])
    assert counts.window_totals(WINDOW) == {'oslo': 10}


def test_only_changed_counts_are_returned(counts: UsageCounts):
    counts.note('oslo', WINDOW * WINDOW_MS)
    counts.note('bergen', WINDOW * WINDOW_MS)
    reported = counts.revision
    counts.note('oslo', WINDOW * WINDOW_MS)
    assert counts.changes_since(reported) == [(WINDOW, 'oslo', 2)]
    assert len(counts.changes_since(0)) == 2


def test_old_windows_are_removed(clock: ManualClock, counts: UsageCounts):
    counts.note('oslo', clock.now_ms())
    counts.merge_reported('b/1', [(WINDOW, 'oslo', 7)])
    clock.advance(WINDOW_MS * 7)
    counts.forget_old()
    assert not counts.window_totals(WINDOW)
    assert not counts.changes_since(0)


def test_peer_with_wrong_time_suppresses_no_report(
    counts: UsageCounts,
):
    counts.note_delivered(WINDOW + 3)
    assert counts.delivered_window == 0
    assert counts.next_window == WINDOW


def test_starting_gateway_reports_no_unknown_delivered_window(
    counts: UsageCounts, exchange: DutyExchange
):
    # Otherwise the holder would assume that pending windows are reported.
    assert exchange.encode_state()[0] == 0
    assert counts.next_window == WINDOW
    counts.note_delivered(WINDOW - 4)
    assert exchange.encode_state()[0] == WINDOW - 4
    assert counts.next_window == WINDOW - 3


def test_few_peers_receive_changes_and_a_new_session_receives_all(
    clock: ManualClock, counts: UsageCounts, exchange: DutyExchange
):
    sessions = [session(f'peer-{number}') for number in range(8)]
    counts.note('oslo', clock.now_ms())
    sent = dict(exchange.encode_due(sessions))
    assert len(sent) == 3
    assert {fields[3][0] for fields in sent.values()} == {(WINDOW, 'oslo', 1)}
    # At most once per second, and only after a change.
    counts.note('oslo', clock.now_ms())
    assert not list(exchange.encode_due(sessions))
    clock.advance(1000)
    assert len(list(exchange.encode_due(sessions))) == 3
    clock.advance(1000)
    assert not list(exchange.encode_due(sessions))
    first = next(iter(sent))
    restarted = session(first.name, incarnation=2)
    clock.advance(1000)
    ((receiver, field),) = exchange.encode_due([restarted])
    assert receiver is restarted
    assert field[3] == [(WINDOW, 'oslo', 2)]


def test_lease_holder_always_receives_counts(
    clock: ManualClock, counts: UsageCounts, exchange: DutyExchange
):
    sessions = [session(f'peer-{number}') for number in range(8)]
    counts.note('oslo', clock.now_ms())
    receivers = {peer.name for peer, _field in exchange.encode_due(sessions)}
    last = next(peer for peer in sessions if peer.name not in receivers)
    exchange.merge_report(last, [WINDOW - 1, True, clock.now_ms(), []])
    clock.advance(1000)
    counts.note('oslo', clock.now_ms())
    receivers = {peer.name for peer, _field in exchange.encode_due(sessions)}
    assert last.name in receivers
    assert len(receivers) == 4


def test_counts_of_a_peer_are_merged_with_its_time(
    clock: ManualClock,
    true_time: TrueTime,
    counts: UsageCounts,
    exchange: DutyExchange,
):
    peer = session('b')
    report = [
        WINDOW - 1,
        False,
        clock.now_ms() + 40,
        [[WINDOW, 'oslo', 3]],
    ]
    # A later version may report more fields.
    exchange.merge_report(peer, [*report, 'more'])
    exchange.merge_report(peer, [])
    assert counts.window_totals(WINDOW) == {'oslo': 3}
    assert true_time.now_ms() == clock.now_ms() + 20
    exchange.forget(peer)
    assert true_time.now_ms() == clock.now_ms()
    assert counts.window_totals(WINDOW) == {'oslo': 3}
