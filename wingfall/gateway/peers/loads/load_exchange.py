"""What gateways tell each other of the work that they have sent.

That is what runs where, which prompts were sent, and how requests ended.
Gateways of one availability zone tell each other directly. For other zones
one gateway of each, its relay, sums up the work of its zone and sends it to
the relays there, which pass it on: bytes between zones grow with the number
of zones, not with that of gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.peers.heartbeat_schedule import (
    interval_ms,
    seen_within_ms,
)
from wingfall.gateway.peers.loads.load_entries import (
    IDLE,
    Activity,
    Work,
    note_activity,
    read_loads,
    write_loads,
    write_outcomes,
    write_sent,
    write_work,
)
from wingfall.gateway.peers.loads.relay_choice import find_relay, relay_rank
from wingfall.log import log_event
from wingfall.wire.gateway_messages import ZoneLoads

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.peers.peer_session import PeerSession

# Milliseconds after which the work of a zone that isn't heard is forgotten: the
# same as for a silent peer.
_ZONE_SILENCE_MS: Final = 3000


@final
class LoadExchange:
    """Keeps the work that other gateways have sent, and tells of the own."""

    __slots__ = (
        '_clock',
        '_knowledge',
        '_name',
        '_activity',
        '_relayed_ms',
        '_relays',
        '_last_sent',
        '_zone',
        '_zones_seen_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        knowledge: EndpointKnowledge,
    ) -> None:
        """Start without work.

        :param name: name of this gateway.
        :param zone: its availability zone.
        :param clock: the time.
        :param knowledge: where work, prompts and outcomes are noted.
        """
        self._name = name
        self._zone = zone
        self._clock = clock
        self._knowledge = knowledge
        # What other zones have not heard of.
        self._activity = Activity()
        # Work that other zones were told of, None if they know of none.
        self._last_sent: dict[str, Work] | None = None
        # Whether this gateway speaks for its zone, None until it has peers.
        self._relays: bool | None = None
        self._relayed_ms: float = float('-inf')
        self._zones_seen_ms: dict[str, int] = {}

    def near(self, sessions: Iterable[PeerSession]) -> list[PeerSession]:
        """List the peers of the own availability zone.

        :param sessions: the connected peers.
        :returns: those that are told directly.
        """
        return [each for each in sessions if each.zone == self._zone]

    def reach(self, sessions: Collection[PeerSession]) -> int:
        """Count the other zones that this gateway hears.

        :param sessions: the connected peers.
        :returns: how many.
        """
        within_ms = seen_within_ms(len(sessions))
        oldest_ms = self._clock.now_ms() - within_ms
        heard = {
            each.zone for each in sessions if each.last_seen_ms >= oldest_ms
        }
        return len(heard - {self._zone})

    def own_loads(self) -> list[list[Any]]:
        """Write all work that this gateway has sent.

        :returns: the entries of a heartbeat.
        """
        return write_loads(self._knowledge.load.own)

    def known_speeds(self) -> Activity:
        """Write what is known of engines' speed, for a gateway that starts.

        :returns: the entries of a heartbeat.
        """
        return Activity(readings=self._knowledge.speeds.write_all())

    def take_loads(self, *, whole: bool) -> list[list[Any]]:
        """Write the work that peers have not heard of.

        :param whole: whether to write all there is.
        :returns: the entries of a heartbeat.
        """
        changed = self._knowledge.load.take_changed()
        return self.own_loads() if whole else write_loads(changed)

    def take_activity(self) -> Activity:
        """Write what has happened and peers have not heard of.

        :returns: the entries of a heartbeat.
        """
        sent = self._knowledge.caches.take_unsent()
        outcomes = self._knowledge.health.take_unsent()
        activity = Activity(
            sent=[write_sent(each) for each in sent],
            outcomes=write_outcomes(outcomes),
            readings=self._knowledge.speeds.take_untold(),
            work=self._knowledge.customer_work.take_untold(),
        )
        self._activity.add(activity)
        return activity

    def take_heartbeat(
        self,
        session: PeerSession,
        loads: list[list[Any]],
        activity: Activity,
        *,
        whole: bool,
    ) -> None:
        """Take what a peer of the own zone tells of its work.

        :param session: the peer.
        :param loads: its work by endpoint.
        :param activity: what has happened there.
        :param whole: whether it has no work at other endpoints.
        """
        self._knowledge.load.take_from_peer(
            session.name, read_loads(loads), whole=whole
        )
        note_activity(activity, self._knowledge)
        if session.zone == self._zone:
            self._activity.add(activity)

    def take_zone(
        self,
        session: PeerSession,
        zone_loads: ZoneLoads,
        sessions: Iterable[PeerSession],
    ) -> None:
        """Take what a relay tells of its zone, and pass it on in this one.

        :param session: the relay, or the gateway that passed it on.
        :param zone_loads: the work of a zone.
        :param sessions: the connected peers.
        """
        if zone_loads.zone == self._zone:
            return
        self._zones_seen_ms[zone_loads.zone] = self._clock.now_ms()
        source = _source(zone_loads.zone)
        self._knowledge.load.take_from_peer(
            source,
            read_loads(zone_loads.loads),
            whole=zone_loads.whole,
        )
        note_activity(
            Activity(
                sent=zone_loads.sent,
                outcomes=zone_loads.outcomes,
                readings=zone_loads.readings,
                work=zone_loads.work,
            ),
            self._knowledge,
        )
        if session.zone == zone_loads.zone:
            for near in self.near(sessions):
                near.connection.send(zone_loads)

    def relay(
        self,
        sessions: Collection[PeerSession],
        *,
        whole: bool,
    ) -> None:
        """Tell other zones of this one's work, if that is this gateway's part.

        :param sessions: the connected peers.
        :param whole: whether to tell of all work, not only of changes.
        """
        now_ms = self._clock.now_ms()
        self._forget_silent_zones(now_ms)
        near = self.near(sessions)
        seen_since_ms = now_ms - seen_within_ms(len(sessions))
        self._note_relay(
            find_relay(near, seen_since_ms),
            self.reach(sessions),
        )
        if not self._relays:
            self._last_sent = None
            self._activity = Activity()
            return
        rested = now_ms - self._relayed_ms >= interval_ms(len(near))
        if not (rested or whole):
            return
        self._relayed_ms = now_ms
        zone_loads = self._make_zone_loads(near, whole=whole)
        if zone_loads is not None:
            self._send_to_relays(zone_loads, sessions, seen_since_ms)

    def _note_relay(self, first: PeerSession | None, reach: int) -> None:
        own = relay_rank(self._name, reach)
        relays = first is None or own < relay_rank(first.name, first.reach)
        if relays is not self._relays:
            self._relays = relays
            log_event(
                'peers',
                'The relay of this zone has changed.',
                zone=self._zone,
                relay=self._name if relays or first is None else first.name,
            )

    def _send_to_relays(
        self,
        zone_loads: ZoneLoads,
        sessions: Collection[PeerSession],
        seen_since_ms: int,
    ) -> None:
        zones = {each.zone for each in sessions} - {self._zone}
        for zone in zones:
            there = [each for each in sessions if each.zone == zone]
            relay = find_relay(there, seen_since_ms)
            if relay is not None:
                relay.connection.send(zone_loads)

    def _make_zone_loads(
        self,
        near: Iterable[PeerSession],
        *,
        whole: bool,
    ) -> ZoneLoads | None:
        summed = self._knowledge.load.sum_with(each.name for each in near)
        work = {name: write_work(load) for name, load in summed.items()}
        whole = whole or self._last_sent is None
        loads = work if whole else _changes(self._last_sent or {}, work)
        self._last_sent = work
        activity = self._activity
        self._activity = Activity()
        if not (whole or loads) and activity.empty:
            return None
        return ZoneLoads(
            zone=self._zone,
            loads=[[name, *each] for name, each in loads.items()],
            sent=activity.sent,
            whole=whole,
            outcomes=activity.outcomes,
            readings=activity.readings,
            work=activity.work,
        )

    def _forget_silent_zones(self, now_ms: int) -> None:
        for zone, last_seen_ms in list(self._zones_seen_ms.items()):
            if now_ms - last_seen_ms > _ZONE_SILENCE_MS:
                self._zones_seen_ms.pop(zone)
                self._knowledge.load.forget(_source(zone))
                log_event(
                    'peers',
                    'A zone has fallen silent; its work is forgotten.',
                    zone=zone,
                    silent_ms=now_ms - last_seen_ms,
                )


def _changes(
    known: dict[str, Work],
    work: dict[str, Work],
) -> dict[str, Work]:
    ended = dict.fromkeys(known.keys() - work.keys(), IDLE)
    return {
        name: each
        for name, each in {**work, **ended}.items()
        if known.get(name) != each
    }


def _source(zone: str) -> str:
    # No gateway has a name like this one.
    return f'zone/{zone}'
