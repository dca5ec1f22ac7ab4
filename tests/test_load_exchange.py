"""Exchange of loads between gateways of several zones."""

from __future__ import annotations

import pytest

from tests.exchange_site import Gateway, Site
from wingfall.gateway.knowledge.load import EndpointLoad
from wingfall.gateway.knowledge.prefix_caches import SentPrompt
from wingfall.gateway.model.prompt import PromptPart

PARTS = (PromptPart(part_id='p1', tokens=500),)


@pytest.fixture
def site() -> Site:
    """Return three zones of four gateways after one full exchange."""
    site = Site({'a': 4, 'b': 4, 'c': 4})
    site.tick(whole=True)
    return site


def start_request(gateway: Gateway, endpoint: str = 'e1') -> object:
    """Record a request that a gateway sends to an endpoint."""
    load = EndpointLoad(running=1, prefill_tokens=100)
    return gateway.load.start(endpoint, load)


def known_counts(site: Site, endpoint: str = 'e1') -> set[int]:
    """Return the counts of running requests known to the gateways."""
    return {each.running(endpoint) for each in site.gateways if each.alive}


def test_all_gateways_know_all_work(site: Site):
    entries = [start_request(gateway) for gateway in site.gateways]
    site.tick()
    site.tick()
    assert known_counts(site) == {12}
    for entry in entries[:5]:
        entry.end()
    site.tick()
    site.tick()
    assert known_counts(site) == {7}
    for entry in entries:
        entry.end()
    site.tick()
    site.tick()
    assert known_counts(site) == {0}


def test_few_messages_cross_zones(site: Site):
    site.messages.clear()
    for gateway in site.gateways:
        start_request(gateway)
    site.tick()
    # Each of three relays reported to two others.
    assert site.messages[True] == 6


def test_unchanged_loads_are_not_sent(site: Site):
    site.messages.clear()
    site.tick()
    assert not site.messages


def test_load_of_a_dead_relay_is_removed_and_the_rest_is_known(
    site: Site,
):
    for gateway in site.gateways:
        start_request(gateway)
    site.tick()
    site.kill(site.relay('a'))
    for _second in range(3):
        site.tick(whole=True)
    assert known_counts(site) == {11}


def test_relay_that_other_zones_do_not_reach_is_replaced(site: Site):
    for gateway in site.gateways:
        start_request(gateway)
    cut_off = site.relay('a')
    site.cut_off(cut_off)
    for _second in range(3):
        site.tick(whole=True)
    assert site.relay('a') is not cut_off
    assert known_counts(site) == {12}


def test_load_of_a_silent_zone_is_removed(site: Site):
    for gateway in site.gateways:
        start_request(gateway)
    site.tick()
    site.tick()
    for gateway in site.gateways:
        if gateway.zone == 'a':
            site.kill(gateway)
    for _tick in range(40):
        site.tick(whole=True)
    assert known_counts(site) == {8}


def test_prompts_that_were_sent_are_known_in_all_zones(site: Site):
    sender = site.gateways[0]
    sent = SentPrompt(endpoint='e1', parts=PARTS, uncached_tokens=2000)
    sender.caches.note_sent(sent, 0)
    site.tick()
    site.tick()
    for gateway in site.gateways:
        assert gateway.caches.find('e1').cached_tokens(PARTS) == 500
    # Each gateway has recorded the prefill once.
    for gateway in site.gateways[1:]:
        assert gateway.reads == [('e1', 2000)]


def test_failures_are_known_in_all_zones(site: Site):
    for gateway in site.gateways:
        gateway.health.note_failure('e1')
    site.tick()
    site.tick()
    failure_rate = [each.health.failure_rate('e1') for each in site.gateways]
    assert min(round(each * 10) for each in failure_rate) >= 6


def test_change_of_the_relay_is_logged(
    site: Site,
    monkeypatch: pytest.MonkeyPatch,
):
    logged: list[tuple[str, str]] = []
    monkeypatch.setattr(
        'wingfall.gateway.peers.loads.zone_relay.log_event',
        lambda part, sentence, **fields: logged.append(
            (sentence, fields.get('relay') or fields['zone']),
        ),
    )
    site.tick()
    site.kill(site.relay('a'))
    site.tick(whole=True)
    site.tick(whole=True)
    assert logged == [
        ('The relay of this zone has changed.', site.relay('a').name),
    ]


def test_leaving_gateway_is_not_the_relay(site: Site):
    first = site.relay('a')
    for each in site.gateways:
        if first.name in each.sessions:
            each.sessions[first.name].leaving = True
    assert site.relay('a') is not first
