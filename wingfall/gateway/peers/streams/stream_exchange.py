"""Exchange of the origins of streams between gateways.

A gateway reports each stream to a few peers before it forwards the first event,
so that the origin is known if it ends at that moment. A gateway at which a
caller takes up a stream asks those peers. A new session begins with the records
that the peer should hold, so that a gateway that starts soon knows them again.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Callable, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.knowledge.stream_origins import (
    MAX_STREAM_LIFE_MS,
    STREAM_KEY_BYTES,
    StreamRecord,
)
from wingfall.gateway.model.stream_origin import StreamOrigin
from wingfall.gateway.model.version_record import (
    KEPT_MS,
    VersionRecord,
    is_version,
)
from wingfall.gateway.peers.streams.stream_replicas import (
    REPLICA_COUNT,
    StreamReplicas,
)
from wingfall.log import log_event
from wingfall.wire.stream_messages import (
    HistoryWritten,
    StreamFetch,
    StreamFound,
    StreamsBegun,
    VersionsListed,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.pool_versions import PoolVersions
    from wingfall.gateway.knowledge.stream_origins import (
        StreamKey,
        StreamOrigins,
    )
    from wingfall.gateway.model.version_record import Pools
    from wingfall.gateway.peers.peer_session import PeerSession

# One peer more is asked than holds a record: views of the peers differ by a
# gateway that has just started or ended.
_ASKED_PEERS: Final = REPLICA_COUNT + 1
# Interval of the checks for answers.
_POLL_INTERVAL_MS: Final = 5
# Concurrent questions of this gateway; beyond them nobody is asked, so that
# requests that name invented ids don't load the peers.
_MAX_QUESTIONS: Final = 64
# Records that a new session begins with, at most 0.1 MB.
_MAX_SENT_RECORDS: Final = 2000


@final
class _Question:
    """A question to peers where a stream began."""

    __slots__ = ('asked', 'answered')

    def __init__(self) -> None:
        """Create a question that nobody was asked."""
        self.asked: set[str] = set()
        self.answered: set[str] = set()


@final
class StreamExchange:
    """Reports origins of streams to peers, and asks them."""

    __slots__ = (
        '_clock',
        '_get_known_count',
        '_numbers',
        '_origins',
        '_questions',
        '_replicas',
        '_sessions',
        '_versions',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        origins: StreamOrigins,
        versions: PoolVersions,
        sessions: Mapping[str, PeerSession],
        get_known_count: Callable[[], int],
    ) -> None:
        """Initialize the exchange.

        :param clock: source of the current time.
        :param origins: the origins known to this gateway.
        :param versions: the versions that pools had lately.
        :param sessions: the sessions by name of the peer, updated by their
            owner.
        :param get_known_count: returns the number of other known gateways.
        """
        self._clock = clock
        self._origins = origins
        self._versions = versions
        self._sessions = sessions
        self._get_known_count = get_known_count
        self._replicas = StreamReplicas(sessions=sessions)
        self._numbers = itertools.count()
        self._questions: dict[int, _Question] = {}

    def report(self, key: StreamKey, record: StreamRecord) -> None:
        """Report a stream that has begun to the peers that hold its origin.

        :param key: key of the stream.
        :param record: the record of its origin.
        """
        message = StreamsBegun(streams=[self._encode(key, record)])
        for session in self._replicas.choose(key, REPLICA_COUNT):
            session.connection.send(message)
        # Lets the connections write before the caller receives an event.
        gevent.sleep(0)

    def ask(self, key: StreamKey, timeout_ms: int) -> bool:
        """Ask the peers where a stream began, and wait for the answer.

        The answer is found in the origins. A gateway that starts waits for its
        peers.

        :param key: key of the stream.
        :param timeout_ms: maximum milliseconds to wait.
        :returns: whether a longer wait would tell nothing more.
        """
        if len(self._questions) >= _MAX_QUESTIONS:
            return True
        number = next(self._numbers)
        question = self._questions.setdefault(number, _Question())
        until_ms = self._clock.now_ms() + timeout_ms
        try:
            while self._clock.now_ms() < until_ms:
                self._send_question(key, number, question)
                if self._is_settled(key, question):
                    return True
                gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        finally:
            self._questions.pop(number)
        return False

    def send_state(self, session: PeerSession) -> None:
        """Send a new peer what it should know.

        :param session: the session with the peer.
        """
        self._replicas.note_sessions_changed()
        if not session.knows_streams:
            return
        session.connection.send(
            VersionsListed(
                complete_ms=0,
                versions=[list(each) for each in self._versions.ages_ms],
            )
        )
        streams = [
            self._encode(key, record)
            for key, record in self._origins.newest(_MAX_SENT_RECORDS)
            if session in self._replicas.choose(key, REPLICA_COUNT)
        ]
        if streams:
            session.connection.send(StreamsBegun(streams=streams))

    def send_unnamed(self, session: PeerSession) -> None:
        """Send a peer the versions that the history lacks.

        Objects that the peer fetches do not tell of endpoints that have joined
        and left since it last heard of them.

        :param session: the session with the peer.
        """
        unnamed = [
            [pool, version, age_ms]
            for pool, version, age_ms in self._versions.ages_ms
            if age_ms <= KEPT_MS and not self._versions.is_named(pool, version)
        ]
        if unnamed and session.knows_streams:
            session.connection.send(
                VersionsListed(complete_ms=0, versions=unnamed)
            )

    def note_session_ended(self) -> None:
        """Choose other peers from now on."""
        self._replicas.note_sessions_changed()

    def merge_streams(
        self, session: PeerSession, message: StreamsBegun
    ) -> None:
        """Record the origins that a peer reports.

        :param session: the session with the peer.
        :param message: the report.
        """
        self._merge(session, message.streams)

    def answer_fetch(self, session: PeerSession, message: StreamFetch) -> None:
        """Answer a question of a peer.

        :param session: the session with the peer.
        :param message: the question.
        """
        record = self._origins.find(message.key)
        streams = [] if record is None else [self._encode(message.key, record)]
        session.connection.send(
            StreamFound(number=message.number, streams=streams)
        )

    def merge_answer(self, session: PeerSession, message: StreamFound) -> None:
        """Record the answer of a peer.

        :param session: the session with the peer.
        :param message: the answer.
        """
        self._merge(session, message.streams)
        question = self._questions.get(message.number)
        if question is not None:
            question.answered.add(session.name)

    def merge_versions(
        self, session: PeerSession, message: VersionsListed
    ) -> None:
        """Record the versions that a peer reports.

        :param session: the session with the peer.
        :param message: the report.
        """
        ages_ms = [
            (pool, version, age_ms)
            for pool, version, age_ms in message.versions
            if is_version(pool, version) and isinstance(age_ms, int)
        ]
        if len(ages_ms) < len(message.versions):
            _log_unusable(session, message)
        self._versions.merge(ages_ms)

    def announce_history(self, record: VersionRecord) -> None:
        """Tell all peers what this gateway has just written.

        :param record: content of the store's object.
        """
        message = HistoryWritten(
            revision=record.revision or 0,
            complete_ms=record.complete_ms,
            versions=[list(each) for each in record.names],
        )
        for session in list(self._sessions.values()):
            if session.knows_history:
                session.connection.send(message)

    def merge_history(
        self, session: PeerSession, message: HistoryWritten
    ) -> None:
        """Record what a peer has written.

        :param session: the session with the peer.
        :param message: the report.
        """
        # A history that lacks a version would show that there was none.
        if not all(is_version(*each) for each in message.versions):
            _log_unusable(session, message)
            return
        pools: Pools = {}
        for pool, version in message.versions:
            pools.setdefault(pool, []).append(version)
        self._versions.adopt(
            VersionRecord(
                revision=message.revision,
                complete_ms=message.complete_ms,
                pools=pools,
            )
        )

    def _is_settled(self, key: StreamKey, question: _Question) -> bool:
        if self._origins.find(key) is not None:
            return True
        # Peers that are not connected yet may know the stream.
        if len(self._sessions) < self._get_known_count():
            return False
        pending = question.asked - question.answered
        return pending.isdisjoint(self._sessions)

    def _send_question(
        self, key: StreamKey, number: int, question: _Question
    ) -> None:
        for session in self._replicas.choose(key, _ASKED_PEERS):
            if session.name not in question.asked:
                question.asked.add(session.name)
                session.connection.send(StreamFetch(number=number, key=key))

    def _merge(
        self, session: PeerSession, streams: Iterable[list[Any]]
    ) -> None:
        for key, *encoded in streams:
            if len(key) == STREAM_KEY_BYTES:
                record = _decode(encoded, session.name, self._clock.now_ms())
                self._origins.note(key, record)

    def _encode(self, key: StreamKey, record: StreamRecord) -> list[Any]:
        now_ms = self._clock.now_ms()
        origin = record.origin
        return [
            key,
            origin.pool,
            origin.version,
            origin.endpoint if origin.version is None else '',
            now_ms - record.began_ms,
            record.expires_ms - now_ms,
        ]


def _log_unusable(
    session: PeerSession, message: VersionsListed | HistoryWritten
) -> None:
    log_event(
        'streams',
        "A peer's versions are not of the expected type.",
        peer=session.name,
        message=type(message).__name__,
    )


def _decode(encoded: list[Any], reported_by: str, now_ms: int) -> StreamRecord:
    pool, version, endpoint = encoded[:3]
    age_ms, life_ms = encoded[3:5]
    return StreamRecord(
        origin=StreamOrigin(pool=pool, version=version, endpoint=endpoint),
        began_ms=now_ms - age_ms,
        expires_ms=now_ms + min(life_ms, MAX_STREAM_LIFE_MS),
        reported_by=reported_by,
    )
