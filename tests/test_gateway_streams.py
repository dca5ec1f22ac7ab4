"""Forwarding and placement of event streams by a gateway."""

from __future__ import annotations

import pytest

from standins.pool_server import Run
from standins.prompt_crash import PromptCrash
from tests.gateway_site import API_KEY, GatewaySite, caches_part, route
from tests.local_site import wait_until

PROMPT = {'X_Token_Count': '300,40', 'X_Prompt_Prefix': 'aa:200,bb:100'}


@pytest.fixture
def engine_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of one gateway and two engines."""
    gateway_site.add_server('one', 'engines')
    gateway_site.add_server('two', 'engines')
    gateway_site.add_gateway()
    return gateway_site


def parse_event_ids(body: bytes) -> list[int]:
    """Return the ids of the events in the body of a stream."""
    return [
        int(line.removeprefix(b'id: '))
        for line in body.split(b'\n')
        if line.startswith(b'id: ')
    ]


def inject_fault(site: GatewaySite, fault: str) -> None:
    """Inject the fault into the next answer of each engine."""
    for server in site.servers.values():
        server.faults = [fault]


def test_stream_is_forwarded_completely(engine_site: GatewaySite):
    answer = engine_site.ask('/stream/x', method='POST', **PROMPT)
    assert answer.status == 200
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3]


def test_stream_without_length_ends_with_its_connection(
    engine_site: GatewaySite,
):
    for server in engine_site.servers.values():
        server.unframed_streams = True
    answer = engine_site.ask('/stream/x', method='POST', **PROMPT)
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3]


@pytest.mark.parametrize('after_events', [1, 2])
def test_stream_without_length_of_an_engine_that_crashes_goes_on(
    engine_site: GatewaySite, after_events: int
):
    # The connection of the first engine ends between two events.
    first = arm_first_engine(engine_site, after_events)
    answer = engine_site.ask('/stream/x', method='POST', **PROMPT)
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3]
    assert len(first) == 1


def test_stream_without_length_that_a_crash_cuts_does_not_look_whole(
    engine_site: GatewaySite,
):
    arm_first_engine(engine_site, 1)
    answer = engine_site.ask('/oneway/x', method='POST', **PROMPT)
    assert not answer.whole
    assert parse_event_ids(answer.body) == [1]


def arm_first_engine(site: GatewaySite, after_events: int) -> list[str]:
    """Have the engine that runs the next prompt crash after some events.

    :returns: ids of the requests that crash it, filled as they do.
    """
    crashed = []

    def note_crash(run: Run) -> None:
        crashed.append(run.call_id)
        for server in site.servers.values():
            server.prompt_crash = PromptCrash()

    for server in site.servers.values():
        server.unframed_streams = True
        server.prompt_crash = PromptCrash(
            parts=('aa',), after_events=after_events, closes=True
        )
        server.on_crash = note_crash
    return crashed


def test_events_are_forwarded_as_they_arrive(engine_site: GatewaySite):
    for server in engine_site.servers.values():
        server.event_ms = 150
    caller = engine_site.caller()
    caller.send('/stream/x', method='POST', **PROMPT)
    received = b''
    while b'id: 1\n' not in received:
        received += caller.sock.recv(1000)
    assert b'id: 3\n' not in received


def test_engine_receives_priority_and_prompt_headers(engine_site: GatewaySite):
    engine_site.ask('/stream/x', method='POST', **PROMPT)
    (run,) = [run for each in engine_site.servers.values() for run in each.runs]
    # The customer's priority ranks above the only tier of routes.
    assert run.headers['x-request-priority'] == '0'
    assert run.headers['x-prompt-prefix'] == 'aa:200,bb:100'


def test_cut_stream_resumes_at_another_engine(engine_site: GatewaySite):
    cut_once = ['cut']
    for server in engine_site.servers.values():
        server.events = 6
        server.faults = cut_once
    answer = engine_site.ask(
        '/stream/x', method='POST', X_Attempt_Id='r1', **PROMPT
    )
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3, 4, 5, 6]
    first, second = sorted(
        (run for each in engine_site.servers.values() for run in each.runs),
        key=lambda run: run.whole,
    )
    assert 'last-event-id' not in first.headers
    assert second.headers['last-event-id'] == '2'
    assert answer.headers['x-response-seal'].removeprefix('seal.') in {
        server.name
        for server in engine_site.servers.values()
        if first in server.runs
    }


def test_stream_that_may_not_be_resumed_is_cut(engine_site: GatewaySite):
    inject_fault(engine_site, 'cut')
    answer = engine_site.ask('/oneway/x', method='POST', **PROMPT)
    assert answer.status == 200
    assert not answer.whole
    assert parse_event_ids(answer.body) == [1, 2]
    assert sum(len(each.runs) for each in engine_site.servers.values()) == 1


def test_last_event_id_of_the_caller_is_sent_to_the_engine(
    engine_site: GatewaySite,
):
    engine_site.ask('/stream/x', method='POST', X_Attempt_Id='a0', **PROMPT)
    answer = engine_site.ask(
        '/stream/x',
        method='POST',
        Last_Event_Id='1',
        Resumes='a0',
        **PROMPT,
    )
    assert parse_event_ids(answer.body) == [2, 3]
    runs = [run for each in engine_site.servers.values() for run in each.runs]
    assert [run.headers.get('last-event-id') for run in runs].count('1') == 1


def test_prompts_with_a_shared_part_go_to_one_engine(
    engine_site: GatewaySite,
):
    for number in range(6):
        engine_site.ask(
            '/stream/x',
            method='POST',
            X_Token_Count='5100,40',
            X_Prompt_Prefix=f'aa:5000,own{number}:100',
        )
    counts = sorted(len(each.runs) for each in engine_site.servers.values())
    assert counts == [0, 6]


def test_gateways_send_a_shared_part_to_the_same_engine(
    engine_site: GatewaySite,
):
    engine_site.add_gateway()
    second = engine_site.gateways[1]
    wait_until(lambda: second.status()['peers'])
    prompt = {
        'X_Token_Count': '5100,40',
        'X_Prompt_Prefix': 'aa:5000,own:100',
    }
    engine_site.ask('/stream/x', method='POST', **prompt)
    (caching_engine,) = [
        each for each in engine_site.servers.values() if each.runs
    ]
    wait_until(lambda: caches_part(second, caching_engine.name, 'aa'))
    caller = engine_site.caller(1)
    caller.send('/stream/x', method='POST', **prompt)
    assert caller.receive().whole
    assert len(caching_engine.runs) == 2


def test_failure_before_the_first_event_is_retried(engine_site: GatewaySite):
    engine_site.servers['one'].faults = ['reset']
    engine_site.servers['two'].faults = []
    for number in range(4):
        answer = engine_site.ask(
            '/stream/x', method='POST', X_Attempt_Id=f'r{number}', **PROMPT
        )
        assert answer.whole


def test_cached_part_is_found_in_a_large_pool(engine_site: GatewaySite):
    names = [f'server-{number}' for number in range(70)]
    for name in names:
        engine_site.add_server(name, 'engines')
    gateway = engine_site.gateways[0]
    wait_until(lambda: len(gateway.status()['endpoints']) == 72)
    prompt = {'X_Token_Count': '5100,40', 'X_Prompt_Prefix': 'aa:5000,own:100'}
    for _ask in range(3):
        engine_site.ask('/stream/x', method='POST', **prompt)
    counts = [len(each.runs) for each in engine_site.servers.values()]
    assert sorted(counts)[-2:] == [0, 3]


@pytest.mark.parametrize(
    ('version', 'copies'), [('v1', True), ('v2', False), ('', False)]
)
def test_idle_engine_copies_a_cached_part_only_from_its_version(
    gateway_site: GatewaySite, version: str, copies: bool
):
    engine = gateway_site.config['services'][1]['engine']
    engine.update(kv_token_bytes=18_432, link_mbps=180_000, moves=True)
    gateway_site.write_config()
    keeper = gateway_site.add_server('keeper', 'engines')
    idle = gateway_site.add_server('idle', 'engines')
    entry = gateway_site.make_entry('idle', 'engines', version=version)
    gateway_site.store.put('servers', 'idle', entry)
    keeper.held = [('aa', 5000)]
    keeper.delay_ms = 1500
    gateway = gateway_site.add_gateway()
    wait_until(lambda: caches_part(gateway, 'keeper', 'aa'))
    caller = gateway_site.caller()
    caller.send('/stream/x', X_Prompt_Prefix='aa:5000,cc:35000')
    wait_until(keeper.run_ids)
    gateway_site.ask('/stream/x', X_Prompt_Prefix='aa:5000,bb:10')
    (run,) = idle.runs
    source = keeper.address if copies else None
    assert run.headers.get('kv-fetch') == source


def test_urgent_route_is_admitted_for_all_customer_priorities(
    gateway_site: GatewaySite,
):
    gateway_site.config['routes'] = [
        route('urgent', 'engines', kind='stream', priority=0, timeout_ms=12000),
        route('stream', 'engines', kind='stream', timeout_ms=12000),
    ]
    gateway_site.write_config()
    engine = gateway_site.add_server('e1', 'engines')
    engine.delay_ms = 1500
    gateway_site.add_gateway()
    caller = gateway_site.caller()
    caller.send('/urgent/x', X_Prompt_Prefix='aa:60000')
    wait_until(engine.run_ids)
    assert gateway_site.ask('/stream/x', **PROMPT).status == 503
    assert gateway_site.ask('/urgent/x', **PROMPT).status == 200


def test_caller_cannot_choose_the_engine_to_copy_from(engine_site: GatewaySite):
    engine_site.ask('/stream/x', method='POST', Kv_Fetch='10.0.0.1:1', **PROMPT)
    (run,) = [run for each in engine_site.servers.values() for run in each.runs]
    assert 'kv-fetch' not in run.headers


def receive_by_http_1_0(site: GatewaySite, target: str) -> tuple[bytes, bool]:
    """Ask for a stream by HTTP/1.0, where it ends with its connection.

    :returns: the answer, and whether its connection was reset.
    """
    sock = site.caller().sock
    lines = (
        f'POST {target} HTTP/1.0',
        'Host: site.example',
        f'Authorization: Token {API_KEY}',
        'X-Attempt-Id: a1',
        *(f'{name.replace("_", "-")}: {PROMPT[name]}' for name in PROMPT),
    )
    sock.sendall('\r\n'.join((*lines, '', '')).encode())
    received = b''
    try:
        while piece := sock.recv(65_536):
            received += piece
    except ConnectionResetError:
        return received, True
    return received, False


def test_whole_stream_by_http_1_0_ends_with_its_connection(
    engine_site: GatewaySite,
):
    received, is_reset = receive_by_http_1_0(engine_site, '/oneway/x')
    assert parse_event_ids(received) == [1, 2, 3]
    assert not is_reset


def test_cut_stream_by_http_1_0_does_not_look_whole(engine_site: GatewaySite):
    # Without chunks a caller can tell the end of a cut stream from that of a
    # whole one by a reset alone.
    inject_fault(engine_site, 'cut')
    received, is_reset = receive_by_http_1_0(engine_site, '/oneway/x')
    assert parse_event_ids(received) != [1, 2, 3]
    assert is_reset
