"""Which peer a gateway asks for objects that it lacks, and how often."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, final

import pytest

from tests.fake_connection import make_peer
from wingfall.clock import ManualClock
from wingfall.errors import WireError
from wingfall.gateway.configuration.replica import ROUTES_KIND, ObjectReplica
from wingfall.gateway.model.object_store import StoredObject, StoreReading
from wingfall.gateway.peers.objects.object_exchange import ObjectExchange
from wingfall.gateway.peers.objects.object_transfer import CHUNK_BYTES
from wingfall.wire.transfer_messages import ObjectsFetch, ObjectsPage

if TYPE_CHECKING:
    from wingfall.gateway.peers.peer_session import PeerSession

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
    assert gateway.replica.since(0)[0].spec == {}
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


def long_reading(revision: int) -> StoreReading:
    """Make a configuration that takes several chunks, however packed."""
    names = random.Random(revision).sample(range(10**12), 20_000)
    main = StoredObject(name='main', revision=revision, spec={'names': names})
    return StoreReading(revision=revision, objects=[main])


@final
class _Transfer:
    """A gateway that is behind, and a peer that has a long configuration."""

    def __init__(self) -> None:
        self.behind = _Gateway(revision=4)
        self.ahead = _Gateway(revision=4)
        self.ahead.replica.apply_changes(long_reading(5))
        # What the one behind sends to the other, and the other way round.
        self.there = peer('ahead')
        self.back = peer('behind')

    def begin(self) -> None:
        """Let the gateway that is behind ask."""
        self.behind.hear(self.there, 5)
        self.behind.clock.advance(200)
        self.behind.hear(self.there, 5)

    def pass_chunk(self) -> ObjectsPage:
        """Bring the last question to the peer, and its answer back."""
        fetch = self.there.connection.sent[-1]
        self.ahead.exchange.answer(self.back, fetch)
        page = self.back.connection.sent[-1]
        self.behind.exchange.take(self.there, page)
        return page


def test_long_object_comes_in_chunks_one_after_another():
    transfer = _Transfer()
    transfer.begin()
    chunks = 0
    while transfer.behind.replica.revision < 5:
        page = transfer.pass_chunk()
        chunks += 1
        assert len(page.chunk) <= CHUNK_BYTES
    assert chunks >= 2
    assert fetches(transfer.there) == chunks
    assert transfer.behind.replica.since(4)[0].spec == (
        long_reading(5).objects[0].spec
    )
    assert not transfer.back.outgoing


def test_transfer_that_moves_is_not_asked_for_elsewhere(
    near: list[PeerSession],
):
    transfer = _Transfer()
    transfer.begin()
    for _chunk in range(2):
        transfer.behind.clock.advance(500)
        transfer.behind.hear(near[0], 5)
        transfer.pass_chunk()
    transfer.behind.clock.advance(500)
    transfer.behind.hear(near[0], 5)
    assert not fetches(near[0])


def test_each_late_chunk_doubles_the_time_that_is_given(
    near: list[PeerSession],
):
    gateway = _Gateway(revision=0)
    asked_ms = []
    for now_ms in range(0, 10_000, 100):
        gateway.hear(near[0], 5)
        if fetches(near[0]) > len(asked_ms):
            asked_ms.append(now_ms)
        gateway.clock.advance(100)
    assert asked_ms == [0, 600, 1800, 4200, 9000]


def test_chunk_that_does_not_follow_is_passed_over():
    transfer = _Transfer()
    transfer.begin()
    page = transfer.pass_chunk()
    asked = fetches(transfer.there)
    transfer.behind.exchange.take(
        transfer.there,
        ObjectsPage(
            kind=ROUTES_KIND,
            revision=6,
            size=page.size,
            offset=len(page.chunk),
            chunk=b'of another revision',
        ),
    )
    assert fetches(transfer.there) == asked
    while transfer.behind.replica.revision < 5:
        transfer.pass_chunk()


def test_garbage_in_chunks_is_a_wire_error():
    transfer = _Transfer()
    transfer.begin()
    page = ObjectsPage(kind=ROUTES_KIND, revision=5, size=4, chunk=b'\0\0\0\0')
    with pytest.raises(WireError, match='can not be read'):
        transfer.behind.exchange.take(transfer.there, page)


def test_program_that_takes_whole_objects_only_is_given_them():
    ahead = _Gateway(revision=5)
    back = peer('older')
    ahead.exchange.answer(back, ObjectsFetch(kind=ROUTES_KIND, revision=4))
    (page,) = back.connection.sent
    assert page.objects == [['main', 5, b'{}']]
    behind = _Gateway(revision=4)
    behind.exchange.take(peer('ahead'), page)
    assert behind.replica.revision == 5


def test_object_that_a_peer_holds_is_not_given_again():
    # The one ahead has listed the store since; the object is the same.
    ahead = _Gateway(revision=0)
    ahead.replica.apply_list(
        StoreReading(revision=9, objects=reading(5).objects),
    )
    back = peer('behind')
    ahead.exchange.answer(
        back, ObjectsFetch(kind=ROUTES_KIND, revision=5, most=CHUNK_BYTES)
    )
    (page,) = back.connection.sent
    assert not page.size
    behind = _Gateway(revision=5)
    behind.exchange.take(peer('ahead'), page)
    assert behind.replica.revision == 9


def test_object_that_is_gone_is_told_whatever_its_own_revision():
    ahead = _Gateway(revision=5)
    ahead.replica.apply_list(StoreReading(revision=9, objects=[]))
    (gone,) = ahead.replica.since(7)
    assert gone.spec is None
