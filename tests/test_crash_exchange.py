"""Exchange of crashes between gateways."""

from __future__ import annotations

import pytest

from tests.fake_connection import FakeConnection
from tests.gateway_site import GatewaySite
from tests.local_site import wait_until
from wingfall.clock import ManualClock
from wingfall.gateway.application import GatewayApplication
from wingfall.gateway.knowledge.crash_ledger import CrashLedger
from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.peers.crash_exchange import CrashExchange
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.wire.codec import encode
from wingfall.wire.gateway_messages import GatewayHeartbeat, GatewayHello
from wingfall.wire.message import build_message

REQUEST = b'0123456789abcdef'
PART = b'the part'
SETTLE_TIME_MS = 500


def ledger_of(gateway: GatewayApplication) -> CrashLedger:
    """Return the crashes known to a gateway."""
    return gateway._state.knowledge.crashes


def crash(
    endpoint: str, *, at_ms: int, reported_by: str = 'g1'
) -> EndpointCrash:
    """Return a crash with one suspect request."""
    return EndpointCrash(
        endpoint=endpoint,
        crashed_ms=at_ms,
        reported_by=reported_by,
        silent=[REQUEST],
    )


def heartbeat(crashes: int = 0, suspects: int = 1) -> GatewayHeartbeat:
    """Return a heartbeat that carries some crashes."""
    silent = [b'%016d' % number for number in range(suspects)]
    return GatewayHeartbeat(
        revisions={},
        loads=[],
        sent=[],
        leaving=False,
        whole=True,
        watching=False,
        crashes=[
            ['i-0123456789', 50, 'front-osl-a-1', silent, []]
            for _crash in range(crashes)
        ],
        crash_digest=2**63 if crashes else 0,
    )


def test_crashes_are_sent_to_gateways_of_all_zones(gateway_site: GatewaySite):
    gateways = [
        gateway_site.start_gateway(zone=zone)
        for zone in ('osl-a', 'osl-a', 'osl-b', 'osl-c')
    ]
    first, *others = gateways
    wait_until(lambda: len(first._peers.names) == 3)
    now_ms = first._clock.now_ms()
    ledger_of(first).note_crash(crash('e1', at_ms=now_ms))
    wait_until(lambda: all(ledger_of(other).crashes for other in others))
    for other in others:
        (known,) = ledger_of(other).crashes
        assert known.silent == {REQUEST}
        assert known.reported_by == 'g1'
        assert abs(known.crashed_ms - now_ms) < 1000


def test_new_gateway_receives_all_crashes(gateway_site: GatewaySite):
    first = gateway_site.start_gateway()
    now_ms = first._clock.now_ms()
    ledger_of(first).note_crash(crash('e1', at_ms=now_ms - 3_600_000))
    second = gateway_site.start_gateway()
    wait_until(lambda: ledger_of(second).crashes)


def test_missed_crash_is_resent_by_gateway_that_only_received_it(
    gateway_site: GatewaySite,
):
    first = gateway_site.start_gateway()
    second = gateway_site.start_gateway()
    wait_until(lambda: second._peers.names)
    # The gateway that observed the crash has no session with the second one.
    received = crash('e1', at_ms=first._clock.now_ms(), reported_by='gone')
    ledger_of(first).merge_crash(received)
    wait_until(lambda: ledger_of(second).crashes)


@pytest.mark.parametrize('planned', [False, True], ids=['lost', 'planned'])
def test_crash_is_incomplete_if_a_gateway_is_lost_without_planned_stop(
    gateway_site: GatewaySite, *, planned: bool
):
    first = gateway_site.start_gateway()
    second = gateway_site.start_gateway()
    wait_until(lambda: first._peers.names and second._peers.names)
    now_ms = first._clock.now_ms()
    ledger_of(first).note_crash(crash('e1', at_ms=now_ms))
    if planned:
        second._state.draining = True
        (session,) = first._peers._sessions.values()
        wait_until(lambda: session.leaving)
    second._peers.stop()
    wait_until(lambda: not first._peers.names)
    (known,) = ledger_of(first).crashes
    assert known.incomplete is not planned


def test_prompt_parts_of_a_crash_reach_other_gateways(
    gateway_site: GatewaySite,
):
    first = gateway_site.start_gateway()
    second = gateway_site.start_gateway()
    wait_until(lambda: second._peers.names)
    seen = crash('e1', at_ms=first._clock.now_ms())
    seen.silent.add(PART)
    ledger_of(first).note_crash(seen)
    wait_until(lambda: ledger_of(second).crashes)
    assert ledger_of(second).crashes[0].silent == {REQUEST, PART}
    ledger_of(second).note_served(b'another request!', [PART])
    wait_until(lambda: PART in ledger_of(first).served_ms)


def test_served_request_is_reported(gateway_site: GatewaySite):
    first = gateway_site.start_gateway()
    second = gateway_site.start_gateway()
    wait_until(lambda: second._peers.names)
    ledger_of(first).note_crash(crash('e1', at_ms=first._clock.now_ms()))
    wait_until(lambda: ledger_of(second).crashes)
    ledger_of(second).note_served(REQUEST)
    wait_until(lambda: REQUEST in ledger_of(first).served_ms)


def session() -> PeerSession:
    """Return a session with a peer."""
    hello = GatewayHello(name='g2', address='', known=[])
    return PeerSession(hello=hello, connection=FakeConnection())


@pytest.fixture
def exchange(clock: ManualClock) -> CrashExchange:
    """Return the exchange of a gateway that knows one crash."""
    ledger = CrashLedger(clock=clock)
    ledger.note_crash(crash('e1', at_ms=clock.now_ms()))
    return CrashExchange(clock=clock, ledger=ledger)


def test_equal_digest_causes_no_resend(
    exchange: CrashExchange, clock: ManualClock
):
    clock.advance(SETTLE_TIME_MS)
    assert exchange.answer_digest(session(), exchange.recent_digest, 1).is_empty
    assert not exchange.answer_digest(session(), 0, 1).is_empty


def test_peer_of_older_version_gets_no_resend(
    exchange: CrashExchange, clock: ManualClock
):
    clock.advance(SETTLE_TIME_MS)
    assert exchange.answer_digest(session(), -1, 1).is_empty


def test_missed_prompt_parts_are_resent(
    exchange: CrashExchange, clock: ManualClock
):
    clock.advance(SETTLE_TIME_MS)
    digests = (exchange.recent_digest, 1, exchange.recent_part_digest)
    assert exchange.answer_digest(session(), *digests).is_empty
    missed = (exchange.recent_digest, 1, exchange.recent_part_digest + 1)
    assert not exchange.answer_digest(session(), *missed).is_empty


def test_updates_in_transit_are_not_resent(
    exchange: CrashExchange,
):
    assert exchange.answer_digest(session(), 0, 1).is_empty


def test_resends_to_one_peer_are_spaced(
    exchange: CrashExchange, clock: ManualClock
):
    peer = session()
    clock.advance(SETTLE_TIME_MS)
    resends = []
    for _heartbeat in range(100):
        resends.append(not exchange.answer_digest(peer, 0, 1).is_empty)
        clock.advance(100)
    assert resends.count(True) == 4


def test_few_of_many_gateways_resend(
    exchange: CrashExchange, clock: ManualClock
):
    clock.advance(SETTLE_TIME_MS)
    # Four gateways resend on average; at random, none may.
    rounds = 50
    are_empty = [
        exchange.answer_digest(session(), 0, 297).is_empty
        for _peer in range(297 * rounds)
    ]
    assert 2 * rounds < are_empty.count(False) < 6 * rounds


def test_older_and_newer_versions_decode_each_other():
    sent = heartbeat(3)
    # The older version lacks the crashes and all fields after them.
    before = sent.fields()[: 1 + sent.__slots__.index('crashes')]
    read = build_message(before)
    assert read.crash_digest == -1
    assert not read.crashes
    # Unknown fields are ignored.
    more = build_message([*sent.fields(), 'of a later version'])
    assert more.fields() == sent.fields()


@pytest.mark.parametrize(
    ('crashes', 'max_bytes'),
    # One blocked request has three crashes.
    [(0, 4), (3, 200), (300, 20_000)],
)
def test_updates_in_a_heartbeat_are_compact(crashes: int, max_bytes: int):
    without = len(encode(heartbeat())) - 3
    assert len(encode(heartbeat(crashes))) - without <= max_bytes
