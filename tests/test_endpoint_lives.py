"""Endpoints that restart under the same id."""

from __future__ import annotations

import contextlib
import subprocess
import sys
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import pytest
import yaml

from standins.pool_server import PoolServerStandIn
from tests.gateway_site import (
    HOST,
    CallerStandIn,
    GatewaySite,
    caches_part,
    known_endpoints,
)
from tests.local_site import wait_until
from tests.test_stored_objects import VALID_ENDPOINT, make_state
from tools.fleet import free_port
from wingfall.clock import ManualClock
from wingfall.gateway.configuration.object_applier import ObjectApplier
from wingfall.gateway.endpoints.connection_cache import ConnectionCache
from wingfall.gateway.endpoints.sending_gate import SendingGate
from wingfall.gateway.knowledge import endpoint_incarnations
from wingfall.gateway.knowledge.endpoint_incarnations import (
    EndpointIncarnations,
    EntryStatus,
    select_own_entries,
)
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
from wingfall.gateway.knowledge.load import EndpointLoad
from wingfall.gateway.knowledge.prefix_caches import SentPrompt
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.prompt import PromptPart
from wingfall.gateway.peers.loads.load_entries import Activity
from wingfall.gateway.peers.loads.load_exchange import LoadExchange
from wingfall.gateway.rules.pacing.rate_share import share_among_few
from wingfall.platform.endpoint_entry import read_endpoint

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

FIRST_MS = 1_785_061_641_008
LATER_MS = FIRST_MS + 5000
PARTS = (PromptPart(part_id='p1', tokens=500),)


def started(
    born_ms: int | None, name: str = 'one', **changes: Any
) -> PoolEndpoint:
    """Create an endpoint with a start time."""
    spec = {**VALID_ENDPOINT, **changes}
    if born_ms is not None:
        spec['born'] = born_ms
    return read_endpoint(name, spec).unwrap()


def entry_writer(applier: ObjectApplier) -> Callable[..., None]:
    """Return a function that applies an endpoint entry."""

    def put(born_ms: int | None, name: str = 'one', **changes: Any) -> None:
        spec = {**VALID_ENDPOINT, **changes}
        if born_ms is not None:
            spec['born'] = born_ms
        applier.apply_endpoint(name, spec)

    return put


def usable(state: SimpleNamespace) -> list[int | None]:
    """Return the start times of the usable endpoints."""
    return [each.born_ms for each in state.knowledge.table.usable('plain')]


def test_each_incarnation_has_its_own_name():
    first, again = started(FIRST_MS), started(LATER_MS)
    assert first.name != again.name
    assert first.instance == again.instance == 'one'
    assert started(None).name == 'one'


def test_latest_start_is_the_newest_incarnation():
    incarnations = EndpointIncarnations()
    assert incarnations.note(started(FIRST_MS)) is EntryStatus.newest
    assert incarnations.note(started(LATER_MS)) is EntryStatus.newest
    assert incarnations.note(started(FIRST_MS)) is EntryStatus.earlier
    assert incarnations.note(started(LATER_MS)) is EntryStatus.newest
    assert incarnations.note(started(None)) is EntryStatus.untold
    assert incarnations.is_superseded(started(FIRST_MS))
    assert not incarnations.is_superseded(started(LATER_MS))
    assert not incarnations.is_superseded(started(None))


def test_number_of_stored_starts_is_bounded(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(endpoint_incarnations, '_MOST_REMEMBERED', 2)
    incarnations = EndpointIncarnations()
    for number in range(3):
        incarnations.note(started(LATER_MS, f'i-{number}'))
    assert incarnations.note(started(FIRST_MS, 'i-2')) is EntryStatus.earlier
    assert incarnations.note(started(FIRST_MS, 'i-0')) is EntryStatus.newest


def test_entries_without_start_are_used_if_no_entry_has_one():
    listed = [started(None, 'one'), started(None, 'two')]
    assert select_own_entries(listed) == listed


def test_entry_without_start_is_ignored_beside_entries_with_one():
    listed = [started(FIRST_MS, 'one'), started(None, 'two')]
    assert select_own_entries(listed) == listed[:1]


def test_one_entry_with_start_does_not_exclude_the_others():
    listed = [
        started(FIRST_MS, 'odd'),
        started(None, 'one'),
        started(None, 'two'),
    ]
    assert select_own_entries(listed) == listed


def test_new_incarnation_replaces_the_earlier_at_once():
    state = make_state()
    put = entry_writer(ObjectApplier(state=state))
    put(FIRST_MS)
    put(LATER_MS)
    assert usable(state) == [LATER_MS]
    assert len(state.knowledge.table.names) == 1


@pytest.mark.parametrize('left', [False, True])
def test_late_entry_of_an_earlier_incarnation_is_ignored(left: bool):
    state = make_state()
    applier = ObjectApplier(state=state)
    put = entry_writer(applier)
    put(FIRST_MS)
    put(LATER_MS)
    if left:
        applier.apply_endpoint('one', None)
        state.knowledge.table._clock.advance(10_000)
    put(FIRST_MS)
    expected = [] if left else [LATER_MS]
    assert usable(state) == expected


def test_entry_that_lost_its_start_is_ignored():
    state = make_state()
    put = entry_writer(ObjectApplier(state=state))
    for name in ('one', 'two', 'three'):
        put(FIRST_MS, name)
    put(None, 'two')
    names = {each.instance for each in state.knowledge.table.usable('plain')}
    assert names == {'one', 'three'}


def add_load(known: EndpointKnowledge, name: str) -> None:
    """Record work of this gateway and of a peer at an endpoint."""
    known.load.start(name, EndpointLoad(running=1, prefill_tokens=90))
    work = [(name, EndpointLoad(running=2))]
    known.load.merge_from_peer('peer', work, whole=False)


def add_failures(known: EndpointKnowledge, name: str) -> None:
    """Record a failed attempt and a refused connection."""
    known.health.note_failure(name)
    known.health.note_unreachable(name)


# How state of an endpoint is recorded and looked up, by kind of state.
STATE_KINDS = {
    'caches': (
        lambda known, name: known.caches.find(name).note(PARTS),
        lambda known, name: known.caches.find(name).cached_tokens(PARTS),
    ),
    'load': (add_load, lambda known, name: known.load.total(name).running),
    'failures': (
        add_failures,
        lambda known, name: (
            known.health.failure_rate(name) or known.health.is_ejected(name)
        ),
    ),
    'long reads': (
        lambda known, name: known.note_prompt_sent(name, 9000),
        lambda known, name: known.long_reads.tokens(name),
    ),
    'reads under way': (
        lambda known, name: known.caches.note_sent(
            SentPrompt(endpoint=name, parts=PARTS, uncached_tokens=500), 10_000
        ),
        lambda known, name: (
            known.caches.find(name).pending_prefill(PARTS, 0).tokens
        ),
    ),
}


@pytest.mark.parametrize('kind', STATE_KINDS)
def test_state_of_an_earlier_incarnation_is_not_kept(kind: str):
    record, find_state = STATE_KINDS[kind]
    state = make_state()
    known = state.knowledge
    put = entry_writer(ObjectApplier(state=state))
    put(FIRST_MS)
    record(known, started(FIRST_MS).name)
    assert find_state(known, started(FIRST_MS).name)
    put(LATER_MS)
    (newest,) = known.table.usable('plain')
    assert not find_state(known, newest.name)
    # Later records of the earlier incarnation change nothing either.
    record(known, started(FIRST_MS).name)
    assert not find_state(known, newest.name)


def test_speed_is_reset_for_a_new_incarnation():
    state = make_state()
    known = state.knowledge
    put = entry_writer(ObjectApplier(state=state))
    put(FIRST_MS)
    first = started(FIRST_MS).name
    before = known.speed('nobody').prefill_ms(10_000)
    for _stream in range(50):
        known.speeds.find(first, 'other').rate.note(10_000, 10)
    assert known.speed(first).prefill_ms(10_000) < before
    put(LATER_MS)
    assert known.speed(started(LATER_MS).name).prefill_ms(10_000) == before


def test_connection_to_an_earlier_incarnation_is_not_reused():
    server = PoolServerStandIn(name='one')
    clock = ManualClock(start_ms=1)
    gate = SendingGate(
        name='g1',
        clock=clock,
        signals=EndpointSignals(name='g1', clock=clock),
        rate_share=share_among_few,
    )
    kept = ConnectionCache(clock=clock, gate=gate)
    first = started(FIRST_MS, address=server.address)
    again = started(LATER_MS, address=server.address)
    connection = kept.acquire(first, timeout_ms=1000, allow_reuse=True)
    kept._idle[first.name] = [connection]
    assert (
        kept.acquire(again, timeout_ms=1000, allow_reuse=True) is not connection
    )
    assert kept.acquire(first, timeout_ms=1000, allow_reuse=True) is connection
    kept._idle[first.name] = [connection]
    kept.retain_only({again.name})
    assert not kept._idle.get(first.name)
    server.stop()


def make_exchange(state: SimpleNamespace, name: str) -> LoadExchange:
    """Create an exchange of gateway loads."""
    return LoadExchange(
        name=name,
        zone='a',
        clock=ManualClock(start_ms=1000),
        knowledge=state.knowledge,
    )


def test_gateways_that_learn_of_a_restart_at_different_times_agree():
    early, late = make_state(), make_state()
    put_early = entry_writer(ObjectApplier(state=early))
    put_late = entry_writer(ObjectApplier(state=late))
    put_early(FIRST_MS)
    put_late(FIRST_MS)
    peer = SimpleNamespace(name='early', zone='a')
    source, target = make_exchange(early, 'early'), make_exchange(late, 'late')
    put_early(LATER_MS)
    early.knowledge.load.start(started(LATER_MS).name, EndpointLoad(running=3))
    loads = source.collect_loads(whole=True)
    target.merge_heartbeat(peer, loads, Activity(), whole=True)
    # The late gateway knows only the earlier start, without that work.
    assert late.knowledge.load.total(started(FIRST_MS).name).running == 0
    late.knowledge.load.start(started(FIRST_MS).name, EndpointLoad(running=9))
    back = make_exchange(late, 'late').collect_loads(whole=True)
    source.merge_heartbeat(
        SimpleNamespace(name='late', zone='a'), back, Activity(), whole=True
    )
    assert early.knowledge.load.total(started(LATER_MS).name).running == 3
    put_late(LATER_MS)
    assert late.knowledge.load.total(started(LATER_MS).name).running == 3


def put_entry(site: GatewaySite, pool: str, name: str, born_ms: int) -> None:
    """Write an entry with a start time to the store."""
    site.store.put('servers', name, site.make_entry(name, pool, born=born_ms))


def restart(site: GatewaySite, name: str) -> PoolServerStandIn:
    """Restart an endpoint at its address, under its id."""
    before = site.servers[name]
    before.stop()
    port = int(before.address.rpartition(':')[2])
    site.servers[name] = PoolServerStandIn(name=name, port=port)
    return site.servers[name]


def test_restarted_engine_has_an_empty_cache(gateway_site: GatewaySite):
    engine = gateway_site.add_server('one', 'engines')
    put_entry(gateway_site, 'engines', 'one', FIRST_MS)
    gateway = gateway_site.add_gateway()
    prompt = {'X_Token_Count': '500,9', 'X_Prompt_Prefix': 'p1:400,own:100'}
    assert gateway_site.ask('/stream/x', method='POST', **prompt).whole
    assert engine.runs[0].headers['x-expect-instance'] == 'one'
    first, again = f'one@{FIRST_MS}', f'one@{LATER_MS}'
    assert caches_part(gateway, first, 'p1')
    engine = restart(gateway_site, 'one')
    put_entry(gateway_site, 'engines', 'one', LATER_MS)
    wait_until(lambda: known_endpoints(gateway).find(again))
    assert not caches_part(gateway, again, 'p1')
    assert gateway_site.ask('/stream/x', method='POST', **prompt).whole
    assert engine.runs[0].headers['x-expect-instance'] == 'one'
    assert caches_part(gateway, again, 'p1')


@pytest.fixture
def backup_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of two engines with backups and start times."""
    gateway_site.config['services'][1]['engine']['backups'] = True
    gateway_site.write_config()
    for name in ('one', 'two'):
        engine = gateway_site.add_server(name, 'engines')
        engine.events = 6
        engine.event_ms = 300
        put_entry(gateway_site, 'engines', name, FIRST_MS)
    gateway_site.add_gateway()
    return gateway_site


def begin_stream(site: GatewaySite) -> tuple[CallerStandIn, str, str]:
    """Begin a stream that may not be resumed, and that its engine will cut.

    :returns: the caller, the engine that runs it, the engine with its backup.
    """
    for engine in site.servers.values():
        engine.faults = ['cut']
    caller = site.caller()
    caller.send(
        '/oneway/x',
        method='POST',
        X_Token_Count='300,200',
        X_Prompt_Prefix='aa:200,bb:100',
    )
    wait_until(lambda: any(each.runs for each in site.servers.values()))
    first, other = site.servers
    if site.servers[other].runs:
        first, other = other, first
    site.servers[other].faults = []
    return caller, first, other


def test_stream_does_not_resume_at_a_backup_lost_in_a_restart(
    backup_site: GatewaySite,
):
    caller, first, other = begin_stream(backup_site)
    backup_site.servers[first].stop()
    engine = restart(backup_site, other)
    put_entry(backup_site, 'engines', other, LATER_MS)
    table = known_endpoints(backup_site.gateways[0])
    wait_until(lambda: table.find(f'{other}@{LATER_MS}'))
    assert not caller.receive().whole
    assert not engine.runs


def test_stream_resumes_at_its_backup_if_its_engine_restarted(
    backup_site: GatewaySite,
):
    caller, first, other = begin_stream(backup_site)
    # The engine listens again, so only its later start time shows that the run
    # has ended.
    restart(backup_site, first)
    put_entry(backup_site, 'engines', first, LATER_MS)
    table = known_endpoints(backup_site.gateways[0])
    wait_until(lambda: table.find(f'{first}@{LATER_MS}'))
    answer = caller.receive()
    assert answer.whole
    (run,) = backup_site.servers[other].runs
    assert 'kv-from' in run.headers


def test_request_possibly_run_before_a_restart_is_not_reported_as_not_run(
    gateway_site: GatewaySite,
):
    server = gateway_site.add_server('one')
    server.delay_ms = 500
    server.faults = ['reset']
    put_entry(gateway_site, 'plain', 'one', FIRST_MS)
    gateway = gateway_site.add_gateway()
    caller = gateway_site.caller()
    caller.send('/unsafe/x', method='POST', body=b'1')
    wait_until(lambda: gateway_site.servers['one'].runs)
    again = restart(gateway_site, 'one')
    put_entry(gateway_site, 'plain', 'one', LATER_MS)
    answer = caller.receive()
    assert answer.status in {502, 504}
    assert known_endpoints(gateway).names
    assert not again.runs


@contextlib.contextmanager
def gateway_process(site: GatewaySite, folder: Any) -> Iterator[int]:
    """Run a gateway as a process; yield its port for callers."""
    with gateway_ports(site, folder) as (port, _admin_port):
        yield port


@contextlib.contextmanager
def gateway_ports(
    site: GatewaySite,
    folder: Any,
) -> Iterator[tuple[int, int]]:
    """Run a gateway as a process; yield its ports for callers and status."""
    port, admin_port = free_port(), free_port()
    settings = {
        **site.settings(),
        'callers': f'{HOST}:{port}',
        'readiness': f'{HOST}:{free_port()}',
        'admin': {'host': HOST, 'port': admin_port},
        'peers': {'listen': f'{HOST}:{free_port()}'},
    }
    path = folder / 'settings.yaml'
    path.write_text(yaml.safe_dump(settings), 'utf-8')
    command = (sys.executable, '-m', 'wingfall.gateway', '--settings', path)
    with subprocess.Popen(command, stdout=subprocess.DEVNULL) as child:
        try:
            yield port, admin_port
        finally:
            child.kill()


def status_of(port: int) -> int:
    """Return the status of one request; 0 while the gateway is down."""
    try:
        caller = CallerStandIn(port=port)
    except OSError:
        return 0
    caller.send('/safe/x')
    answer = caller.receive()
    caller.close()
    return answer.status


@pytest.mark.processes
def test_gateway_process_uses_a_restarted_endpoint(
    gateway_site: GatewaySite,
    tmp_path: Any,
):
    gateway_site.add_server('one')
    put_entry(gateway_site, 'plain', 'one', FIRST_MS)
    gateway_site.store.put('servers', 'odd', {'service': 'plain'})
    with gateway_process(gateway_site, tmp_path) as port:
        wait_until(lambda: status_of(port) == 200)
        again = restart(gateway_site, 'one')
        put_entry(gateway_site, 'plain', 'one', LATER_MS)
        wait_until(lambda: status_of(port) == 200 and again.runs)
