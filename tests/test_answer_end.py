"""Ends of answers that have neither a length nor chunks."""

from __future__ import annotations

import itertools
import socket
from typing import TYPE_CHECKING, Final, final

import gevent
import pytest

from standins.pool_server import PoolServerStandIn
from standins.prompt_crash import PromptCrash
from tests.gateway_site import GatewaySite, known_endpoints
from tests.local_site import wait_until
from tests.test_crash_watch import endpoint_at
from tests.test_gateway_streams import PROMPT, parse_event_ids
from wingfall.answer_evidence import EndEvidence, find_evidence
from wingfall.clock import Clock, ManualClock
from wingfall.gateway.endpoints.answer_end import AnswerEndCheck
from wingfall.gateway.endpoints.connection_cache import ConnectionCache
from wingfall.gateway.endpoints.endpoint_probe import ProbeResult
from wingfall.gateway.endpoints.sending_gate import SendingGate
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.rules.pacing.rate_share import rate_shares
from wingfall.loop_lag import LoopLag
from wingfall.metrics import Metrics
from wingfall.tcp import SocketState

if TYPE_CHECKING:
    from collections.abc import Iterator

EVENTS: Final = 6
EVENT_MS: Final = 100
MAX_CONNECTIONS: Final = 10
STOOD_STILL_MS: Final = 2000
READ_DELAY_S: Final = 0.05
EVENTS_OF_OTHER_STREAM: Final = 20
ALL_EVENTS: Final = list(range(1, EVENTS + 1))


@pytest.fixture
def engine_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of one gateway and two engines that frame no streams."""
    for name in ('one', 'two'):
        server = gateway_site.add_server(name, 'engines')
        server.unframed_streams = True
        server.events = EVENTS
        server.event_ms = EVENT_MS
        # As the system closes the connections of a process that was killed.
        server.prompt_crash = PromptCrash(closes=True)
    gateway_site.add_gateway()
    return gateway_site


def find_running(site: GatewaySite) -> PoolServerStandIn:
    """Wait for the engine that runs the only request, and return it."""
    wait_until(lambda: any(each.runs for each in site.servers.values()))
    (server,) = [each for each in site.servers.values() if each.runs]
    return server


def drain(site: GatewaySite, server: PoolServerStandIn) -> None:
    """Have an engine's entry say that it leaves."""
    site.put_server(server.name, 'engines', state='draining')
    table = known_endpoints(site.gateways[0])
    wait_until(
        lambda: any(
            each.name == server.name and each.draining for each in table.listed
        )
    )


def announce_leaving(
    site: GatewaySite, server: PoolServerStandIn, how: str
) -> None:
    """Have an engine announce that it leaves, in its answer or its entry."""
    if how == 'entry':
        drain(site, server)
    signals = site.gateways[0]._state.knowledge.signals
    wait_until(lambda: how == 'entry' or server.name in signals.leaving)


@pytest.mark.parametrize('how', ['entry', 'answer'])
@pytest.mark.parametrize(
    ('target', 'is_whole'), [('/oneway/x', False), ('/stream/x', True)]
)
def test_stream_cut_by_the_end_of_a_leaving_engine_is_not_complete(
    engine_site: GatewaySite, how: str, target: str, *, is_whole: bool
):
    for server in engine_site.servers.values():
        server.signals.leaving = how == 'answer'
    caller = engine_site.caller()
    caller.send(target, method='POST', **PROMPT)
    server = find_running(engine_site)
    announce_leaving(engine_site, server, how)
    for other in engine_site.servers.values():
        other.signals.leaving = False
    gevent.sleep(EVENT_MS / 1000)
    server.crash()
    answer = caller.receive()
    assert answer.whole is is_whole
    received = parse_event_ids(answer.body)
    assert received == ALL_EVENTS[: len(received)]
    assert (received == ALL_EVENTS) is is_whole


@pytest.mark.parametrize(
    ('target', 'status'), [('/safe/x', 200), ('/unsafe/x', 502)]
)
def test_plain_answer_cut_by_the_end_of_a_leaving_endpoint_is_not_complete(
    gateway_site: GatewaySite, target: str, status: int
):
    faults = ['unframed_end']
    for name in ('one', 'two'):
        server = gateway_site.add_server(name)
        server.signals.leaving = True
        server.faults = faults
        server.prompt_crash = PromptCrash(closes=True)
    gateway_site.add_gateway()
    method = 'GET' if target == '/safe/x' else 'POST'
    answer = gateway_site.ask(target, method=method, X_Attempt_Id='r1')
    assert answer.status == status
    if status == 200:
        assert answer.body.endswith(b' r1 /safe/x')


@pytest.mark.parametrize('target', ['/oneway/x', '/stream/x'])
def test_stream_of_a_leaving_engine_that_sends_all_is_complete(
    engine_site: GatewaySite, target: str
):
    caller = engine_site.caller()
    caller.send(target, method='POST', **PROMPT)
    server = find_running(engine_site)
    drain(engine_site, server)
    answer = caller.receive()
    assert answer.whole
    assert parse_event_ids(answer.body) == ALL_EVENTS
    assert len(server.runs) == 1


def test_stream_of_a_leaving_engine_that_takes_no_connections_is_complete(
    engine_site: GatewaySite,
):
    callers = [engine_site.caller() for _caller in range(2)]
    callers[0].send('/oneway/x', method='POST', **PROMPT)
    server = find_running(engine_site)
    (other,) = set(engine_site.servers.values()) - {server}
    drain(engine_site, other)
    # The second stream, at the same engine, goes on after the end of the first.
    gevent.sleep(EVENTS * EVENT_MS / 1000 * 0.7)
    server.events = 2 * EVENTS
    callers[1].send('/oneway/x', method='POST', X_Attempt_Id='a2', **PROMPT)
    wait_until(lambda: len(server.runs) == 2)
    server.stop()
    answer = callers[0].receive()
    assert answer.whole
    assert parse_event_ids(answer.body) == ALL_EVENTS


@final
class EndpointSockets:
    """An endpoint that accepts connections, and the one that is in use."""

    def __init__(self, *, connections: ConnectionCache) -> None:
        """Listen, and establish the connection."""
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.endpoint = endpoint_at(self.listener)
        self.connection = connections.acquire(
            self.endpoint, timeout_ms=1000, allow_reuse=False
        )
        self.accepted = self.listener.accept()[0]

    def close_new_connections(self) -> None:
        """Accept connections and close them, as with too many of them."""
        for _connection in range(MAX_CONNECTIONS):
            self.listener.accept()[0].close()

    def receive_events(self) -> None:
        """Send events on the connection, and read each a moment later."""
        for _event in range(EVENTS_OF_OTHER_STREAM):
            self.accepted.sendall(b'x')
            gevent.sleep(READ_DELAY_S)
            self.connection._socket.recv(1)
            gevent.sleep(READ_DELAY_S)

    def close(self) -> None:
        """Close all sockets."""
        self.connection.close()
        self.accepted.close()
        self.listener.close()


@pytest.fixture
def knowledge() -> EndpointKnowledge:
    """Return knowledge without entries."""
    return EndpointKnowledge(clock=Clock())


@pytest.fixture
def connections(knowledge: EndpointKnowledge) -> ConnectionCache:
    """Return a cache without connections."""
    gate = SendingGate(
        name='g1',
        clock=Clock(),
        signals=knowledge.signals,
        rate_share=rate_shares.find('equal').unwrap(),
    )
    return ConnectionCache(clock=Clock(), gate=gate)


@pytest.fixture
def check(
    knowledge: EndpointKnowledge, connections: ConnectionCache
) -> AnswerEndCheck:
    """Return a check that has decided nothing."""
    return AnswerEndCheck(
        clock=Clock(),
        knowledge=knowledge,
        connections=connections,
        metrics=Metrics(),
        has_stood_still=lambda within_ms: False,
    )


@pytest.fixture
def sockets(connections: ConnectionCache) -> Iterator[EndpointSockets]:
    """Return an endpoint with one connection in use."""
    opened = EndpointSockets(connections=connections)
    yield opened
    opened.close()


def test_endpoint_that_accepts_connections_outlives_its_answer(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    assert check.is_whole('r1', sockets.endpoint)


def test_endpoint_that_refuses_connections_has_not_proved_its_answer(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    sockets.close()
    assert not check.is_whole('r1', sockets.endpoint)


def test_endpoint_that_keeps_its_connections_outlives_its_answer(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    sockets.listener.close()
    assert check.is_whole('r1', sockets.endpoint)


def test_endpoint_with_too_many_connections_outlives_its_answer(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    closing = gevent.spawn(sockets.close_new_connections)
    assert check.is_whole('r1', sockets.endpoint)
    closing.kill()


def test_late_end_of_another_connection_is_awaited(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    # The packet that ends it was lost and is sent again.
    sockets.listener.close()
    gevent.spawn_later(0.22, sockets.accepted.close)
    assert not check.is_whole('r1', sockets.endpoint)


def test_end_of_another_connection_that_was_lost_twice_is_awaited(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    # Sent again after 200 ms, and 400 ms after that.
    sockets.listener.close()
    gevent.spawn_later(0.65, sockets.accepted.close)
    assert not check.is_whole('r1', sockets.endpoint)


def test_connection_made_after_the_end_proves_nothing(
    check: AnswerEndCheck,
    sockets: EndpointSockets,
    connections: ConnectionCache,
):
    # Another endpoint may listen there since; the end of the first one's last
    # connection is late.
    address = sockets.listener.getsockname()
    sockets.listener.close()
    later: list[object] = []

    def start_again() -> None:
        later.append(socket.create_server(address))
        later.append(
            connections.acquire(
                sockets.endpoint, timeout_ms=1000, allow_reuse=False
            )
        )
        sockets.accepted.close()

    gevent.spawn_later(0.1, start_again)
    assert not check.is_whole('r1', sockets.endpoint)
    assert len(later) == 2


def test_unread_bytes_of_another_connection_prove_nothing(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    # Its end would only be seen behind them.
    sockets.listener.close()
    sockets.accepted.sendall(b'x')
    assert not check.is_whole('r1', sockets.endpoint)


def test_connection_whose_bytes_are_read_outlives_the_answer(
    check: AnswerEndCheck, sockets: EndpointSockets
):
    # Events of another stream arrive and are read meanwhile.
    sockets.listener.close()
    reading = gevent.spawn(sockets.receive_events)
    assert check.is_whole('r1', sockets.endpoint)
    reading.kill()


def test_connection_is_looked_at_again_after_the_process_stood_still():
    # Only the second look after that finds the bytes read.
    clock = ManualClock(start_ms=1000)
    looks = iter((SocketState.unread, SocketState.unread, SocketState.open))

    def list_states() -> list[SocketState]:
        clock.advance(STOOD_STILL_MS)
        return [next(looks)]

    evidence = find_evidence(
        clock, lambda: ProbeResult.refused, list_states, lambda _ms: False
    )
    assert evidence is EndEvidence.keeps


def test_later_start_of_an_endpoint_proves_nothing_of_the_earlier_one(
    check: AnswerEndCheck,
    sockets: EndpointSockets,
    knowledge: EndpointKnowledge,
):
    earlier = endpoint_at(sockets.listener, instance='e1', born_ms=1)
    knowledge.incarnations.note(earlier)
    knowledge.incarnations.note(
        endpoint_at(sockets.listener, instance='e1', born_ms=2)
    )
    assert not check.is_whole('r1', earlier)


def test_address_proves_nothing_after_the_gateway_stood_still(
    knowledge: EndpointKnowledge,
    connections: ConnectionCache,
    sockets: EndpointSockets,
):
    # Another endpoint may listen there since.
    late = AnswerEndCheck(
        clock=Clock(),
        knowledge=knowledge,
        connections=connections,
        metrics=Metrics(),
        has_stood_still=lambda within_ms: True,
    )
    assert not late.is_whole('r1', sockets.endpoint)


@pytest.mark.parametrize(('silent', 'is_whole'), [(2, True), (3, False)])
def test_endpoint_whose_answer_to_a_probe_is_lost_is_probed_again(
    check: AnswerEndCheck,
    sockets: EndpointSockets,
    monkeypatch: pytest.MonkeyPatch,
    silent: int,
    *,
    is_whole: bool,
):
    silences = itertools.repeat(ProbeResult.silent, silent)
    probed = itertools.chain(silences, [ProbeResult.accepted])
    monkeypatch.setattr(
        'wingfall.gateway.endpoints.answer_end.probe_endpoint',
        lambda _endpoint: next(probed),
    )
    assert check.is_whole('r1', sockets.endpoint) is is_whole


def test_address_proves_nothing_if_the_gateway_stands_still_meanwhile(
    clock: ManualClock,
):
    lag = LoopLag(clock=clock, metrics=Metrics())

    def probe_late() -> ProbeResult:
        clock.advance(10_000)
        return ProbeResult.accepted

    evidence = find_evidence(clock, probe_late, list, lag.has_stood_still)
    assert evidence is EndEvidence.unknown_time
