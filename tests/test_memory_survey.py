"""Survey of cached prompt parts at engines that ran before the gateway."""

from __future__ import annotations

import gevent
import pytest
from returns.result import Success

from tests.gateway_site import GatewaySite, caches_part
from tests.local_site import wait_until
from wingfall.gateway.application import GatewayApplication
from wingfall.gateway.knowledge.prefix_caches import (
    MAX_REPORTED_PARTS,
    PrefixCaches,
)
from wingfall.gateway.model.prompt import PromptPart
from wingfall.platform.documents import read_prefix_cache


@pytest.fixture
def caching_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site with an engine that caches a prompt part."""
    engine = gateway_site.add_server('e1', 'engines')
    engine.held = [('p1', 500)]
    return gateway_site


def knows_part(gateway: GatewayApplication) -> bool:
    """Check if a gateway knows the cached part."""
    return caches_part(gateway, 'e1', 'p1')


def test_new_gateway_gets_cached_parts_from_engines(
    caching_site: GatewaySite,
):
    gateway = caching_site.add_gateway()
    wait_until(lambda: knows_part(gateway))


def test_new_gateway_gets_cached_parts_from_a_peer(
    caching_site: GatewaySite,
):
    first = caching_site.add_gateway()
    wait_until(lambda: knows_part(first))
    caching_site.servers['e1'].held = []
    # By then the part is no longer sent as an update: the second has to ask.
    gevent.sleep(1.5)
    second = caching_site.add_gateway()
    wait_until(lambda: knows_part(second))


def test_parts_of_an_engine_are_reported_to_peers():
    caches = PrefixCaches()
    parts = tuple(
        PromptPart(part_id=f'p{number}', tokens=1)
        for number in range(MAX_REPORTED_PARTS + 10)
    )
    caches.note_cached('e1', parts)
    (report,) = caches.take_unreported()
    assert report.endpoint == 'e1'
    assert report.parts == parts[-MAX_REPORTED_PARTS:]
    assert caches.find('e1').cached_tokens(parts) == len(parts)


def test_plain_endpoints_are_not_asked(gateway_site: GatewaySite):
    plain = gateway_site.add_server('s1', 'plain')
    engine = gateway_site.add_server('e1', 'engines')
    gateway_site.add_gateway()
    wait_until(lambda: engine.connections)
    assert not plain.connections


@pytest.mark.parametrize('fault', ['foreign', 'garbage', 'reset', 'hang'])
def test_faulty_engine_answer_changes_nothing(
    caching_site: GatewaySite,
    fault: str,
):
    engine = caching_site.servers['e1']
    engine.held_fault = fault
    gateway = caching_site.add_gateway()
    wait_until(lambda: engine.connections)
    answer = caching_site.ask(
        '/stream/x', X_Token_Count='5,5', X_Prompt_Prefix=''
    )
    assert answer.status == 200
    assert not knows_part(gateway)


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{}', b'{"held":[["","p"]]}', b'{"held":[["","p","x",""]]}'],
)
def test_malformed_list_is_a_failure(body: bytes):
    assert not isinstance(read_prefix_cache(body), Success)
