"""Which peer a gateway asks for objects that it lacks, and how often."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

import pytest

from tests.fake_connection import make_peer
from wingfall.clock import ManualClock
from wingfall.gateway.binding import StoredObject, StoreReading
from wingfall.gateway.object_exchange import ObjectExchange
from wingfall.gateway.replica import ROUTES_KIND, ObjectReplica
from wingfall.wire.gateway_messages import ObjectsFetch

if TYPE_CHECKING:
    from wingfall.gateway.peer_session import PeerSession

ZONE = 'osl-a'


@final
class _Gateway:
    """One gateway's exchange, at a revision, with the peers of a test."""

    def __init__(self, revision: int) -> None:
        self.clock = ManualClock()
        self.replica = ObjectReplica(
            kind=ROUTES_KIND,
            listener=lambda name, spec: None,
        )
        self.exchange = ObjectExchange(
            replicas=[self.replica],
            clock=self.clock,
            zone=ZONE,
        )
        if revision:
            self.replica.apply_list(reading(revision))

    def hear(self, peer: PeerSession, revision: int) -> None:
        """Hear a heartbeat."""
        self.exchange.compare(peer, ROUTES_KIND, revision)


def reading(revision: int) -> StoreReading:
    """Make what the store says at a revision."""
    main = StoredObject(name='main', revision=revision, spec={})
    return StoreReading(revision=revision, objects=[main])


def peer(name: str, zone: str = ZONE) -> PeerSession:
    """Make a session with a peer."""
    return make_peer(name, zone)


def fetches(*peers: PeerSession) -> int:
    """Count what the peers were asked for."""
    sent = [each for one in peers for each in one.connection.sent]
    return sum(isinstance(each, ObjectsFetch) for each in sent)


@pytest.fixture
def near() -> list[PeerSession]:
    """Give three peers of the own availability zone."""
    return [peer(f'near-{number}') for number in range(3)]


def test_gateway_that_starts_asks_one_peer(near: list[PeerSession]):
    gateway = _Gateway(revision=0)
    for each in near:
        gateway.hear(each, 5)
    assert fetches(*near) == 1


def test_gateway_that_is_behind_asks_one_peer(near: list[PeerSession]):
    gateway = _Gateway(revision=4)
    for _heartbeat in range(4):
        gateway.clock.advance(100)
        for each in near:
            gateway.hear(each, 5)
    assert fetches(*near) == 1


def test_peer_that_does_not_answer_is_not_waited_for_long(
    near: list[PeerSession],
):
    gateway = _Gateway(revision=0)
    gateway.hear(near[0], 5)
    gateway.clock.advance(1000)
    gateway.hear(near[1], 5)
    assert fetches(near[1]) == 1


def test_peer_that_ended_is_not_waited_for(near: list[PeerSession]):
    gateway = _Gateway(revision=0)
    gateway.hear(near[0], 5)
    gateway.exchange.forget(near[0])
    gateway.hear(near[1], 5)
    assert fetches(near[1]) == 1


def test_further_change_is_asked_for_after_an_answer(
    near: list[PeerSession],
):
    gateway = _Gateway(revision=0)
    gateway.hear(near[0], 5)
    answering = _Gateway(revision=5)
    answering.exchange.answer(near[1], near[0].connection.sent[0])
    gateway.exchange.take(near[0], near[1].connection.sent[0])
    assert gateway.replica.revision == 5
    gateway.hear(near[2], 6)
    gateway.clock.advance(300)
    gateway.hear(near[2], 6)
    assert fetches(near[2]) == 1


def test_peer_of_another_zone_is_asked_later(near: list[PeerSession]):
    gateway = _Gateway(revision=4)
    far = peer('far', zone='osl-b')
    gateway.hear(far, 5)
    gateway.clock.advance(200)
    gateway.hear(far, 5)
    gateway.hear(near[0], 5)
    assert not fetches(far)
    gateway.clock.advance(100)
    gateway.hear(far, 5)
    assert fetches(far) == 1
