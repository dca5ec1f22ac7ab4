"""Gateways give each other the objects that one of them lacks.

Owns one fetch a kind, and what was packed last for peers. Relies on revisions
of replicas; a peer that is ahead for a moment is asked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.model.object_store import StoreReading
from wingfall.gateway.peers.objects.object_fetch import ObjectFetch
from wingfall.gateway.peers.objects.object_transfer import (
    OutgoingTransfer,
    pack_objects,
    read_objects,
    write_spec,
)
from wingfall.log import log_event
from wingfall.supervisor import Backoff
from wingfall.wire.transfer_messages import ObjectsFetch, ObjectsPage

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wingfall.clock import Clock
    from wingfall.gateway.configuration.replica import ObjectReplica
    from wingfall.gateway.model.object_store import StoredObject
    from wingfall.gateway.peers.peer_session import PeerSession

# Milliseconds that a gateway is behind before it asks a peer of its
# availability zone, or of another: those that watch the store have heard of the
# change by themselves then.
_NEAR_AFTER_MS: Final = 200
_FAR_AFTER_MS: Final = 300
# Milliseconds for a chunk, after which another peer is asked: 64 KB take 0.1 s
# on a link of 5 Mbit/s. The time doubles with each that is late, so that over a
# slow link no more is under way than what it carries; with a bound for the
# whole, 0.8 MB never came over such a link.
_ANSWER_MS: Final = 600
_MAX_ANSWER_MS: Final = 4800


@final
class ObjectExchange:
    """Compares revisions with peers, asks for what is newer, and answers.

    One fetch is under way for each kind, off the path of requests: when many
    peers are ahead, each of them would send the same objects. It goes on as
    long as its chunks come, however long the whole of it takes.
    """

    __slots__ = (
        '_backoffs',
        '_clock',
        '_fetches',
        '_packed',
        '_replicas',
        '_zone',
    )

    def __init__(
        self,
        *,
        replicas: Iterable[ObjectReplica],
        clock: Clock,
        zone: str,
    ) -> None:
        """Exchange some kinds of object.

        :param replicas: the copies of this gateway.
        :param clock: the time.
        :param zone: availability zone of this gateway.
        """
        self._replicas = {replica.kind: replica for replica in replicas}
        self._clock = clock
        self._zone = zone
        self._fetches: dict[str, ObjectFetch] = {}
        self._backoffs = {
            kind: Backoff(min_ms=_ANSWER_MS, max_ms=_MAX_ANSWER_MS)
            for kind in self._replicas
        }
        # What was packed last of each kind, and of which objects.
        self._packed: dict[str, tuple[list[tuple[str, int]], bytes]] = {}

    @property
    def revisions(self) -> dict[str, int]:
        """Newest revision of each kind."""
        return {
            kind: replica.revision for kind, replica in self._replicas.items()
        }

    def compare(self, session: PeerSession, kind: str, revision: int) -> None:
        """Ask a peer that has been ahead for a moment.

        :param session: the peer.
        :param kind: kind of object.
        :param revision: the peer's newest revision of it.
        """
        replica = self._replicas.get(kind)
        if replica is None or replica.revision >= revision:
            session.behind_since_ms.pop(kind, None)
            return
        now_ms = self._clock.now_ms()
        since_ms = session.behind_since_ms.setdefault(kind, now_ms)
        if replica.revision and now_ms - since_ms < self._wait_ms(session):
            return
        under_way = self._fetches.get(kind)
        if under_way is not None and under_way.until_ms > now_ms:
            return
        self._note_silent(kind, now_ms)
        self._ask(session, replica)
        log_event(
            'peers',
            'A peer is asked for objects.',
            peer=session.name,
            kind=kind,
            revision=replica.revision,
            there=revision,
            behind_ms=now_ms - since_ms,
        )

    def forget(self, session: PeerSession) -> None:
        """Wait no longer for a peer that is gone.

        :param session: the peer.
        """
        self._fetches = {
            kind: fetch
            for kind, fetch in self._fetches.items()
            if fetch.session is not session
        }

    def answer(self, session: PeerSession, fetch: ObjectsFetch) -> None:
        """Answer a peer that asks.

        :param session: the peer.
        :param fetch: what it asks for.
        """
        replica = self._replicas.get(fetch.kind)
        if replica is None:
            return
        if fetch.most:
            self._answer_chunk(session, fetch, replica)
            return
        objects = [
            [each.name, each.revision, write_spec(each)]
            for each in replica.since(fetch.revision)
        ]
        page = ObjectsPage(
            kind=fetch.kind,
            revision=replica.revision,
            objects=objects,
        )
        session.connection.send(page)

    def take(self, session: PeerSession, page: ObjectsPage) -> None:
        """Take what a peer gives.

        :param session: the peer.
        :param page: its answer, or a chunk of it.
        :raises WireError: if the objects can't be read.
        """
        if not page.size:
            objects = read_objects(page.objects)
            reading = StoreReading(revision=page.revision, objects=objects)
            self._finish(session, page.kind, reading, 0)
            return
        fetch = self._fetches.get(page.kind)
        if fetch is None or fetch.session is not session:
            return
        if not fetch.transfer.take(page):
            return
        if fetch.transfer.complete:
            reading = fetch.transfer.reading()
            self._finish(session, page.kind, reading, page.size)
            return
        fetch.until_ms = self._clock.now_ms() + fetch.wait_ms
        fetch.ask(page.kind)

    def _ask(self, session: PeerSession, replica: ObjectReplica) -> None:
        fetch = ObjectFetch(
            session=session,
            revision=replica.revision,
            asked_ms=self._clock.now_ms(),
            wait_ms=self._backoffs[replica.kind].take_ms(),
        )
        self._fetches[replica.kind] = fetch
        fetch.ask(replica.kind)

    def _answer_chunk(
        self,
        session: PeerSession,
        fetch: ObjectsFetch,
        replica: ObjectReplica,
    ) -> None:
        kind = fetch.kind
        if not fetch.offset:
            changed = replica.since(fetch.revision)
            session.outgoing[kind] = OutgoingTransfer(
                revision=replica.revision,
                packed=self._pack(kind, changed),
            )
        transfer = session.outgoing.get(kind)
        if transfer is None:
            return
        chunk = transfer.chunk(fetch.offset, fetch.most)
        page = ObjectsPage(
            kind=kind,
            revision=transfer.revision,
            size=transfer.size,
            offset=fetch.offset,
            chunk=chunk,
        )
        session.connection.send(page)
        if fetch.offset + len(chunk) >= transfer.size:
            session.outgoing.pop(kind)

    def _pack(self, kind: str, objects: Sequence[StoredObject]) -> bytes:
        # Many peers are behind by the same change, which is packed once.
        if not objects:
            return b''
        named = [(each.name, each.revision) for each in objects]
        packed_of, packed = self._packed.get(kind, ([], b''))
        if packed_of != named:
            packed = pack_objects(objects)
            self._packed[kind] = (named, packed)
        return packed

    def _finish(
        self,
        session: PeerSession,
        kind: str,
        reading: StoreReading,
        size: int,
    ) -> None:
        replica = self._replicas.get(kind)
        if replica is None:
            return
        fetch = self._fetches.pop(kind, None)
        self._backoffs[kind].reset()
        taken = replica.catch_up(reading)
        asked_ms = fetch.asked_ms if fetch else None
        log_event(
            'peers',
            'A peer gave objects.',
            peer=session.name,
            kind=kind,
            objects=taken,
            given=len(reading.objects),
            bytes=size,
            revision=replica.revision,
            ms=None if asked_ms is None else self._clock.now_ms() - asked_ms,
        )

    def _note_silent(self, kind: str, now_ms: int) -> None:
        silent = self._fetches.get(kind)
        if silent is not None:
            log_event(
                'peers',
                'A peer has not given objects in time.',
                peer=silent.session.name,
                kind=kind,
                bytes=silent.transfer.offset,
                ms=now_ms - silent.asked_ms,
            )

    def _wait_ms(self, session: PeerSession) -> int:
        near = session.zone == self._zone
        return _NEAR_AFTER_MS if near else _FAR_AFTER_MS
