"""Streams that callers take up at another gateway."""

from __future__ import annotations

import random
from typing import Any, Final

import gevent
import pytest
from gevent.event import Event

from standins.received_answer import ReceivedAnswer
from tests.fake_connection import make_peer
from tests.gateway_site import API_KEY, GatewaySite, known_endpoints, route
from tests.local_site import wait_until
from tests.test_gateway_streams import PROMPT, parse_event_ids
from wingfall.clock import Clock
from wingfall.gateway.application import GatewayApplication
from wingfall.gateway.configuration.replica import ENDPOINTS_KIND, ObjectReplica
from wingfall.gateway.configuration.stored_streams import encode_streams
from wingfall.gateway.endpoints.connection_cache import ConnectionCache
from wingfall.gateway.endpoints.endpoint_connection import EndpointConnection
from wingfall.gateway.knowledge.stream_origins import (
    MIN_STREAM_LIFE_MS,
    StreamRecord,
    make_stream_key,
)
from wingfall.gateway.model.object_store import StoreResponse
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.stream_origin import StreamOrigin
from wingfall.gateway.peers.peer_dialer import PeerDialer
from wingfall.wire.gateway_messages import STREAMS_FEATURE
from wingfall.wire.stream_messages import StreamFetch, VersionsListed
from wingfall.wire.transfer_messages import ObjectsFetch, ObjectsPage

VERSIONS: Final = ('v1', 'v2')
# Callers that take up a stream by chance at its own version: one in 2^12.
CALLERS: Final = 12


def add_engine(site: GatewaySite, name: str, version: str | None) -> None:
    """Start an engine of a version."""
    server = site.add_server(name, 'engines')
    server.version = version or 'unnamed'
    server.events = 4
    list_engine(site, name, version)


def list_engine(site: GatewaySite, name: str, version: str | None) -> None:
    """Write the entry of an engine, without a version if there is none."""
    entry = site.make_entry(name, 'engines', version=version)
    if version is None:
        entry.pop('version')
    site.store.put('servers', name, entry)


def begin_stream(
    site: GatewaySite, call_id: str, gateway: int = 0
) -> ReceivedAnswer:
    """Send a request for a whole stream, which a caller may take up later."""
    caller = site.caller(gateway)
    caller.send('/stream/x', method='POST', X_Attempt_Id=call_id, **PROMPT)
    answer = caller.receive()
    caller.close()
    return answer


def take_up(
    site: GatewaySite, resumes: str, gateway: int = 1, **headers: str
) -> ReceivedAnswer:
    """Take up a stream after its second event."""
    caller = site.caller(gateway)
    caller.send(
        '/stream/x',
        method='POST',
        X_Attempt_Id=f'{resumes}-{random.random()}',
        Last_Event_Id='2',
        Resumes=resumes,
        **{**PROMPT, **headers},
    )
    answer = caller.receive()
    caller.close()
    return answer


def version_of(answer: ReceivedAnswer) -> str:
    """Return the only version in the events of an answer."""
    versions = {
        line.split(b' ')[-1].decode()
        for line in answer.body.split(b'\n')
        if line.startswith(b'data: ')
    }
    (version,) = versions
    return version


def knows_stream(gateway: GatewayApplication, call_id: str) -> bool:
    """Check if a gateway knows where a stream began, without asking."""
    key = make_stream_key('oslo', call_id)
    return gateway._state.knowledge.streams.find(key) is not None


def connect_gateways(site: GatewaySite, count: int) -> None:
    """Start gateways and wait until they are connected and ready."""
    for _gateway in range(count):
        site.add_gateway()
    wait_until(
        lambda: all(
            len(each._peers.names) == count - 1 for each in site.gateways
        )
    )
    wait_until(
        lambda: all(
            known_endpoints(each).names == set(site.servers)
            for each in site.gateways
        )
    )


@pytest.fixture
def mixed_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of two engines of each version, without gateways."""
    for number in range(4):
        add_engine(gateway_site, f'e{number}', VERSIONS[number % 2])
    return gateway_site


def test_stream_is_taken_up_at_its_version_at_another_gateway(
    mixed_site: GatewaySite,
):
    connect_gateways(mixed_site, 2)
    for number in range(CALLERS):
        begun = begin_stream(mixed_site, f's{number}')
        taken_up = take_up(mixed_site, f's{number}')
        assert parse_event_ids(taken_up.body) == [3, 4]
        assert version_of(taken_up) == version_of(begun)


def test_stream_is_taken_up_after_its_gateway_has_ended(
    mixed_site: GatewaySite,
):
    connect_gateways(mixed_site, 3)
    begun = [
        begin_stream(mixed_site, f's{number}') for number in range(CALLERS)
    ]
    mixed_site.gateways[0].close()
    for number, answer in enumerate(begun):
        taken_up = take_up(mixed_site, f's{number}', gateway=1 + number % 2)
        assert version_of(taken_up) == version_of(answer)


def test_gateway_that_has_just_started_knows_streams_of_its_peers(
    mixed_site: GatewaySite,
):
    connect_gateways(mixed_site, 2)
    begun = begin_stream(mixed_site, 's0')
    mixed_site.start_gateway()
    taken_up = take_up(mixed_site, 's0', gateway=2)
    assert version_of(taken_up) == version_of(begun)


def test_gateway_that_does_not_hold_a_stream_asks_its_peers(
    mixed_site: GatewaySite,
):
    connect_gateways(mixed_site, 6)
    begun = begin_stream(mixed_site, 's0')
    gateways = mixed_site.gateways
    wait_until(lambda: sum(knows_stream(each, 's0') for each in gateways) == 4)
    others = [
        number
        for number, gateway in enumerate(gateways)
        if not knows_stream(gateway, 's0')
    ]
    for number in others:
        taken_up = take_up(mixed_site, 's0', gateway=number)
        assert version_of(taken_up) == version_of(begun)


def test_stream_is_taken_up_while_the_store_is_away(mixed_site: GatewaySite):
    connect_gateways(mixed_site, 2)
    mixed_site.store.script = {'status': 503}
    begun = begin_stream(mixed_site, 's0')
    assert version_of(take_up(mixed_site, 's0')) == version_of(begun)


def test_stream_of_unknown_origin_is_refused(mixed_site: GatewaySite):
    connect_gateways(mixed_site, 2)
    answer = take_up(mixed_site, 'never-begun')
    assert answer.status == 503
    assert b'stream_version_unknown' in answer.body
    assert float(answer.headers['retry-after']) > 0
    assert not any(server.runs for server in mixed_site.servers.values())


def store_stream(site: GatewaySite, call_id: str, version: str) -> None:
    """Leave a stream in the object of a gateway that has ended."""
    record = StreamRecord(
        origin=StreamOrigin(pool='engines', version=version),
        began_ms=0,
        expires_ms=MIN_STREAM_LIFE_MS,
    )
    key = make_stream_key('oslo', call_id)
    site.store.put(
        'wingfall-streams', 'gone', encode_streams([(key, record)], 0)
    )


def await_take_up(site: GatewaySite, gateway: int) -> None:
    """Wait until a stream goes on at a gateway."""
    wait_until(lambda: take_up(site, 's0', gateway=gateway).status == 200)


@pytest.mark.parametrize('version', VERSIONS)
def test_stream_that_no_gateway_knows_goes_on_as_the_store_tells(
    mixed_site: GatewaySite, version: str
):
    connect_gateways(mixed_site, 2)
    store_stream(mixed_site, 's0', version)
    # Each gateway has read the store at its start and may soon do so again.
    await_take_up(mixed_site, 0)
    await_take_up(mixed_site, 1)
    for number in range(CALLERS):
        taken_up = take_up(mixed_site, 's0', gateway=number % 2)
        assert version_of(taken_up) == version


@pytest.mark.parametrize('script', [{'status': 429}, {'delay_ms': 5000}])
def test_unknown_stream_is_refused_while_the_store_does_not_answer(
    mixed_site: GatewaySite, script: dict[str, int]
):
    connect_gateways(mixed_site, 2)
    store_stream(mixed_site, 's0', 'v1')
    mixed_site.store.script = script
    with gevent.Timeout(4):
        answer = take_up(mixed_site, 's0')
    assert b'stream_version_unknown' in answer.body
    mixed_site.store.script = {}
    await_take_up(mixed_site, 1)


def test_stream_of_another_customer_is_not_found(mixed_site: GatewaySite):
    mixed_site.config['tenants'] = [
        {'name': 'oslo', 'api_keys': [API_KEY], 'priority': 1},
        {'name': 'bergen', 'api_keys': ['key-of-bergen'], 'priority': 1},
    ]
    mixed_site.write_config()
    connect_gateways(mixed_site, 2)
    begin_stream(mixed_site, 's0')
    answer = take_up(mixed_site, 's0', Authorization='Token key-of-bergen')
    assert answer.status == 503


def test_stream_is_refused_after_its_route_got_another_pool(
    mixed_site: GatewaySite,
):
    connect_gateways(mixed_site, 2)
    begin_stream(mixed_site, 's0')
    mixed_site.add_server('other', 'moved')
    routes = mixed_site.config['routes']
    routes[3] = route('stream', 'moved', kind='stream', resumable=True)
    mixed_site.config['services'].append(
        {**mixed_site.config['services'][1], 'name': 'moved'}
    )
    mixed_site.write_config()
    gateway = mixed_site.gateways[1]
    version = mixed_site.config['version']
    wait_until(lambda: gateway.status()['config'] == version)
    wait_until(lambda: 'other' in known_endpoints(gateway).names)
    answer = take_up(mixed_site, 's0')
    assert answer.status == 503
    assert b'stream_pool_changed' in answer.body


def test_stream_of_a_version_that_is_gone_is_refused(mixed_site: GatewaySite):
    connect_gateways(mixed_site, 2)
    begun = begin_stream(mixed_site, 's0')
    gone = version_of(begun)
    for number in range(4):
        if VERSIONS[number % 2] == gone:
            entry = mixed_site.make_entry(
                f'e{number}', 'engines', version=gone, state='draining'
            )
            mixed_site.store.put('servers', f'e{number}', entry)
    table = known_endpoints(mixed_site.gateways[1])
    wait_until(lambda: len(table.usable('engines')) == 2)
    answer = take_up(mixed_site, 's0')
    assert answer.status == 503
    assert b'stream_version_gone' in answer.body


def test_engine_that_starts_as_another_version_gets_no_earlier_stream(
    gateway_site: GatewaySite,
):
    gateway_site.add_server('e0', 'engines').events = 4
    put_started(gateway_site, 'v1', born=1000)
    gateway_site.add_gateway()
    begin_stream(gateway_site, 's0')
    put_started(gateway_site, 'v2', born=2000)
    table = known_endpoints(gateway_site.gateways[0])
    wait_until(lambda: 'e0@2000' in table.names)
    answer = take_up(gateway_site, 's0', gateway=0)
    assert answer.status == 503
    assert len(gateway_site.servers['e0'].runs) == 1


def put_started(
    site: GatewaySite, version: str, born: int, name: str = 'e0'
) -> None:
    """Write the entry of a start of an engine."""
    entry = site.make_entry(name, 'engines', version=version, born=born)
    site.store.put('servers', name, entry)


def resumed_runs(site: GatewaySite, name: str) -> list[Any]:
    """Return the runs of an engine that continue a stream."""
    return [
        run for run in site.servers[name].runs if 'last-event-id' in run.headers
    ]


@pytest.fixture
def restarting_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of two engines of one version, and a stream."""
    for name in ('e0', 'e1'):
        gateway_site.add_server(name, 'engines').events = 4
        put_started(gateway_site, 'v1', born=1000, name=name)
    gateway_site.add_gateway()
    table = known_endpoints(gateway_site.gateways[0])
    wait_until(lambda: table.names == {'e0@1000', 'e1@1000'})
    begin_stream(gateway_site, 's0')
    return gateway_site


def test_stream_is_not_sent_to_an_engine_that_changed_after_the_choice(
    restarting_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    changed: list[str] = []
    acquire = ConnectionCache.acquire
    table = known_endpoints(restarting_site.gateways[0])

    def acquire_late(
        cache: ConnectionCache, endpoint: PoolEndpoint, **options: Any
    ) -> EndpointConnection:
        if not changed:
            changed.append(endpoint.instance)
            put_started(restarting_site, 'v2', 2000, endpoint.instance)
            wait_until(lambda: f'{endpoint.instance}@2000' in table.names)
        return acquire(cache, endpoint, **options)

    monkeypatch.setattr(ConnectionCache, 'acquire', acquire_late)
    answer = take_up(restarting_site, 's0', gateway=0)
    assert parse_event_ids(answer.body) == [3, 4]
    assert not resumed_runs(restarting_site, changed[0])


def test_events_of_an_engine_that_changed_after_the_sending_are_dropped(
    restarting_site: GatewaySite,
):
    for server in restarting_site.servers.values():
        server.delay_ms = 500
    caller = restarting_site.caller(0)
    caller.send(
        '/stream/x',
        method='POST',
        X_Attempt_Id='s1',
        Last_Event_Id='2',
        Resumes='s0',
        **PROMPT,
    )
    names = list(restarting_site.servers)
    wait_until(
        lambda: any(resumed_runs(restarting_site, each) for each in names)
    )
    (changed,) = [each for each in names if resumed_runs(restarting_site, each)]
    restarting_site.servers[changed].version = 'v2'
    put_started(restarting_site, 'v2', 2000, changed)
    answer = caller.receive()
    assert b' v2\n' not in answer.body
    assert parse_event_ids(answer.body) == [3, 4]


@pytest.mark.parametrize('unframed', [False, True])
def test_engine_that_changed_does_not_tell_that_a_stream_has_ended(
    restarting_site: GatewaySite, *, unframed: bool
):
    for server in restarting_site.servers.values():
        server.delay_ms = 500
        server.unframed_streams = unframed
    caller = restarting_site.caller(0)
    caller.send(
        '/stream/x',
        method='POST',
        X_Attempt_Id='s1',
        Last_Event_Id='2',
        Resumes='s0',
        **PROMPT,
    )
    names = list(restarting_site.servers)
    wait_until(
        lambda: any(resumed_runs(restarting_site, each) for each in names)
    )
    (changed,) = [each for each in names if resumed_runs(restarting_site, each)]
    # Its streams as another version have no event after the second.
    restarting_site.servers[changed].events = 2
    put_started(restarting_site, 'v2', 2000, changed)
    answer = caller.receive()
    assert parse_event_ids(answer.body) == [3, 4]


def test_engine_that_changed_does_not_end_an_answer_that_has_begun(
    restarting_site: GatewaySite,
):
    faults, delays_ms = ['cut'], [500, 1]
    for server in restarting_site.servers.values():
        server.draw_delay_ms = delays_ms.pop
        server.event_ms = 50
        server.faults = faults
    caller = restarting_site.caller(0)
    caller.send('/stream/x', method='POST', X_Attempt_Id='s1', **PROMPT)
    names = list(restarting_site.servers)
    wait_until(
        lambda: any(resumed_runs(restarting_site, each) for each in names)
    )
    (changed,) = [each for each in names if resumed_runs(restarting_site, each)]
    restarting_site.servers[changed].events = 2
    put_started(restarting_site, 'v2', 2000, changed)
    answer = caller.receive()
    assert not answer.whole or parse_event_ids(answer.body) == [1, 2, 3, 4]
    assert parse_event_ids(answer.body)[:2] == [1, 2]


def test_stream_without_a_named_version_is_not_joined_with_another(
    gateway_site: GatewaySite,
):
    add_engine(gateway_site, 'e0', None)
    connect_gateways(gateway_site, 2)
    begin_stream(gateway_site, 's0')
    add_engine(gateway_site, 'e1', 'v1')
    add_engine(gateway_site, 'e2', None)
    wait_until(
        lambda: all(
            len(known_endpoints(each).names) == 3
            for each in gateway_site.gateways
        )
    )
    for _caller in range(CALLERS):
        # The engine that began it is of its version for certain.
        assert take_up(gateway_site, 's0').status == 200
    assert len(gateway_site.servers['e0'].runs) == 1 + CALLERS


@pytest.mark.parametrize('gateway', [0, 1])
def test_counter_tells_why_a_stream_can_not_continue(
    mixed_site: GatewaySite, gateway: int
):
    connect_gateways(mixed_site, 2)
    begin_stream(mixed_site, 's0')
    take_up(mixed_site, 's0', gateway=gateway)
    take_up(mixed_site, 'never-begun', gateway=gateway)
    counted = count_decisions(mixed_site.gateways[gateway])
    assert counted['continued'] == 1
    assert counted['version_unknown'] == 1


def count_decisions(gateway: GatewayApplication) -> dict[str, Any]:
    """Return the counted decisions on streams by their reasons."""
    return {
        labels['reason']: count
        for labels, count in gateway._metrics.decisions.get_all()
        if labels['part'] == 'streams'
    }


@pytest.mark.parametrize(
    ('versions', 'status'), [(['v1'], 200), (['v1', 'v2'], 503), ([], 503)]
)
def test_stream_continues_after_all_gateways_ended_if_the_pool_had_one_version(
    gateway_site: GatewaySite, versions: list[str], status: int
):
    add_engine(gateway_site, 'e0', 'v1')
    if versions:
        history = {'complete_ms': 60_000, 'pools': {'engines': versions}}
        gateway_site.store.put('wingfall-versions', 'pools', history)
    gateway_site.add_gateway()
    # The gateway at which the stream began has ended, and so have all others.
    assert take_up(gateway_site, 'before', gateway=0).status == status


def store_history(site: GatewaySite, *versions: str) -> None:
    """Store the versions that the pool had in the last minute."""
    history = {'complete_ms': 60_000, 'pools': {'engines': list(versions)}}
    site.store.put('wingfall-versions', 'pools', history)


@pytest.fixture
def stale_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site whose gateway knows of one version, as does the store."""
    add_engine(gateway_site, 'e0', 'v1')
    store_history(gateway_site, 'v1')
    gateway_site.add_gateway()
    # It has read the history, and its table of endpoints is in force.
    assert take_up(gateway_site, 'before', gateway=0).status == 200
    return gateway_site


def test_outdated_list_decides_nothing_while_the_store_is_away(
    stale_site: GatewaySite,
):
    stale_site.store.script = {'status': 503}
    answer = take_up(stale_site, 's0', gateway=0)
    assert answer.status == 503
    assert b'stream_version_unknown' in answer.body


def test_version_that_a_gateway_did_not_hear_of_is_read_from_the_store(
    stale_site: GatewaySite,
):
    # It joined, began streams and left; another gateway has written it.
    store_history(stale_site, 'v1', 'v2')
    answer = take_up(stale_site, 's0', gateway=0)
    assert answer.status == 503
    assert b'stream_version_unknown' in answer.body


def test_version_that_is_listed_contradicts_the_history(
    stale_site: GatewaySite,
):
    add_unnamed_engine(stale_site, 'v2')
    assert take_up(stale_site, 's0', gateway=0).status == 503


def test_peer_that_claims_a_complete_list_decides_nothing(
    gateway_site: GatewaySite,
):
    add_engine(gateway_site, 'e0', 'v1')
    gateway = gateway_site.add_gateway()
    claim = VersionsListed(complete_ms=90_000, versions=[['engines', 'v1', 0]])
    # Of a peer that was cut off until now.
    gateway._peers.streams.merge_versions(make_peer('late', 'a'), claim)
    assert take_up(gateway_site, 's0', gateway=0).status == 503


def test_answer_of_a_slow_peer_is_awaited_if_the_store_does_not_decide(
    stale_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    other = stale_site.add_gateway()
    wait_until(lambda: len(stale_site.gateways[0]._peers.names) == 1)
    origin = StreamOrigin(pool='engines', version='v2', endpoint='left')
    now_ms = Clock().now_ms()
    record = StreamRecord(
        origin=origin, began_ms=now_ms, expires_ms=now_ms + 60_000
    )
    key = make_stream_key('oslo', 's0')
    other._state.knowledge.streams.note(key, record)
    handlers = other._peers._heartbeats._handlers
    answer_fetch = handlers[StreamFetch]

    def answer_late(*question: Any) -> None:
        gevent.sleep(0.15)
        answer_fetch(*question)

    monkeypatch.setitem(handlers, StreamFetch, answer_late)
    stale_site.store.script = {'status': 503}
    answer = take_up(stale_site, 's0', gateway=0)
    assert answer.status == 503
    assert b'stream_version_gone' in answer.body


def test_share_of_one_version_goes_on_at_once_after_all_gateways_ended(
    gateway_site: GatewaySite,
):
    add_engine(gateway_site, 'e0', 'v1')
    store_history(gateway_site, 'v1')
    gateway_site.add_gateway()
    taken_up = [
        take_up(gateway_site, f's{number}', gateway=0)
        for number in range(CALLERS)
    ]
    assert {each.status for each in taken_up} == {200}


def test_long_stream_is_refused_where_the_history_is_too_short(
    stale_site: GatewaySite,
):
    stale_site.config['routes'][3] = route(
        'stream', 'engines', kind='stream', resumable=True, timeout_ms=60_000
    )
    stale_site.write_config()
    gateway = stale_site.gateways[0]
    version = stale_site.config['version']
    wait_until(lambda: gateway.status()['config'] == version)
    assert take_up(stale_site, 's0', gateway=0).status == 503


def add_unnamed_engine(site: GatewaySite, version: str) -> None:
    """Let an engine join while the store refuses to take its version down."""
    site.store.refused_writes = 429
    add_engine(site, 'e1', version)
    table = known_endpoints(site.gateways[0])
    wait_until(lambda: 'e1' in table.names)


def test_no_stream_begins_at_a_version_that_the_store_does_not_name(
    stale_site: GatewaySite,
):
    add_unnamed_engine(stale_site, 'v2')
    begun = {
        version_of(begin_stream(stale_site, f's{number}'))
        for number in range(CALLERS)
    }
    assert begun == {'v1'}
    stale_site.store.refused_writes = 0
    versions = stale_site.gateways[0]._state.knowledge.versions
    wait_until(lambda: versions.is_named('engines', 'v2'))
    stored = stale_site.store.objects['wingfall-versions']['pools']
    assert stored['spec']['pools'] == {'engines': ['v1', 'v2']}


def test_stream_that_may_not_be_resumed_begins_at_any_version(
    stale_site: GatewaySite,
):
    add_unnamed_engine(stale_site, 'v2')
    # More streams at the same time than the other engine has slots.
    for server in stale_site.servers.values():
        server.event_ms = 100
    callers = [stale_site.caller() for _number in range(CALLERS)]
    for number, caller in enumerate(callers):
        caller.send(
            '/oneway/x', method='POST', X_Attempt_Id=f's{number}', **PROMPT
        )
    assert all(caller.receive().whole for caller in callers)
    for caller in callers:
        caller.close()
    assert stale_site.servers['e1'].runs


def test_stream_begins_at_once_where_no_version_is_named(
    stale_site: GatewaySite,
):
    add_unnamed_engine(stale_site, 'v2')
    stale_site.put_server('e0', 'engines', 'draining')
    table = known_endpoints(stale_site.gateways[0])
    wait_until(lambda: len(table.usable('engines')) == 1)
    assert version_of(begin_stream(stale_site, 's0')) == 'v2'
    decisions = count_decisions(stale_site.gateways[0])
    assert decisions['unnamed_version'] == 1


def cut_off(
    gateway: GatewayApplication, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Have a gateway hear of no change, while it can read the history."""
    apply_changes = ObjectReplica.apply_changes

    def apply_unless_cut_off(
        replica: ObjectReplica, response: StoreResponse
    ) -> None:
        if replica not in gateway._replicas:
            apply_changes(replica, response)

    monkeypatch.setattr(ObjectReplica, 'apply_changes', apply_unless_cut_off)
    monkeypatch.setattr(PeerDialer, '_dial', lambda *_named: None)
    gateway._peers.stop()


def test_stream_that_began_at_an_unnamed_version_is_not_joined_with_another(
    stale_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    late = stale_site.add_gateway()
    wait_until(lambda: known_endpoints(late).usable('engines'))
    wait_until(lambda: late._state.knowledge.versions.record)
    cut_off(late, monkeypatch)
    add_unnamed_engine(stale_site, 'v2')
    stale_site.put_server('e0', 'engines', 'draining')
    first = stale_site.gateways[0]
    wait_until(lambda: len(known_endpoints(first).usable('engines')) == 1)
    assert version_of(begin_stream(stale_site, 's0')) == 'v2'
    first.close()
    assert take_up(stale_site, 's0', gateway=1).status == 503


def test_unnamed_version_that_came_and_went_unheard_is_not_joined_with_another(
    stale_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    late = stale_site.add_gateway()
    wait_until(lambda: known_endpoints(late).usable('engines'))
    wait_until(lambda: late._state.knowledge.versions.record)
    cut_off(late, monkeypatch)
    add_unnamed_engine(stale_site, 'v2')
    stale_site.store.delete('servers', 'e1')
    assert take_up(stale_site, 's0', gateway=1).status == 503


def hear_of_peers_alone(
    gateway: GatewayApplication, monkeypatch: pytest.MonkeyPatch, begun: Event
) -> None:
    """Have a gateway hear of changes from its peers, once that has begun."""
    apply_changes = ObjectReplica.apply_changes

    def apply_to_others(replica: ObjectReplica, response: StoreResponse) -> int:
        is_other = replica not in gateway._replicas
        return apply_changes(replica, response) if is_other else 0

    def apply_of_peers(replica: ObjectReplica, response: StoreResponse) -> int:
        if replica in gateway._replicas and not begun.is_set():
            return 0
        replica.revision = max(replica.revision, response.revision)
        return apply_changes(replica, response)

    monkeypatch.setattr(ObjectReplica, 'apply_changes', apply_to_others)
    monkeypatch.setattr(ObjectReplica, 'apply_peer_changes', apply_of_peers)


def test_unnamed_version_that_peers_no_longer_list_is_not_joined_with_another(
    stale_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    late = stale_site.add_gateway()
    wait_until(lambda: known_endpoints(late).usable('engines'))
    wait_until(lambda: late._state.knowledge.versions.record)
    begun = Event()
    hear_of_peers_alone(late, monkeypatch, begun)
    add_unnamed_engine(stale_site, 'v2')
    stale_site.store.delete('servers', 'e1')
    first = stale_site.gateways[0]
    wait_until(lambda: 'e1' not in known_endpoints(first).names)
    begun.set()
    endpoints, heard = (
        next(each for each in site._replicas if each.kind == ENDPOINTS_KIND)
        for site in (first, late)
    )
    wait_until(lambda: heard.revision >= endpoints.revision)
    assert take_up(stale_site, 's0', gateway=1).status == 503


def test_gateway_that_is_behind_learns_which_unnamed_versions_came_and_went(
    stale_site: GatewaySite,
):
    (gateway,) = stale_site.gateways
    add_unnamed_engine(stale_site, 'v2')
    stale_site.store.delete('servers', 'e1')
    wait_until(lambda: 'e1' not in known_endpoints(gateway).names)
    peer = make_peer('late', 'osl-a', [STREAMS_FEATURE])
    gateway._peers._heartbeats.receive(
        peer, ObjectsFetch(kind=ENDPOINTS_KIND, revision=1)
    )
    listed, page = peer.connection.sent
    assert [each[:2] for each in listed.versions] == [['engines', 'v2']]
    assert isinstance(page, ObjectsPage)


def test_gateway_that_is_behind_is_sent_no_named_versions(
    stale_site: GatewaySite,
):
    (gateway,) = stale_site.gateways
    peer = make_peer('late', 'osl-a', [STREAMS_FEATURE])
    gateway._peers._heartbeats.receive(
        peer, ObjectsFetch(kind=ENDPOINTS_KIND, revision=1)
    )
    (page,) = peer.connection.sent
    assert isinstance(page, ObjectsPage)


def test_gateway_learns_from_the_writer_which_versions_are_named(
    gateway_site: GatewaySite,
):
    add_engine(gateway_site, 'e0', 'v1')
    connect_gateways(gateway_site, 4)
    known = [
        gateway._state.knowledge.versions for gateway in gateway_site.gateways
    ]
    wait_until(lambda: all(each.is_named('engines', 'v1') for each in known))
    add_engine(gateway_site, 'e1', 'v2')
    wait_until(lambda: all(each.is_named('engines', 'v2') for each in known))
    assert {each.record.revision for each in known if each.record} == {
        gateway_site.store.objects['wingfall-versions']['pools']['metadata'][
            'revision'
        ]
    }


def take_from_peer(
    gateway: GatewayApplication, peer: GatewayApplication
) -> None:
    """Have a gateway get the endpoints that changed from a peer."""
    own, other = (
        next(each for each in side._replicas if each.kind == ENDPOINTS_KIND)
        for side in (gateway, peer)
    )
    objects = other.objects_since(own.revision)
    own.apply_peer_changes(
        StoreResponse(revision=other.revision, objects=objects)
    )


def begin_at_unnamed_version(site: GatewaySite, call_id: str) -> None:
    """Begin a stream at a version that comes and goes without a name."""
    add_unnamed_engine(site, 'v2')
    site.put_server('e0', 'engines', 'draining')
    table = known_endpoints(site.gateways[0])
    wait_until(lambda: len(table.usable('engines')) == 1)
    assert version_of(begin_stream(site, call_id)) == 'v2'
    site.store.delete('servers', 'e1')
    site.put_server('e0', 'engines')
    wait_until(
        lambda: {each.name for each in table.usable('engines')} == {'e0'}
    )


def test_unnamed_version_that_a_peer_heard_leave_is_not_joined_with_another(
    stale_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    late = stale_site.add_gateway()
    wait_until(lambda: known_endpoints(late).usable('engines'))
    wait_until(lambda: late._state.knowledge.versions.record)
    cut_off(late, monkeypatch)
    begin_at_unnamed_version(stale_site, 's0')
    monkeypatch.undo()
    take_from_peer(late, stale_site.gateways[0])
    stale_site.gateways[0].close()
    assert take_up(stale_site, 's0', gateway=1).status == 503
