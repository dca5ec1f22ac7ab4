"""Lost connections between router and agent, and planned stops."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import gevent
import orjson
import pytest

from tests.local_site import wait_until

if TYPE_CHECKING:
    from tests.local_site import LocalSite
    from tests.relay import Relay

_DONE = b'data: [DONE]\n\n'


@pytest.fixture
def relayed(site: LocalSite, relay: Relay) -> LocalSite:
    """Give a site whose router reaches its engine through a relay."""
    site.add_class('plain')
    site.add_engine('engine', port=relay.port, token_ms=5)
    relay.aim(site.agents['engine'].port)
    site.add_router()
    return site


def _start_stream(site, tokens=60, **headers):
    return gevent.spawn(
        lambda: (
            site.ask(
                site.routers[0],
                stream=True,
                max_tokens=tokens,
                headers=headers,
            ).data
        ),
    )


def _wait_tokens(site, count):
    wait_until(lambda: site.runs() and site.runs()[0].made >= count)


def test_stream_resumes_after_its_connection_is_cut(relayed, relay):
    asked = _start_stream(relayed)
    for count in (10, 20, 30):
        _wait_tokens(relayed, count)
        relay.reset()
    body = asked.get()
    (run,) = relayed.runs()
    assert body.endswith(_DONE)
    assert run.digest.hexdigest() == hashlib.sha256(body).hexdigest()


def test_unrepeatable_call_survives_a_cut_before_its_head(relayed, relay):
    relayed.engines['engine'].script = {'pace': 300}
    asked = _start_stream(relayed, 1, **{'Wingfall-Repeatable': 'no'})
    wait_until(relayed.runs)
    relay.reset()
    assert asked.get().endswith(_DONE)
    assert len(relayed.runs()) == 1


def test_run_that_was_lost_on_its_way_is_proved_not_run(site, relay):
    site.add_class('plain', repeatable=False)
    site.add_engine('engine', port=relay.port)
    relay.aim(site.agents['engine'].port)
    router = site.add_router()
    relay.drop_next()
    response = site.ask(router, max_tokens=3)
    assert response.status == 503
    assert response.headers['Wingfall-Run'] == 'not_run'
    assert not site.runs()


def test_link_that_stays_away_ends_by_an_error(site, relay):
    site.add_class('plain')
    limits = {'orphan_ms': 200}
    site.add_engine(
        'engine',
        port=relay.port,
        token_ms=5,
        agent={'limits': limits},
    )
    relay.aim(site.agents['engine'].port)
    site.add_router(limits={'resume_ms': 100})
    asked = _start_stream(site, 10_000)
    _wait_tokens(site, 10)
    relay.cut()
    body = asked.get()
    assert b'event: error\n' in body
    assert _DONE not in body
    wait_until(lambda: not site.agents['engine'].gate.in_use)
    assert site.runs()[0].made < 10_000


def test_lost_run_of_a_repeatable_request_moves_on(site, relay):
    site.add_class('plain')
    site.add_engine('lost', port=relay.port, prefill_ms=2000)
    relay.aim(site.agents['lost'].port)
    router = site.add_router(limits={'resume_ms': 50})
    asked = gevent.spawn(lambda: site.ask(router, max_tokens=3).data)
    wait_until(site.runs)
    site.add_engine('other')
    site.wait_links(router)
    relay.cut()
    message = orjson.loads(asked.get())['choices'][0]['message']
    assert len(message['content'].split()) == 3
    assert len(site.runs()) == 2


def test_lost_run_of_an_unrepeatable_request_is_unknown(site, relay):
    site.add_class('plain', repeatable=False)
    site.add_engine('lost', port=relay.port, prefill_ms=2000)
    relay.aim(site.agents['lost'].port)
    router = site.add_router(limits={'resume_ms': 50})
    asked = gevent.spawn(lambda: site.ask(router, max_tokens=3))
    wait_until(site.runs)
    site.add_engine('other')
    site.wait_links(router)
    relay.cut()
    response = asked.get()
    assert response.status == 502
    assert response.headers['Wingfall-Run'] == 'unknown'
    assert len(site.runs()) == 1


def test_agent_that_leaves_ends_its_calls_and_takes_no_more(site):
    site.add_class('plain')
    site.add_engine('leaving', token_ms=5)
    router = site.add_router()
    asked = _start_stream(site, 100)
    _wait_tokens(site, 10)
    agent = site.agents['leaving']
    leaving = gevent.spawn(agent.drain)
    wait_until(lambda: not router.directory.links['leaving'].usable)
    refused = site.ask(router)
    assert refused.status == 503
    assert refused.headers['Retry-After']
    assert orjson.loads(refused.data)['error']['code'] == 'no_endpoint_up'
    assert asked.get().endswith(_DONE)
    leaving.get(timeout=10)
    assert len(site.runs()) == 1


def _leave(agent):
    agent.drain()
    agent.close()


def test_agent_that_leaves_waits_for_a_router_that_lost_its_link(site, relay):
    # The run is lost on its way, and the router is away for a while: only the
    # agent can prove then that it never began.
    site.add_class('plain', repeatable=False)
    site.add_engine('engine', port=relay.port)
    agent = site.agents['engine']
    relay.aim(agent.port)
    router = site.add_router()
    relay.refuse_new()
    relay.drop_next()
    asked = gevent.spawn(lambda: site.ask(router, max_tokens=3))
    wait_until(lambda: not agent.status()['routers'])
    gevent.spawn(_leave, agent)
    gevent.sleep(0.3)
    relay.heal()
    response = asked.get()
    assert response.status == 503
    assert response.headers['Wingfall-Run'] == 'not_run'
    assert not site.runs()


def test_agent_that_leaves_waits_for_a_lost_router_as_long_as_for_its_calls(
    site, relay
):
    site.add_class('plain')
    site.add_engine(
        'engine', port=relay.port, agent={'limits': {'orphan_ms': 600}}
    )
    agent = site.agents['engine']
    relay.aim(agent.port)
    site.add_router()
    relay.cut()
    wait_until(lambda: not agent.status()['routers'])
    leaving = gevent.spawn(agent.drain)
    gevent.sleep(0.3)
    assert not leaving.ready()
    leaving.get(timeout=2)


def test_agent_that_leaves_waits_for_no_router_that_is_there(site):
    site.add_class('plain')
    site.add_engine('engine')
    site.add_router()
    gevent.spawn(site.agents['engine'].drain).get(timeout=1)


def test_waiting_offer_moves_on_when_its_agent_leaves(site):
    site.add_class('plain')
    site.add_engine(
        'leaving',
        token_ms=10,
        agent={'endpoint': {'slots': 1}},
    )
    router = site.add_router()
    running = _start_stream(site, 100)
    _wait_tokens(site, 1)
    moved = _start_stream(site, 3)
    wait_until(lambda: site.agents['leaving'].gate.waiting)
    site.add_engine('other')
    site.wait_links(router)
    gevent.spawn(site.agents['leaving'].drain)
    assert moved.get().endswith(_DONE)
    assert site.engines['other'].streams
    assert running.get().endswith(_DONE)


def test_router_that_leaves_ends_its_requests(site):
    site.add_class('plain')
    site.add_engine('engine', token_ms=5)
    router = site.add_router()
    asked = _start_stream(site, 100)
    _wait_tokens(site, 10)
    leaving = gevent.spawn(router.drain)
    wait_until(lambda: router.status()['draining'])
    refused = site.ask(router)
    assert refused.status == 503
    assert refused.headers['Wingfall-Run'] == 'not_run'
    assert asked.get().endswith(_DONE)
    leaving.get(timeout=10)


def test_queue_over_two_routers_keeps_tiers(site):
    site.add_class('low', tier=2, requests='use=low')
    site.add_class('top', tier=0, requests='use=top')
    slots = {'endpoint': {'slots': 1, 'headroom': 0}}
    site.add_engine('engine', capacity=1, token_ms=5, agent=slots)
    first, second = site.add_router(), site.add_router()
    agent = site.agents['engine']

    def ask(router, use, tokens):
        headers = {'Wingfall-Labels': f'use={use}'}
        return gevent.spawn(
            lambda: (
                site.ask(
                    router,
                    headers=headers,
                    max_tokens=tokens,
                ).data
            ),
        )

    asks = [ask(first, 'low', 20)]
    wait_until(lambda: agent.gate.in_use == 1)
    asks.append(ask(first, 'low', 2))
    wait_until(lambda: agent.gate.waiting == 1)
    asks.append(ask(second, 'top', 3))
    wait_until(lambda: agent.gate.waiting == 2)
    gevent.joinall(asks, raise_error=True)
    assert [run.tokens for run in site.runs()] == [20, 3, 2]
