"""What gateways of several zones know of each other's work."""

from __future__ import annotations

import collections
from typing import final

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.customer_work import CustomerWork
from wingfall.gateway.knowledge.endpoint_health import EndpointHealth
from wingfall.gateway.knowledge.endpoint_table import EndpointTable
from wingfall.gateway.knowledge.engine_speeds import EngineSpeeds
from wingfall.gateway.knowledge.full_gaps import FullGaps
from wingfall.gateway.knowledge.load import EndpointLoad, LoadTable
from wingfall.gateway.knowledge.prefix_caches import PrefixCaches, SentPrompt
from wingfall.gateway.model.prompt import PromptPart
from wingfall.gateway.peers.loads.load_exchange import LoadExchange
from wingfall.gateway.peers.loads.relay_choice import find_relay
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.wire.gateway_messages import GatewayHello, ZoneLoads

TICK_MS = 100
PARTS = (PromptPart(part_id='p1', tokens=500),)


@final
class _Gateway:
    """A gateway as far as loads are concerned."""

    def __init__(self, name: str, zone: str, clock: ManualClock) -> None:
        self.name = name
        self.zone = zone
        self.clock = clock
        self.load = LoadTable()
        self.reads: list[tuple[str, int]] = []
        self.caches = PrefixCaches()
        self.endpoints = EndpointTable(clock=clock)
        self.health = EndpointHealth(clock=clock)
        self.speeds = EngineSpeeds()
        self.customer_work = CustomerWork(clock=clock)
        self.full_gaps = FullGaps(clock=clock)
        self.exchange = LoadExchange(
            name=name, zone=zone, clock=clock, knowledge=self
        )
        self.sessions: dict[str, PeerSession] = {}
        self.alive = True

    def ready_ms(self, endpoint: str) -> int:
        return self.clock.now_ms()

    def note_prompt_sent(self, endpoint: str, tokens: int) -> None:
        self.reads.append((endpoint, tokens))

    def running(self, endpoint: str) -> int:
        """Tell what runs at an endpoint, as far as this gateway knows."""
        return self.load.total(endpoint).running


@final
class _Link:
    """Carries messages from one gateway to another."""

    def __init__(self, site: _Site, source: _Gateway, sink: _Gateway) -> None:
        self._site = site
        self._source = source
        self._sink = sink

    def send(self, message: ZoneLoads) -> None:
        sink, source = self._sink, self._source
        if not sink.alive:
            return
        self._site.messages[source.zone != sink.zone] += 1
        session = sink.sessions[source.name]
        sink.exchange.take_zone(session, message, sink.sessions.values())


@final
class _Site:
    """Gateways that all hear each other."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.clock = ManualClock()
        self.messages: collections.Counter[bool] = collections.Counter()
        self.gateways = [
            _Gateway(f'{zone}-{number}', zone, self.clock)
            for zone, count in zones.items()
            for number in range(count)
        ]
        for one in self.gateways:
            for other in self.gateways:
                if one is not other:
                    hello = GatewayHello(
                        name=other.name,
                        address=other.name,
                        known=[],
                        zone=other.zone,
                    )
                    link = _Link(self, one, other)
                    session = PeerSession(hello=hello, connection=link)
                    one.sessions[other.name] = session

    def tick(self, *, whole: bool = False) -> None:
        """Let each gateway that is alive tell the others."""
        self.clock.advance(TICK_MS)
        for one in self.gateways:
            if one.alive:
                self._tell(one, whole=whole)
        for one in self.gateways:
            if one.alive:
                one.exchange.relay(one.sessions.values(), whole=whole)

    def kill(self, gateway: _Gateway) -> None:
        """End a gateway; the others lose their sessions with it."""
        gateway.alive = False
        for each in self.gateways:
            each.sessions.pop(gateway.name, None)
            each.load.forget(gateway.name)

    def cut_off(self, gateway: _Gateway) -> None:
        """Cut a gateway off from all other zones."""
        for each in self.gateways:
            if each.zone != gateway.zone:
                each.sessions.pop(gateway.name, None)
                gateway.sessions.pop(each.name, None)

    def relay(self, zone: str) -> _Gateway:
        """Find the relay of a zone."""
        sessions = {
            name: session
            for each in self.gateways
            for name, session in each.sessions.items()
            if session.zone == zone
        }
        chosen = find_relay(sessions.values(), 0)
        (gateway,) = [
            each for each in self.gateways if each.name == chosen.name
        ]
        return gateway

    def _tell(self, one: _Gateway, *, whole: bool) -> None:
        loads = one.exchange.take_loads(whole=whole)
        activity = one.exchange.take_activity()
        for name in one.sessions:
            (other,) = [each for each in self.gateways if each.name == name]
            session = other.sessions[one.name]
            session.last_seen_ms = self.clock.now_ms()
            session.reach = one.exchange.reach(one.sessions.values())
            if other.zone == one.zone:
                other.exchange.take_heartbeat(
                    session, loads, activity, whole=whole
                )


@pytest.fixture
def site() -> _Site:
    """Give three zones of four gateways, all heard once."""
    site = _Site({'a': 4, 'b': 4, 'c': 4})
    site.tick(whole=True)
    return site


def send(gateway: _Gateway, endpoint: str = 'e1') -> object:
    """Have a gateway send a request."""
    load = EndpointLoad(running=1, reading_tokens=100)
    return gateway.load.start(endpoint, load)


def known(site: _Site, endpoint: str = 'e1') -> set[int]:
    """Collect what the gateways know to run at an endpoint."""
    return {each.running(endpoint) for each in site.gateways if each.alive}


def test_all_gateways_know_all_work(site: _Site):
    entries = [send(gateway) for gateway in site.gateways]
    site.tick()
    site.tick()
    assert known(site) == {12}
    for entry in entries[:5]:
        entry.end()
    site.tick()
    site.tick()
    assert known(site) == {7}
    for entry in entries:
        entry.end()
    site.tick()
    site.tick()
    assert known(site) == {0}


def test_few_messages_cross_zones(site: _Site):
    site.messages.clear()
    for gateway in site.gateways:
        send(gateway)
    site.tick()
    # Each of three relays told two others.
    assert site.messages[True] == 6


def test_nothing_new_is_not_told(site: _Site):
    site.messages.clear()
    site.tick()
    assert not site.messages


def test_work_of_a_relay_that_died_is_forgotten_and_the_rest_is_known(
    site: _Site,
):
    for gateway in site.gateways:
        send(gateway)
    site.tick()
    site.kill(site.relay('a'))
    for _second in range(3):
        site.tick(whole=True)
    assert known(site) == {11}


def test_relay_that_other_zones_do_not_reach_is_replaced(site: _Site):
    for gateway in site.gateways:
        send(gateway)
    cut_off = site.relay('a')
    site.cut_off(cut_off)
    for _second in range(3):
        site.tick(whole=True)
    assert site.relay('a') is not cut_off
    assert known(site) == {12}


def test_zone_that_is_silent_is_forgotten(site: _Site):
    for gateway in site.gateways:
        send(gateway)
    site.tick()
    site.tick()
    for gateway in site.gateways:
        if gateway.zone == 'a':
            site.kill(gateway)
    for _tick in range(40):
        site.tick(whole=True)
    assert known(site) == {8}


def test_prompts_that_were_sent_are_known_in_all_zones(site: _Site):
    sender = site.gateways[0]
    sent = SentPrompt(endpoint='e1', parts=PARTS, unread=2000)
    sender.caches.note_sent(sent, 0)
    site.tick()
    site.tick()
    for gateway in site.gateways:
        assert gateway.caches.find('e1').cached_tokens(PARTS) == 500
    # Each has heard of the read once.
    for gateway in site.gateways[1:]:
        assert gateway.reads == [('e1', 2000)]


def test_failures_are_known_in_all_zones(site: _Site):
    for gateway in site.gateways:
        gateway.health.note_failure('e1')
    site.tick()
    site.tick()
    failing = [each.health.failing('e1') for each in site.gateways]
    assert min(round(each * 10) for each in failing) >= 6


def test_change_of_the_relay_is_told(
    site: _Site,
    monkeypatch: pytest.MonkeyPatch,
):
    told: list[tuple[str, str]] = []
    monkeypatch.setattr(
        'wingfall.gateway.peers.loads.zone_relay.log_event',
        lambda part, sentence, **fields: told.append(
            (sentence, fields.get('relay') or fields['zone']),
        ),
    )
    site.tick()
    site.kill(site.relay('a'))
    site.tick(whole=True)
    site.tick(whole=True)
    assert told == [
        ('The relay of this zone has changed.', site.relay('a').name),
    ]


def test_gateway_that_leaves_is_no_relay(site: _Site):
    first = site.relay('a')
    for each in site.gateways:
        if first.name in each.sessions:
            each.sessions[first.name].leaving = True
    assert site.relay('a') is not first
