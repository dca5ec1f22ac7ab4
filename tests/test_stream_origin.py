"""Endpoints at which a stream may continue, by where it began."""

from __future__ import annotations

import gevent
import pytest

from tests.gateway_site import GatewaySite
from tests.local_site import wait_until
from tests.test_gateway_streams import PROMPT, parse_event_ids
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.stream_origin import StreamOrigin


def make_endpoint(
    name: str, version: str | None, pool: str = 'engines'
) -> PoolEndpoint:
    """Make an endpoint of a version."""
    return PoolEndpoint(
        name=name,
        pool=pool,
        host='10.0.0.9',
        port=8000,
        zone='osl-a',
        slots=8,
        draining=False,
        version=version,
    )


def make_origin(version: str | None, *, only: bool = False) -> StreamOrigin:
    """Make the origin of a stream that began at endpoint ``one``."""
    return StreamOrigin(
        pool='engines', version=version, endpoint='one', is_only_version=only
    )


@pytest.mark.parametrize(
    ('origin', 'endpoint', 'allowed'),
    [
        (make_origin('v1'), make_endpoint('two', 'v1'), True),
        (make_origin('v1'), make_endpoint('two', 'v2'), False),
        (make_origin('v1'), make_endpoint('two', 'v1 '), False),
        (make_origin('v1'), make_endpoint('one', 'v2'), False),
        (make_origin('v1'), make_endpoint('two', 'v1', 'other'), False),
        (make_origin('v1'), make_endpoint('two', None), False),
        (make_origin('v1'), make_endpoint('one', None), True),
        (make_origin(None), make_endpoint('two', None), False),
        (make_origin(None), make_endpoint('one', None), True),
        (make_origin(None, only=True), make_endpoint('two', None), True),
        (make_origin(None, only=True), make_endpoint('two', 'v1'), False),
        (make_origin('v1', only=True), make_endpoint('two', None), False),
    ],
)
def test_stream_continues_only_at_its_version(
    origin: StreamOrigin, endpoint: PoolEndpoint, allowed: bool
):
    assert origin.allows(endpoint) is allowed


@pytest.fixture
def mixed_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site with one engine of v1 that cuts, and two of v2."""
    gateway_site.config['routes'][3]['max_attempts'] = 3
    gateway_site.write_config()
    for name, version in (('one', 'v1'), ('two', 'v2'), ('three', 'v2')):
        server = gateway_site.add_server(name, 'engines')
        server.version = version
        server.events = 6
        gateway_site.store.put(
            'servers',
            name,
            gateway_site.make_entry(name, 'engines', version=version),
        )
    gateway_site.add_gateway()
    return gateway_site


@pytest.mark.parametrize('attempt', range(6))
def test_cut_stream_does_not_continue_at_another_version(
    mixed_site: GatewaySite, attempt: int
):
    for server in mixed_site.servers.values():
        server.faults = ['cut']
    answer = mixed_site.ask('/stream/x', method='POST', **PROMPT)
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3, 4, 5, 6]
    assert (b' v1\n' in answer.body) is not (b' v2\n' in answer.body)


def test_cut_stream_waits_for_another_endpoint_of_its_version(
    gateway_site: GatewaySite,
):
    for name, version in (('one', 'v1'), ('two', 'v2')):
        server = gateway_site.add_server(name, 'engines')
        server.version = version
        server.faults = ['crash']
        server.events = 6
        gateway_site.store.put(
            'servers',
            name,
            gateway_site.make_entry(name, 'engines', version=version),
        )
    gateway_site.add_gateway()
    caller = gateway_site.caller()
    caller.send('/stream/x', method='POST', **PROMPT)
    servers = gateway_site.servers
    wait_until(lambda: any(each.runs for each in servers.values()))
    (version,) = [each.version for each in servers.values() if each.runs]
    # The replacement is listed while the stream has no endpoint left.
    gevent.sleep(0.4)
    replacement = gateway_site.add_server('three', 'engines')
    replacement.version = version
    replacement.events = 6
    entry = gateway_site.make_entry('three', 'engines', version=version)
    gateway_site.store.put('servers', 'three', entry)
    answer = caller.receive()
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3, 4, 5, 6]
    assert (b' v1\n' in answer.body) is not (b' v2\n' in answer.body)
