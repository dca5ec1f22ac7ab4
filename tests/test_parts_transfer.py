"""Choice and time of requests for cached prompt parts of engines."""

from __future__ import annotations

import hashlib
from types import SimpleNamespace
from typing import TYPE_CHECKING, final

import pytest

from tests.fake_connection import make_peer
from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.prefix_caches import PrefixCaches
from wingfall.gateway.model.prompt import PromptPart
from wingfall.gateway.peers.caches.memory_survey import choose_engines
from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer
from wingfall.wire.transfer_messages import PartsFetch

if TYPE_CHECKING:
    from wingfall.gateway.peers.peer_session import PeerSession

ZONE = 'osl-a'
PARTS = [PromptPart(part_id='p1', tokens=500)]


@final
class _Gateway:
    """A gateway with only the state that the transfer uses."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.caches = PrefixCaches()
        self.zone = ZONE
        self.transfer = PartsTransfer(
            zone=self.zone, clock=self.clock, caches=self.caches
        )


@pytest.fixture
def gateway() -> _Gateway:
    """Return a gateway that has just started."""
    return _Gateway()


def peer(
    name: str, zone: str = ZONE, *, knows_caches: bool = True
) -> PeerSession:
    """Return a session with a peer."""
    session = make_peer(name, zone)
    session.knows_caches = knows_caches
    return session


def asked_peers(*peers: PeerSession) -> list[str]:
    """Return the names of the peers that got a request."""
    return [each.name for each in peers if each.connection.sent]


def test_one_informed_peer_is_asked(gateway: _Gateway):
    peers = [peer('new', knows_caches=False), peer('one'), peer('two')]
    gateway.transfer.request_if_due(peers)
    gateway.transfer.request_if_due(peers)
    assert asked_peers(*peers) == ['one']


def test_peer_of_another_zone_is_asked_later(gateway: _Gateway):
    far = peer('far', zone='osl-b')
    gateway.transfer.request_if_due([far])
    assert not asked_peers(far)
    gateway.clock.advance(300)
    gateway.transfer.request_if_due([far])
    assert asked_peers(far)


def test_another_peer_is_asked_when_the_first_is_silent(gateway: _Gateway):
    peers = [peer('one'), peer('two')]
    gateway.transfer.request_if_due(peers)
    gateway.clock.advance(1000)
    gateway.transfer.request_if_due(peers)
    assert asked_peers(*peers) == ['one', 'two']


def test_each_silent_peer_doubles_the_timeout(gateway: _Gateway):
    peers = [peer('one'), peer('two')]
    asked_ms = []
    for now_ms in range(0, 8000, 100):
        sent = sum(len(each.connection.sent) for each in peers)
        gateway.transfer.request_if_due(peers)
        if sum(len(each.connection.sent) for each in peers) > sent:
            asked_ms.append(now_ms)
        gateway.clock.advance(100)
    assert asked_ms == [0, 1000, 3000, 7000]


def test_gateway_counts_as_informed_when_no_peer_is(gateway: _Gateway):
    new = peer('new', knows_caches=False)
    gateway.clock.advance(2900)
    gateway.transfer.request_if_due([new])
    assert not gateway.transfer.knows_caches
    gateway.clock.advance(100)
    gateway.transfer.request_if_due([])
    assert not gateway.transfer.knows_caches
    gateway.transfer.request_if_due([new])
    assert gateway.transfer.knows_caches


def test_parts_of_an_answer_are_recorded(gateway: _Gateway):
    informed, session = _Gateway(), peer('one')
    informed.caches.find('e1').note(PARTS)
    informed.transfer.send_parts(session, PartsFetch(most=10))
    gateway.transfer.record_page(session, session.connection.sent[0])
    assert gateway.transfer.knows_caches
    assert gateway.caches.find('e1').cached_tokens(PARTS) == 500


def test_answer_is_bounded_over_all_engines(gateway: _Gateway):
    session = peer('one')
    for engine in ('e1', 'e2'):
        gateway.caches.find(engine).note(
            PromptPart(part_id=f'p{number}', tokens=1) for number in range(20)
        )
    gateway.transfer.send_parts(session, PartsFetch(most=10))
    (page,) = session.connection.sent
    assert [len(entry) for entry in page.parts] == [1 + 5, 1 + 5]


def test_gateway_that_lost_most_peers_asks_again(gateway: _Gateway):
    gateway.transfer.knows_caches = True
    gateway.transfer.note_sessions(connected=12, known=24)
    assert gateway.transfer.knows_caches
    gateway.transfer.note_sessions(connected=11, known=24)
    assert not gateway.transfer.knows_caches


def test_engines_are_distributed_among_gateways():
    names = [f'gateway-{number}' for number in range(9)]
    engines = [SimpleNamespace(name=f'e{number}') for number in range(30)]
    chosen = {name: choose_engines(name, names, engines) for name in names}
    query_counts = [
        sum(engine in own for own in chosen.values()) for engine in engines
    ]
    assert all(1 <= number <= 2 for number in query_counts)
    assert sum(query_counts) >= 50


def test_single_gateway_queries_engines_up_to_the_limit():
    engines = [SimpleNamespace(name=f'e{number}') for number in range(30)]
    assert len(choose_engines('gateway-0', [], engines)) == 12


def test_hashing_does_not_grow_with_gateways_times_engines(
    monkeypatch: pytest.MonkeyPatch,
):
    hashed: list[bytes] = []

    def record_hash(text: bytes) -> object:
        hashed.append(text)
        return hashlib.sha256(text)

    names = [f'gateway-{number}' for number in range(100)]
    engines = [SimpleNamespace(name=f'e{number}') for number in range(2000)]
    monkeypatch.setattr(
        'wingfall.gateway.peers.caches.memory_survey.hashlib',
        SimpleNamespace(sha256=record_hash),
    )
    assert choose_engines(names[0], names, engines)
    assert len(hashed) < 100 * 2000 / 5
