"""Gateways give each other the objects that one of them lacks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import orjson

from wingfall.gateway.binding import StoredObject, StoreReading
from wingfall.log import log_event
from wingfall.wire.gateway_messages import ObjectsFetch, ObjectsPage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.peer_session import PeerSession
    from wingfall.gateway.replica import ObjectReplica

# Gateways that watch the store themselves learn a change this much later.
_FETCH_AFTER_MS: Final = 200
_FETCH_AGAIN_MS: Final = 1000


@final
class ObjectExchange:
    """Compares revisions with peers, asks for what is newer, and answers.

    One fetch is under way for each peer and kind, off the path of requests.
    """

    __slots__ = ('_clock', '_replicas')

    def __init__(
        self,
        *,
        replicas: Iterable[ObjectReplica],
        clock: Clock,
    ) -> None:
        """Exchange some kinds of object.

        :param replicas: the copies of this gateway.
        :param clock: the time.
        """
        self._replicas = {replica.kind: replica for replica in replicas}
        self._clock = clock

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
        if replica.revision and now_ms - since_ms < _FETCH_AFTER_MS:
            return
        session.behind_since_ms[kind] = now_ms + _FETCH_AGAIN_MS
        fetch = ObjectsFetch(kind=kind, revision=replica.revision)
        session.connection.send(fetch)

    def answer(self, session: PeerSession, fetch: ObjectsFetch) -> None:
        """Answer a peer that asks.

        :param session: the peer.
        :param fetch: what it asks for.
        """
        replica = self._replicas.get(fetch.kind)
        if replica is None:
            return
        objects = [
            [
                each.name,
                each.revision,
                None if each.spec is None else orjson.dumps(each.spec),
            ]
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
        :param page: its answer.
        """
        replica = self._replicas.get(page.kind)
        if replica is None:
            return
        objects = [
            StoredObject(
                name=name,
                revision=revision,
                spec=None if raw is None else orjson.loads(raw),
            )
            for name, revision, raw in page.objects
        ]
        reading = StoreReading(revision=page.revision, objects=objects)
        taken = replica.catch_up(reading)
        log_event(
            'peers',
            'A peer gave objects.',
            peer=session.name,
            kind=page.kind,
            objects=taken,
            revision=replica.revision,
        )
