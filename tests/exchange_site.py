"""Simulated gateways of several zones that exchange only loads."""

from __future__ import annotations

import collections
import random
from typing import Final, final

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.customer_work import CustomerWork
from wingfall.gateway.knowledge.endpoint_health import EndpointHealth
from wingfall.gateway.knowledge.endpoint_table import EndpointTable
from wingfall.gateway.knowledge.engine_speeds import EngineSpeeds
from wingfall.gateway.knowledge.full_gaps import FullGaps
from wingfall.gateway.knowledge.load import LoadTable
from wingfall.gateway.knowledge.prefix_caches import PrefixCaches
from wingfall.gateway.knowledge.shared_rates import SharedRates
from wingfall.gateway.peers.heartbeat_schedule import heartbeat_interval_ms
from wingfall.gateway.peers.loads.load_entries import Activity
from wingfall.gateway.peers.loads.load_exchange import LoadExchange
from wingfall.gateway.peers.loads.relay_choice import find_relay
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.wire.codec import encode
from wingfall.wire.gateway_messages import GatewayHello, ZoneLoads

TICK_MS: Final = 100
POOL: Final = 'engines'


def encoded_bytes(readings: list[list[object]]) -> int:
    """Return the bytes that rate samples take in a message."""
    if not readings:
        return 0
    without, with_samples = (
        ZoneLoads(zone='a', loads=[], sent=[], whole=False, readings=each)
        for each in ([], readings)
    )
    return len(encode(with_samples)) - len(encode(without))


@final
class Gateway:
    """A gateway with only the parts that exchange loads."""

    def __init__(self, name: str, zone: str, clock: ManualClock) -> None:
        self.name = name
        self.zone = zone
        self.clock = clock
        self.load = LoadTable()
        self.reads: list[tuple[str, int]] = []
        self.caches = PrefixCaches()
        self.endpoints = EndpointTable(clock=clock)
        self.health = EndpointHealth(clock=clock)
        self.rates = SharedRates(clock=clock)
        self.speeds = EngineSpeeds(rates=self.rates)
        self.customer_work = CustomerWork(clock=clock)
        self.full_gaps = FullGaps(clock=clock)
        self.exchange = LoadExchange(
            name=name, zone=zone, clock=clock, knowledge=self
        )
        self.sessions: dict[str, PeerSession] = {}
        self.alive = True
        # Time of the last report, and received bytes of rate samples.
        self.last_report_ms = 0
        self.received_bytes = 0

    def ready_ms(self, endpoint: str) -> int:
        return self.clock.now_ms()

    def note_prompt_sent(self, endpoint: str, tokens: int) -> None:
        self.reads.append((endpoint, tokens))

    def merge_rate_samples(self, engine: str, rates: list[int]) -> None:
        self.rates.merge_reported(engine, POOL, rates)

    def rate(self, engine: str) -> float:
        """Return the prefill rate of an engine as known to this gateway."""
        return self.rates.find(engine, POOL).tokens_per_ms

    def running(self, endpoint: str) -> int:
        """Return the running requests of an endpoint as known here."""
        return self.load.total(endpoint).running


@final
class _Link:
    """Delivers messages from one gateway to another."""

    def __init__(self, site: Site, source: Gateway, sink: Gateway) -> None:
        self._site = site
        self._source = source
        self._sink = sink

    def send(self, message: ZoneLoads) -> None:
        sink, source = self._sink, self._source
        if not sink.alive:
            return
        far = source.zone != sink.zone
        self._site.messages[far] += 1
        if self._site.is_lost():
            return
        sample_bytes = encoded_bytes(message.readings)
        self._site.reading_bytes[far] += sample_bytes
        sink.received_bytes += sample_bytes
        session = sink.sessions[source.name]
        sink.exchange.merge_zone_loads(session, message, sink.sessions.values())


@final
class Site:
    """Gateways that are all connected to each other."""

    def __init__(self, zones: dict[str, int]) -> None:
        self.clock = ManualClock()
        # Relay messages and bytes of rate samples, by whether they cross zones.
        self.messages: collections.Counter[bool] = collections.Counter()
        self.reading_bytes: collections.Counter[bool] = collections.Counter()
        # Fraction of messages that are lost.
        self.loss_ratio: float = 0
        self._random = random.Random(7)
        self.gateways = [
            Gateway(f'{zone}-{number}', zone, self.clock)
            for zone, count in zones.items()
            for number in range(count)
        ]
        self._by_name = {each.name: each for each in self.gateways}
        for one in self.gateways:
            for other in self.gateways:
                if one is not other:
                    self._connect(one, other)

    def tick(self, *, whole: bool = False) -> None:
        """Advance the clock and send the reports of all live gateways."""
        self.clock.advance(TICK_MS)
        for one in self.gateways:
            if one.alive:
                self._report(one, whole=whole)
        for one in self.gateways:
            if one.alive:
                one.exchange.relay_zone_loads(
                    one.sessions.values(), whole=whole
                )

    def kill(self, gateway: Gateway) -> None:
        """Stop a gateway and remove the sessions of the others with it."""
        gateway.alive = False
        for each in self.gateways:
            each.sessions.pop(gateway.name, None)
            each.load.remove_peer(gateway.name)

    def cut_off(self, gateway: Gateway) -> None:
        """Remove all sessions between a gateway and other zones."""
        for each in self.gateways:
            if each.zone != gateway.zone:
                each.sessions.pop(gateway.name, None)
                gateway.sessions.pop(each.name, None)

    def is_lost(self) -> bool:
        """Decide at random whether the next message is lost."""
        return self._random.random() < self.loss_ratio

    def relay(self, zone: str) -> Gateway:
        """Return the relay of a zone."""
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

    def greet(self, one: Gateway, other: Gateway) -> None:
        """Send all known engine speeds from a gateway to a peer."""
        known = one.exchange.encode_known_speeds()
        self._deliver(one, other, [], known, whole=False)

    def _connect(self, one: Gateway, other: Gateway) -> None:
        hello = GatewayHello(
            name=other.name, address=other.name, known=[], zone=other.zone
        )
        link = _Link(self, one, other)
        one.sessions[other.name] = PeerSession(hello=hello, connection=link)

    def _report(self, one: Gateway, *, whole: bool) -> None:
        others = [self._by_name[name] for name in one.sessions]
        near = [each for each in others if each.zone == one.zone]
        now_ms = self.clock.now_ms()
        if (
            now_ms - one.last_report_ms < heartbeat_interval_ms(len(near))
            and not whole
        ):
            return
        one.last_report_ms = now_ms
        reach = one.exchange.reach(one.sessions.values())
        for each in others:
            session = each.sessions[one.name]
            session.last_seen_ms = now_ms
            session.reached_zones = reach
        loads = one.exchange.collect_loads(whole=whole)
        activity = one.exchange.collect_activity()
        sample_bytes = encoded_bytes(activity.readings)
        for other in near:
            if not self.is_lost():
                self.reading_bytes[False] += sample_bytes
                other.received_bytes += sample_bytes
                self._deliver(one, other, loads, activity, whole=whole)

    def _deliver(
        self,
        one: Gateway,
        other: Gateway,
        loads: list[list[object]],
        activity: Activity,
        *,
        whole: bool,
    ) -> None:
        received = Activity(
            sent=activity.sent,
            outcomes=activity.outcomes,
            readings=activity.readings,
        )
        other.exchange.merge_heartbeat(
            other.sessions[one.name], loads, received, whole=whole
        )
