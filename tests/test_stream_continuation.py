"""Continuation of streams at the engine that has a backup of their run."""

from __future__ import annotations

import pytest

from standins.pool_server import PoolServerStandIn
from tests.gateway_site import GatewaySite, known_endpoints
from tests.local_site import wait_until
from tests.test_gateway_streams import parse_event_ids
from wingfall.gateway.rules.placement.stream_backup import (
    RunLength,
    back_up_long_answers,
    back_up_nothing,
)

LONG_ANSWER = {'X_Token_Count': '300,200', 'X_Prompt_Prefix': 'aa:200,bb:100'}


@pytest.fixture
def backup_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of two engines that back up each other's runs."""
    gateway_site.config['services'][1]['engine']['backups'] = True
    gateway_site.write_config()
    for name in ('one', 'two'):
        gateway_site.add_server(name, 'engines').events = 6
    gateway_site.add_gateway()
    return gateway_site


def ask(site: GatewaySite, target: str = '/oneway/x', **changes: str):
    """Request a stream, by default one that may not be resumed."""
    headers = {**LONG_ANSWER, 'X_Attempt_Id': 'r1', **changes}
    return site.ask(target, method='POST', **headers)


def inject_faults(site: GatewaySite, *faults: str) -> None:
    """Inject the faults into consecutive runs, shared by all engines."""
    shared = list(faults)
    for server in site.servers.values():
        server.faults = shared


def sort_engines(
    site: GatewaySite,
) -> tuple[PoolServerStandIn, PoolServerStandIn]:
    """Return the engine of the first run, then the other engine."""
    first, other = site.servers.values()
    if not first.runs or (other.runs and not other.runs[0].whole):
        first, other = other, first
    return first, other


def test_second_engine_is_assigned_as_backup(backup_site: GatewaySite):
    assert ask(backup_site).whole
    first, other = sort_engines(backup_site)
    (run,) = first.runs
    assert run.headers['x-kv-backup'] == other.address
    assert not other.runs


@pytest.mark.parametrize(
    ('target', 'changes'),
    [
        ('/stream/x', {}),
        (
            '/oneway/x',
            {'X_Prompt_Prefix': 'aa:9000', 'X_Token_Count': '9000,9'},
        ),
    ],
)
def test_resumable_or_short_streams_have_no_backup(
    backup_site: GatewaySite,
    target: str,
    changes: dict[str, str],
):
    assert ask(backup_site, target, **changes).whole
    (run,) = sort_engines(backup_site)[0].runs
    assert 'x-kv-backup' not in run.headers


def test_engines_without_backups_get_no_backup_header(
    gateway_site: GatewaySite,
):
    for name in ('one', 'two'):
        gateway_site.add_server(name, 'engines')
    gateway_site.add_gateway()
    assert ask(gateway_site).whole
    (run,) = sort_engines(gateway_site)[0].runs
    assert 'x-kv-backup' not in run.headers


def test_run_continues_at_its_backup_after_a_crash(backup_site: GatewaySite):
    inject_faults(backup_site, 'crash')
    answer = ask(backup_site)
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3, 4, 5, 6]
    first, other = sort_engines(backup_site)
    (run,) = other.runs
    assert run.headers['kv-from'] == f'{other.address}/r1'
    assert run.headers['last-event-id'] == '2'
    assert answer.headers['x-response-seal'] == f'seal.{first.name}'


def test_run_is_not_continued_while_its_engine_is_up(backup_site: GatewaySite):
    inject_faults(backup_site, 'cut')
    answer = ask(backup_site)
    assert not answer.whole
    first, other = sort_engines(backup_site)
    assert len(first.runs) == 1
    assert not other.runs


def test_stream_is_cut_if_the_backup_rejects_the_run(backup_site: GatewaySite):
    inject_faults(backup_site, 'crash', 'shed')
    answer = ask(backup_site)
    assert not answer.whole
    assert parse_event_ids(answer.body) == [1, 2]
    assert sort_engines(backup_site)[1].turned_away == 1


def test_run_is_not_restarted_if_its_backup_is_unreachable(
    backup_site: GatewaySite,
):
    backup_site.add_server('three', 'engines').events = 6
    gateway = backup_site.gateways[0]
    wait_until(lambda: 'three' in gateway.status()['endpoints'])
    inject_faults(backup_site, 'crash')
    for server in backup_site.servers.values():
        server.event_ms = 150
    caller = backup_site.caller()
    caller.send('/oneway/x', method='POST', **LONG_ANSWER)
    wait_until(lambda: any(each.runs for each in backup_site.servers.values()))
    (first,) = [each for each in backup_site.servers.values() if each.runs]
    backup = first.runs[0].headers['x-kv-backup']
    for server in backup_site.servers.values():
        if server.address == backup:
            server.stop()
    answer = caller.receive()
    assert not answer.whole
    assert sum(len(each.runs) for each in backup_site.servers.values()) == 1


def test_stream_is_cut_if_the_backup_fails_too(
    backup_site: GatewaySite,
):
    inject_faults(backup_site, 'crash', 'cut')
    answer = ask(backup_site)
    assert not answer.whole
    assert len(sort_engines(backup_site)[1].runs) == 1


def test_run_is_not_continued_at_a_delisted_backup(backup_site: GatewaySite):
    inject_faults(backup_site, 'crash')
    for server in backup_site.servers.values():
        server.event_ms = 300
    caller = backup_site.caller()
    caller.send('/oneway/x', method='POST', **LONG_ANSWER)
    wait_until(lambda: any(each.runs for each in backup_site.servers.values()))
    _first, other = sort_engines(backup_site)
    backup_site.store.delete('servers', other.name)
    gateway = backup_site.gateways[0]
    wait_until(lambda: other.name not in gateway.status()['endpoints'])
    assert not caller.receive().whole
    assert not other.runs


def test_only_long_answers_that_cannot_be_resumed_are_backed_up():
    long_answer = RunLength(prompt_tokens=600, output_tokens=300)
    short_answer = RunLength(prompt_tokens=600, output_tokens=299)
    assert back_up_long_answers(long_answer, resumable=False)
    assert not back_up_long_answers(long_answer, resumable=True)
    assert not back_up_long_answers(short_answer, resumable=False)
    assert not back_up_nothing(long_answer, resumable=False)


def test_backup_is_not_held_by_another_version(backup_site: GatewaySite):
    entry = backup_site.make_entry('two', 'engines', version='v2')
    backup_site.store.put('servers', 'two', entry)
    table = known_endpoints(backup_site.gateways[0])
    wait_until(lambda: {each.version for each in table.listed} == {'v1', 'v2'})
    assert ask(backup_site).whole
    (run,) = sort_engines(backup_site)[0].runs
    assert 'x-kv-backup' not in run.headers


def test_run_is_not_continued_at_a_backup_of_another_version(
    backup_site: GatewaySite,
):
    for server in backup_site.servers.values():
        server.event_ms = 200
        server.faults = ['crash']
    caller = backup_site.caller()
    caller.send('/oneway/x', method='POST', X_Attempt_Id='r1', **LONG_ANSWER)
    servers = backup_site.servers
    wait_until(lambda: any(each.runs for each in servers.values()))
    (other,) = [name for name, each in servers.items() if not each.runs]
    entry = backup_site.make_entry(other, 'engines', version='v2')
    backup_site.store.put('servers', other, entry)
    assert not caller.receive().whole
    assert not servers[other].runs
