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

# Gateways that watch the store themselves learn a change this much later;
# others ask a peer of their availability zone before one of another.
_NEAR_AFTER_MS: Final = 200
_FAR_AFTER_MS: Final = 300
_ANSWER_MS: Final = 600


@final
class _Fetch:
    """A fetch that is under way."""

    __slots__ = ('asked_ms', 'session', 'until_ms')

    def __init__(
        self,
        *,
        session: PeerSession,
        asked_ms: int,
        until_ms: int,
    ) -> None:
        self.session = session
        self.asked_ms = asked_ms
        self.until_ms = until_ms


@final
class ObjectExchange:
    """Compares revisions with peers, asks for what is newer, and answers.

    One fetch is under way for each kind, off the path of requests: when many
    peers are ahead, each of them would send the same objects.
    """

    __slots__ = ('_clock', '_fetches', '_replicas', '_zone')

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
        self._fetches: dict[str, _Fetch] = {}

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
        self._fetches[kind] = _Fetch(
            session=session,
            asked_ms=now_ms,
            until_ms=now_ms + _ANSWER_MS,
        )
        fetch = ObjectsFetch(kind=kind, revision=replica.revision)
        session.connection.send(fetch)
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
        fetch = self._fetches.pop(page.kind, None)
        taken = replica.catch_up(_read_page(page))
        asked_ms = fetch.asked_ms if fetch else None
        log_event(
            'peers',
            'A peer gave objects.',
            peer=session.name,
            kind=page.kind,
            objects=taken,
            given=len(page.objects),
            bytes=sum(
                len(raw or b'') for _name, _revision, raw in page.objects
            ),
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
                ms=now_ms - silent.asked_ms,
            )

    def _wait_ms(self, session: PeerSession) -> int:
        near = session.zone == self._zone
        return _NEAR_AFTER_MS if near else _FAR_AFTER_MS


def _read_page(page: ObjectsPage) -> StoreReading:
    objects = [
        StoredObject(
            name=name,
            revision=revision,
            spec=None if raw is None else orjson.loads(raw),
        )
        for name, revision, raw in page.objects
    ]
    return StoreReading(revision=page.revision, objects=objects)
