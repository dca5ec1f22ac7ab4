"""Exchange of stored objects between gateways by revision.

Owns one fetch for each kind, and the objects packed last for peers. A fetch
starts when a peer has had a newer replica revision for a short delay.
"""

from __future__ import annotations

import operator
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.model.object_store import StoreResponse
from wingfall.gateway.peers.objects.object_fetch import ObjectFetch
from wingfall.gateway.peers.objects.object_transfer import (
    OutgoingTransfer,
    decode_objects,
    encode_spec,
    pack_objects,
    read_names,
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

# Milliseconds for which a gateway is behind before it asks a peer of its own or
# of another availability zone. Gateways that watch the store receive the change
# from there within this time.
_SAME_ZONE_DELAY_MS: Final = 200
_OTHER_ZONE_DELAY_MS: Final = 300
# Milliseconds for a chunk, after which another peer is asked: 64 KB take 0.1 s
# on a link of 5 Mbit/s. The timeout doubles with each late chunk, so that a
# slow link is sent no more than it carries; with one timeout for the whole,
# 0.8 MB never arrived over such a link.
_CHUNK_TIMEOUT_MS: Final = 600
_MAX_CHUNK_TIMEOUT_MS: Final = 4800


@final
class ObjectExchange:
    """Fetches newer objects from peers and answers fetches of peers.

    Runs at most one fetch for each kind, off the request path: when many peers
    are ahead, each of them would send the same objects. A fetch goes on as long
    as its chunks arrive in time, whatever its total duration.
    """

    __slots__ = (
        '_backoffs',
        '_clock',
        '_fetches',
        '_pack_cache',
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
        """Initialize the exchange without a fetch.

        :param replicas: object replicas of this gateway, one for each kind.
        :param clock: clock for delays and timeouts.
        :param zone: availability zone of this gateway.
        """
        self._replicas = {replica.kind: replica for replica in replicas}
        self._clock = clock
        self._zone = zone
        self._fetches: dict[str, ObjectFetch] = {}
        self._backoffs = {
            kind: Backoff(
                min_ms=_CHUNK_TIMEOUT_MS, max_ms=_MAX_CHUNK_TIMEOUT_MS
            )
            for kind in self._replicas
        }
        # Last packed objects of each kind, and their bytes.
        self._pack_cache: dict[str, tuple[Sequence[StoredObject], bytes]] = {}

    @property
    def revisions(self) -> dict[str, int]:
        """Newest revision of each kind of object."""
        return {
            kind: replica.revision for kind, replica in self._replicas.items()
        }

    def check_revision(
        self, session: PeerSession, kind: str, revision: int
    ) -> None:
        """Fetch objects if a peer has been ahead for longer than the delay.

        :param session: session with the peer.
        :param kind: kind of object.
        :param revision: newest revision of this kind at the peer.
        """
        replica = self._replicas.get(kind)
        if replica is None or replica.revision >= revision:
            session.behind_since_ms.pop(kind, None)
            return
        now_ms = self._clock.now_ms()
        since_ms = session.behind_since_ms.setdefault(kind, now_ms)
        if replica.revision and now_ms - since_ms < self._delay_ms(session):
            return
        active_fetch = self._fetches.get(kind)
        if active_fetch is not None and active_fetch.deadline_ms > now_ms:
            return
        self._log_timeout(kind, now_ms)
        self._start_fetch(session, replica)
        log_event(
            'peers',
            'A peer is asked for objects.',
            peer=session.name,
            kind=kind,
            revision=replica.revision,
            there=revision,
            behind_ms=now_ms - since_ms,
        )

    def cancel_fetches(self, session: PeerSession) -> None:
        """Cancel the fetches at a disconnected peer.

        :param session: session with the peer.
        """
        self._fetches = {
            kind: fetch
            for kind, fetch in self._fetches.items()
            if fetch.session is not session
        }

    def send_objects(self, session: PeerSession, fetch: ObjectsFetch) -> None:
        """Send the requested objects or chunk to a peer.

        :param session: session with the peer.
        :param fetch: request of the peer.
        """
        replica = self._replicas.get(fetch.kind)
        if replica is None:
            return
        if fetch.most:
            self._send_chunk(session, fetch, replica)
            return
        objects = [
            [each.name, each.revision, encode_spec(each)]
            for each in replica.objects_since(fetch.revision)
        ]
        page = ObjectsPage(
            kind=fetch.kind,
            revision=replica.revision,
            objects=objects,
            names=replica.list_names_since(fetch.revision),
        )
        session.connection.send(page)

    def process_page(self, session: PeerSession, page: ObjectsPage) -> None:
        """Process an answer of a peer and request the next chunk.

        :param session: session with the peer.
        :param page: whole answer, or a chunk of one.
        :raises WireError: if the objects cannot be decoded.
        """
        if not page.size:
            objects = decode_objects(page.objects)
            reading = StoreResponse(
                revision=page.revision,
                objects=objects,
                names=read_names(page),
            )
            self._apply(session, page.kind, reading, 0)
            return
        fetch = self._fetches.get(page.kind)
        if fetch is None or fetch.session is not session:
            return
        if not fetch.transfer.append_chunk(page):
            return
        if fetch.transfer.complete:
            reading = fetch.transfer.unpack()
            self._apply(session, page.kind, reading, page.size)
            return
        fetch.deadline_ms = self._clock.now_ms() + fetch.chunk_timeout_ms
        fetch.request_chunk(page.kind)

    def _start_fetch(
        self, session: PeerSession, replica: ObjectReplica
    ) -> None:
        fetch = ObjectFetch(
            session=session,
            revision=replica.revision,
            started_ms=self._clock.now_ms(),
            chunk_timeout_ms=self._backoffs[replica.kind].take_ms(),
        )
        self._fetches[replica.kind] = fetch
        fetch.request_chunk(replica.kind)

    def _send_chunk(
        self,
        session: PeerSession,
        fetch: ObjectsFetch,
        replica: ObjectReplica,
    ) -> None:
        kind = fetch.kind
        if not fetch.offset:
            changed = replica.objects_since(fetch.revision)
            session.outgoing_transfers[kind] = OutgoingTransfer(
                revision=replica.revision,
                packed=self._pack(kind, changed),
                names=replica.list_names_since(fetch.revision),
            )
        transfer = session.outgoing_transfers.get(kind)
        if transfer is None:
            return
        chunk = transfer.chunk(fetch.offset, fetch.most)
        is_last = fetch.offset + len(chunk) >= transfer.size
        page = ObjectsPage(
            kind=kind,
            revision=transfer.revision,
            size=transfer.size,
            offset=fetch.offset,
            chunk=chunk,
            names=transfer.names if is_last else None,
        )
        session.connection.send(page)
        if is_last:
            session.outgoing_transfers.pop(kind)

    def _pack(self, kind: str, objects: Sequence[StoredObject]) -> bytes:
        # Many peers lack the same change, so it is packed only once. A revision
        # does not identify a state: a removed object keeps that of its last
        # change.
        if not objects:
            return b''
        packed_objects, packed = self._pack_cache.get(kind, ((), b''))
        if not _are_same(packed_objects, objects):
            packed = pack_objects(objects)
            self._pack_cache[kind] = (objects, packed)
        return packed

    def _apply(
        self,
        session: PeerSession,
        kind: str,
        reading: StoreResponse,
        size: int,
    ) -> None:
        replica = self._replicas.get(kind)
        if replica is None:
            return
        fetch = self._fetches.pop(kind, None)
        self._backoffs[kind].reset()
        applied = replica.apply_peer_changes(reading)
        asked_ms = fetch.started_ms if fetch else None
        log_event(
            'peers',
            'A peer gave objects.',
            peer=session.name,
            kind=kind,
            objects=applied,
            given=len(reading.objects),
            bytes=size,
            revision=replica.revision,
            ms=None if asked_ms is None else self._clock.now_ms() - asked_ms,
        )

    def _log_timeout(self, kind: str, now_ms: int) -> None:
        late = self._fetches.get(kind)
        if late is not None:
            log_event(
                'peers',
                'A peer has not given objects in time.',
                peer=late.session.name,
                kind=kind,
                bytes=late.transfer.offset,
                ms=now_ms - late.started_ms,
            )

    def _delay_ms(self, session: PeerSession) -> int:
        is_near = session.zone == self._zone
        return _SAME_ZONE_DELAY_MS if is_near else _OTHER_ZONE_DELAY_MS


def _are_same(
    packed: Sequence[StoredObject], objects: Sequence[StoredObject]
) -> bool:
    if len(packed) != len(objects):
        return False
    return all(map(operator.is_, packed, objects))
