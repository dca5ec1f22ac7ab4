"""Records of where streams began, and the peers that hold them."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from tests.fake_connection import make_peer
from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.knowledge.stream_origins import (
    MAX_RECORDS,
    MIN_STREAM_LIFE_MS,
    StreamOrigins,
    StreamRecord,
    make_stream_key,
    stream_life_ms,
)
from wingfall.gateway.model.stream_origin import StreamOrigin
from wingfall.gateway.model.version_record import VersionRecord
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.gateway.peers.streams.stream_exchange import StreamExchange
from wingfall.gateway.peers.streams.stream_replicas import (
    REPLICA_COUNT,
    StreamReplicas,
)
from wingfall.wire.codec import encode
from wingfall.wire.gateway_messages import HISTORY_FEATURE, STREAMS_FEATURE
from wingfall.wire.stream_messages import (
    HistoryWritten,
    StreamFetch,
    StreamFound,
    StreamsBegun,
    VersionsListed,
)

KEY = make_stream_key('oslo', 's0')


def make_record(clock: ManualClock, version: str | None = 'v1') -> StreamRecord:
    """Make the record of a stream that begins now."""
    now_ms = clock.now_ms()
    return StreamRecord(
        origin=StreamOrigin(pool='engines', version=version, endpoint='one'),
        began_ms=now_ms,
        expires_ms=now_ms + MIN_STREAM_LIFE_MS,
    )


def make_sessions(
    count: int, *, features: bool = True
) -> dict[str, PeerSession]:
    """Make sessions with peers."""
    known = [STREAMS_FEATURE, HISTORY_FEATURE] if features else []
    names = [f'gateway-{number}' for number in range(count)]
    return {name: make_peer(name, 'a', known) for name in names}


def make_exchange(
    clock: ManualClock,
    sessions: dict[str, PeerSession],
    versions: PoolVersions | None = None,
) -> tuple[StreamExchange, StreamOrigins]:
    """Make the exchange of a gateway, and its origins."""
    origins = StreamOrigins(clock=clock)
    exchange = StreamExchange(
        clock=clock,
        origins=origins,
        versions=versions or PoolVersions(clock=clock),
        sessions=sessions,
        get_known_count=lambda: len(sessions),
    )
    return exchange, origins


def test_record_expires(clock: ManualClock):
    origins = StreamOrigins(clock=clock)
    origins.note(KEY, make_record(clock))
    assert origins.find(KEY) is not None
    clock.advance(MIN_STREAM_LIFE_MS)
    assert origins.find(KEY) is None
    origins.forget_expired()
    assert not len(origins)


def test_records_are_bounded(clock: ManualClock):
    origins = StreamOrigins(clock=clock)
    record = make_record(clock)
    for number in range(MAX_RECORDS + 10):
        origins.note(make_stream_key('oslo', str(number)), record)
    assert len(origins) == MAX_RECORDS
    assert origins.find(make_stream_key('oslo', '0')) is None


def test_first_origin_of_a_stream_stays(clock: ManualClock):
    origins = StreamOrigins(clock=clock)
    origins.note(KEY, make_record(clock, 'v1'))
    origins.note(KEY, make_record(clock, 'v2'))
    record = origins.find(KEY)
    assert record is not None
    assert record.origin.version == 'v1'


def test_customers_may_use_the_same_request_ids():
    assert make_stream_key('oslo', 's0') != make_stream_key('bergen', 's0')


@pytest.mark.parametrize(
    ('timeout_ms', 'life_ms'),
    [(100, 15_000), (20_000, 30_000), (10**9, 600_000)],
)
def test_life_of_a_record_follows_the_patience_of_the_caller(
    timeout_ms: int, life_ms: int
):
    assert stream_life_ms(timeout_ms) == life_ms


def test_stream_is_reported_to_few_of_many_peers(clock: ManualClock):
    sessions = make_sessions(298)
    exchange, _origins = make_exchange(clock, sessions)
    exchange.report(KEY, make_record(clock))
    told = [each for each in sessions.values() if each.connection.sent]
    assert len(told) == REPLICA_COUNT


def test_any_gateway_asks_the_peers_that_hold_a_stream():
    sessions = make_sessions(298)
    for number in range(50):
        key = make_stream_key('oslo', str(number))
        origin, asker = f'gateway-{number}', f'gateway-{number + 100}'
        held = choose_without(sessions, {origin}, key, REPLICA_COUNT)
        # The gateway at which the stream began has ended.
        asked = choose_without(
            sessions, {origin, asker}, key, REPLICA_COUNT + 1
        )
        assert held - {asker} <= asked


def choose_without(
    sessions: dict[str, PeerSession], left_out: set[str], key: bytes, count: int
) -> set[str]:
    """Return the peers that a gateway chooses that does not know some."""
    known = {
        name: each for name, each in sessions.items() if name not in left_out
    }
    chosen = StreamReplicas(sessions=known).choose(key, count)
    return {each.name for each in chosen}


def test_gateway_of_an_earlier_version_is_sent_no_unknown_message(
    clock: ManualClock,
):
    sessions = make_sessions(3, features=False)
    exchange, _origins = make_exchange(clock, sessions)
    exchange.report(KEY, make_record(clock))
    exchange.ask(KEY, 50)
    exchange.announce_history(VersionRecord(revision=1))
    for session in sessions.values():
        exchange.send_state(session)
        assert not session.connection.sent


def test_question_is_answered_from_the_records(clock: ManualClock):
    sessions = make_sessions(1)
    (session,) = sessions.values()
    exchange, origins = make_exchange(clock, sessions)
    origins.note(KEY, make_record(clock))
    exchange.answer_fetch(session, StreamFetch(number=7, key=KEY))
    exchange.answer_fetch(session, StreamFetch(number=8, key=b'12345678'))
    found, unknown = session.connection.sent
    assert (found.number, len(found.streams)) == (7, 1)
    assert (unknown.number, unknown.streams) == (8, [])


def test_question_ends_once_all_peers_know_nothing(clock: ManualClock):
    sessions = make_sessions(2)
    exchange, origins = make_exchange(clock, sessions)
    asking = gevent.spawn(exchange.ask, KEY, 60_000)
    gevent.sleep(0)
    for session in sessions.values():
        (fetch,) = session.connection.sent
        exchange.merge_answer(
            session, StreamFound(number=fetch.number, streams=[])
        )
    asking.join(timeout=5)
    assert asking.ready()
    assert origins.find(KEY) is None


def test_peer_that_is_lost_is_not_waited_for(clock: ManualClock):
    sessions = make_sessions(1)
    exchange, _origins = make_exchange(clock, sessions)
    asking = gevent.spawn(exchange.ask, KEY, 60_000)
    gevent.sleep(0)
    sessions.clear()
    asking.join(timeout=5)
    assert asking.ready()


def test_new_session_begins_with_the_records_that_the_peer_holds(
    clock: ManualClock,
):
    sessions = make_sessions(40)
    exchange, origins = make_exchange(clock, sessions)
    for number in range(100):
        key = make_stream_key('oslo', str(number))
        origins.note(key, make_record(clock))
    sent = 0
    for session in sessions.values():
        exchange.send_state(session)
        sent += sum(
            len(each.streams)
            for each in session.connection.sent
            if isinstance(each, StreamsBegun)
        )
    assert sent == 100 * REPLICA_COUNT


def test_report_of_a_stream_is_small(clock: ManualClock):
    sessions = make_sessions(1)
    (session,) = sessions.values()
    exchange, _origins = make_exchange(clock, sessions)
    exchange.report(KEY, make_record(clock))
    (report,) = session.connection.sent
    assert len(encode(report)) < 64


def test_malformed_key_is_not_recorded(clock: ManualClock):
    sessions = make_sessions(1)
    (session,) = sessions.values()
    exchange, origins = make_exchange(clock, sessions)
    streams = [[b'x' * 1000, 'engines', 'v1', '', 0, 1000]]
    exchange.merge_streams(session, StreamsBegun(streams=streams))
    assert not len(origins)


def test_peers_learn_what_the_history_names(clock: ManualClock):
    sessions = make_sessions(2)
    exchange, _origins = make_exchange(clock, sessions)
    pools = {'engines': ['v1', None], 'others': ['v1']}
    record = VersionRecord(revision=7, complete_ms=20_000, pools=pools)
    exchange.announce_history(record)
    for session in sessions.values():
        (written,) = session.connection.sent
        versions = PoolVersions(clock=clock)
        make_exchange(clock, sessions, versions)[0].merge_history(
            session, written
        )
        assert versions.record is not None
        assert versions.record.names == record.names
        assert versions.is_named('engines', None)


@pytest.mark.parametrize('version', [7, ['v2'], {}])
def test_version_of_another_type_is_not_recorded(
    clock: ManualClock, version: Any
):
    sessions = make_sessions(1)
    (session,) = sessions.values()
    versions = PoolVersions(clock=clock)
    exchange, _origins = make_exchange(clock, sessions, versions)
    entries = [['engines', version, 0], ['engines', 'v3', 0]]
    exchange.merge_versions(
        session, VersionsListed(complete_ms=0, versions=entries)
    )
    assert versions.list_known('engines', 1000) == {'v3'}
    exchange.merge_history(
        session,
        HistoryWritten(
            revision=7,
            complete_ms=20_000,
            versions=[each[:2] for each in entries],
        ),
    )
    assert versions.record is None


def test_peers_are_told_of_no_complete_time(clock: ManualClock):
    sessions = make_sessions(1)
    (session,) = sessions.values()
    versions = PoolVersions(clock=clock)
    versions.merge([('engines', 'v1', 3000)])
    exchange, _origins = make_exchange(clock, sessions, versions)
    exchange.send_state(session)
    (listed,) = session.connection.sent
    assert listed.complete_ms == 0
    assert listed.versions == [['engines', 'v1', 3000]]
