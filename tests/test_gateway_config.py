"""Configuration and endpoints of a gateway, from the store and from peers."""

from __future__ import annotations

import pathlib

import gevent
import orjson
import pytest
import urllib3

from tests.gateway_site import (
    HOST,
    GatewaySite,
    holds_watch,
    known_endpoints,
    route,
)
from tests.local_site import wait_until
from wingfall.cmd.gateway import run_gateway
from wingfall.wire.connection import Connection

# Number of connected gateways that watch the store.
WATCHER_COUNT = 3


def set_store_script(site: GatewaySite, **fields: int) -> None:
    """Set the behaviour of the store."""
    site.store.script = dict(fields)


def count_watchers(site: GatewaySite) -> int:
    """Return the number of gateways that watch the store."""
    return sum(holds_watch(each) for each in site.gateways)


def test_change_is_in_force(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway_site.add_gateway()
    assert gateway_site.ask('/fresh/x').status == 404
    gateway_site.config['routes'].append(route('fresh', 'plain', kind='safe'))
    gateway_site.write_config()
    wait_until(lambda: gateway_site.ask('/fresh/x').status == 200)


def test_older_version_is_never_applied(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway = gateway_site.add_gateway()
    version = gateway.status()['config']
    older = {**gateway_site.config, 'version': version - 1, 'routes': []}
    gateway_site.store.put('config', 'main', older)
    gateway_site.add_server('two')
    wait_until(lambda: len(gateway.status()['endpoints']) == 2)
    gevent.sleep(0.1)
    assert gateway.status()['config'] == version
    assert gateway_site.ask('/safe/x').status == 200


def test_configuration_that_cannot_be_read_changes_nothing(
    gateway_site: GatewaySite,
):
    gateway_site.add_server('one')
    gateway = gateway_site.add_gateway()
    gateway_site.store.put('config', 'main', {'version': 'x', 'routes': 7})
    gateway_site.store.put('servers', 'odd', {'address': None})
    gateway_site.add_server('two')
    wait_until(lambda: len(gateway.status()['endpoints']) == 2)
    assert gateway_site.ask('/safe/x').status == 200


def test_not_ready_before_a_configuration(gateway_site: GatewaySite):
    set_store_script(gateway_site, status=503)
    gateway = gateway_site.start_gateway()
    assert gateway.not_ready() == 'no configuration'
    assert gateway_site.ask('/safe/x').status == 503
    gateway_site.add_server('one')
    set_store_script(gateway_site)
    wait_until(lambda: not gateway.not_ready())
    assert gateway_site.ask('/safe/x').status == 200


def test_readiness_check_answers_when_ready(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway = gateway_site.add_gateway()
    url = f'http://{HOST}:{gateway.ready_port}/wingfall/ready'
    assert urllib3.request('GET', url).status == 200


def test_dropped_history_leads_to_a_new_list(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway = gateway_site.add_gateway()
    set_store_script(gateway_site, status=429)
    # Waiting watches have ended once the store refuses other calls.
    calls = gateway_site.store.calls
    wait_until(lambda: gateway_site.store.calls > calls + 4)
    gateway_site.store.objects['servers'].pop('one')
    gateway_site.add_server('two')
    gateway_site.store.oldest = gateway_site.store.revision + 1
    gateway_site.store.revision += 5
    gevent.sleep(0.1)
    set_store_script(gateway_site)
    wait_until(lambda: gateway.status()['endpoints'] == ['two'])


def test_long_lists_come_in_pages(gateway_site: GatewaySite):
    set_store_script(gateway_site, page=2)
    for number in range(5):
        gateway_site.add_server(f'server-{number}')
    gateway = gateway_site.add_gateway()
    wait_until(lambda: len(gateway.status()['endpoints']) == 5)


def test_gateway_starts_from_a_peer_while_the_store_is_down(
    gateway_site: GatewaySite,
):
    gateway_site.add_server('one')
    gateway_site.add_gateway()
    set_store_script(gateway_site, status=503)
    second = gateway_site.add_gateway()
    assert second.status()['config'] == gateway_site.config['version']
    caller = gateway_site.caller(1)
    caller.send('/safe/x')
    assert caller.receive().status == 200


def test_peers_send_objects_while_the_store_is_unreachable(
    gateway_site: GatewaySite,
):
    gateway_site.add_server('one')
    first = gateway_site.add_gateway()
    # The second gateway has a store address that refuses connections.
    second = gateway_site.add_gateway(
        store={'address': f'{HOST}:1', 'watch_ms': 500},
    )
    gateway_site.config['tenants'] = [{'name': 'other', 'api_keys': ['k']}]
    gateway_site.write_config()
    gateway_site.put_server('one', 'plain', state='draining')
    gateway_site.add_server('two')
    version = gateway_site.config['version']
    wait_until(lambda: first.status()['config'] == version)
    wait_until(lambda: second.status()['config'] == version)
    wait_until(
        lambda: (
            [each.name for each in known_endpoints(second).usable('plain')]
            == ['two']
        ),
    )
    caller = gateway_site.caller(1)
    caller.send('/safe/x')
    assert caller.receive().status == 401


def test_watching_gateways_send_changes_to_all(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    for _gateway in range(7):
        gateway_site.add_gateway()
    wait_until(
        lambda: all(
            len(each.status()['peers']) == 6 for each in gateway_site.gateways
        ),
    )
    wait_until(lambda: count_watchers(gateway_site) == WATCHER_COUNT)
    gateway_site.write_config()
    version = gateway_site.config['version']
    wait_until(
        lambda: all(
            each.status()['config'] == version for each in gateway_site.gateways
        ),
    )


def test_watcher_that_stops_is_replaced(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    for _gateway in range(6):
        gateway_site.add_gateway()
    wait_until(lambda: count_watchers(gateway_site) == WATCHER_COUNT)
    stopped = next(each for each in gateway_site.gateways if holds_watch(each))
    gateway_site.gateways.remove(stopped)
    stopped.close()
    wait_until(lambda: count_watchers(gateway_site) == WATCHER_COUNT)


def test_removed_endpoint_still_serves_for_a_moment(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway = gateway_site.add_gateway()
    gateway_site.store.delete('servers', 'one')
    wait_until(lambda: not gateway.status()['endpoints'])
    assert gateway_site.ask('/safe/x').status == 200


def test_status_is_json(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway = gateway_site.add_gateway()
    url = f'http://{HOST}:{gateway.admin_port}/status'
    shown = orjson.loads(urllib3.request('GET', url).data)
    assert shown['endpoints'] == ['one']


def test_unknown_policy_error_lists_the_valid_names(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
):
    settings = tmp_path / 'settings.yaml'
    settings.write_text(
        'name: a\nzone: z\ncallers: "127.0.0.1:0"\n'
        'readiness: "127.0.0.1:0"\nadmin: {host: 127.0.0.1}\n'
        'peers: {listen: "127.0.0.1:0"}\nstore: {address: "127.0.0.1:1"}\n'
        'policy: {placement: nearest}\n',
        'utf-8',
    )
    assert run_gateway(str(settings), None) == 2
    stderr = capsys.readouterr().err
    assert 'policy' in stderr
    assert 'least_read' in stderr


def test_reload_applies_changed_seeds(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    first = gateway_site.add_gateway(peers={'listen': f'{HOST}:0'})
    second = gateway_site.add_gateway(peers={'listen': f'{HOST}:0'})
    assert not first.status()['peers']
    changed = gateway_site.parse(
        gateway_site.settings(
            peers={
                'listen': f'{HOST}:0',
                'seeds': [
                    second.peer_address,
                ],
            }
        ),
    )
    first.reload(changed)
    wait_until(lambda: first.status()['peers'])


def test_invalid_address_is_an_error(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
):
    settings = tmp_path / 'settings.yaml'
    settings.write_text('callers: nowhere\n', 'utf-8')
    assert run_gateway(str(settings), None) == 2
    assert 'settings.yaml:1: callers: ' in capsys.readouterr().err


def test_all_errors_of_the_settings_have_line_numbers(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
):
    settings = tmp_path / 'settings.yaml'
    settings.write_text('name: a\nzones: z\nstore: {watch_ms: x}\n', 'utf-8')
    assert run_gateway(str(settings), None) == 2
    stderr = capsys.readouterr().err
    assert 'settings.yaml:2: zones: unknown field' in stderr
    assert 'settings.yaml:3: store.watch_ms:' in stderr


def test_metrics_count_attempts_and_refusals(gateway_site: GatewaySite):
    gateway_site.add_server('one')
    gateway = gateway_site.add_gateway()
    gateway_site.ask('/safe/x')
    gateway_site.ask('/none/x')
    url = f'http://{HOST}:{gateway.admin_port}/metrics'
    text = urllib3.request('GET', url).data.decode()
    assert 'part="dispatch",reason="answered"} 1' in text
    assert 'part="refusal",reason="no_route"} 1' in text
    assert 'wingfall_answer_ms_count{class="safe"} 1' in text


def test_hello_names_a_bounded_number_of_gateways(gateway_site: GatewaySite):
    seeds = [f'{HOST}:{port}' for port in range(1, 61)]
    gateway = gateway_site.start_gateway(
        peers={'listen': f'{HOST}:0', 'seeds': seeds},
    )
    host, _colon, port = gateway.peer_address.rpartition(':')
    with gevent.socket.create_connection((host, int(port))) as sock:
        hello = next(Connection(sock=sock).receive())
    assert len(hello.known) == 24
    assert set(hello.known) <= set(seeds)


def test_all_gateways_find_each_other_by_bounded_hellos(
    gateway_site: GatewaySite,
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr('wingfall.gateway.peers.peer_addresses._MOST_NAMED', 2)
    for _gateway in range(8):
        gateway_site.start_gateway()
    wait_until(
        lambda: all(
            len(each.status()['peers']) == 7 for each in gateway_site.gateways
        ),
    )
