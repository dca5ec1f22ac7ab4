"""What a gateway learns of engines that ran before it started."""

from __future__ import annotations

import gevent
import pytest
from returns.result import Success

from tests.gateway_site import GatewaySite, caches_part
from tests.local_site import wait_until
from wingfall.gateway.application import GatewayApplication
from wingfall.gateway.knowledge.prefix_caches import RECENT_PARTS, PrefixCaches
from wingfall.gateway.model.prompt import PromptPart
from wingfall.platform.documents import read_memory


@pytest.fixture
def keeping(gateway_site: GatewaySite) -> GatewaySite:
    """Give a site with an engine that keeps a part of prompts."""
    engine = gateway_site.add_server('e1', 'engines')
    engine.held = [('p1', 500)]
    return gateway_site


def knows(gateway: GatewayApplication) -> bool:
    """Tell whether a gateway knows of the part."""
    return caches_part(gateway, 'e1', 'p1')


def test_gateway_that_starts_learns_what_engines_keep(keeping: GatewaySite):
    gateway = keeping.add_gateway()
    wait_until(lambda: knows(gateway))


def test_gateway_that_starts_asks_a_peer_what_engines_keep(
    keeping: GatewaySite,
):
    first = keeping.add_gateway()
    wait_until(lambda: knows(first))
    keeping.servers['e1'].held = []
    # By then it is no news any more: the second has to ask.
    gevent.sleep(1.5)
    second = keeping.add_gateway()
    wait_until(lambda: knows(second))


def test_what_an_engine_has_told_is_news_to_peers():
    caches = PrefixCaches()
    parts = tuple(
        PromptPart(part_id=f'p{number}', tokens=1)
        for number in range(RECENT_PARTS + 10)
    )
    caches.learn('e1', parts)
    (told,) = caches.take_unsent()
    assert told.endpoint == 'e1'
    assert told.parts == parts[-RECENT_PARTS:]
    assert caches.find('e1').cached_tokens(parts) == len(parts)


def test_plain_endpoints_are_not_asked(gateway_site: GatewaySite):
    plain = gateway_site.add_server('s1', 'plain')
    engine = gateway_site.add_server('e1', 'engines')
    gateway_site.add_gateway()
    wait_until(lambda: engine.connections)
    assert not plain.connections


@pytest.mark.parametrize('fault', ['foreign', 'garbage', 'reset', 'hang'])
def test_engine_that_answers_wrongly_changes_nothing(
    keeping: GatewaySite,
    fault: str,
):
    engine = keeping.servers['e1']
    engine.held_fault = fault
    gateway = keeping.add_gateway()
    wait_until(lambda: engine.connections)
    answer = keeping.ask('/stream/x', X_Token_Count='5,5', X_Prompt_Prefix='')
    assert answer.status == 200
    assert not knows(gateway)


@pytest.mark.parametrize(
    'body',
    [b'', b'[]', b'{}', b'{"held":[["","p"]]}', b'{"held":[["","p","x",""]]}'],
)
def test_list_that_cannot_be_read_is_a_failure(body: bytes):
    assert not isinstance(read_memory(body), Success)
