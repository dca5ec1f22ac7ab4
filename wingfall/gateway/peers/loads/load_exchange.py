"""What gateways tell each other of the work that they have sent.

That is what runs where, which prompts were sent, and how requests ended.
Gateways of one availability zone tell each other directly. For other zones
one gateway of each, its relay, sums up the work of its zone and sends it to
the relays there, which pass it on: bytes between zones grow with the number
of zones, not with that of gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.peers.heartbeat_schedule import seen_within_ms
from wingfall.gateway.peers.loads.load_entries import (
    Activity,
    note_activity,
    only_seen,
    read_loads,
    write_loads,
    write_outcomes,
    write_sent,
)
from wingfall.gateway.peers.loads.zone_relay import ZoneRelay
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.peers.peer_session import PeerSession
    from wingfall.wire.gateway_messages import ZoneLoads

# Milliseconds after which the work of a zone that isn't heard is forgotten: the
# same as for a silent peer.
_ZONE_SILENCE_MS: Final = 3000


@final
class LoadExchange:
    """Keeps the work that other gateways have sent, and tells of the own."""

    __slots__ = (
        '_clock',
        '_knowledge',
        '_relay',
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
        self._zone = zone
        self._clock = clock
        self._knowledge = knowledge
        self._relay = ZoneRelay(
            name=name,
            zone=zone,
            clock=clock,
            load=knowledge.load,
        )
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
        return Activity(
            readings=self._knowledge.speeds.rates.write_all(),
            gaps=self._knowledge.full_gaps.write_all(),
        )

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
            readings=self._knowledge.speeds.rates.take_untold(),
            work=self._knowledge.customer_work.take_untold(),
            gaps=self._knowledge.full_gaps.take_untold(),
        )
        self._relay.note(activity)
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
            # Other zones have heard the readings that a greeting sums up.
            activity.readings = only_seen(activity.readings)
            self._relay.note(activity)

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
                gaps=zone_loads.gaps,
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
        self._forget_silent_zones(self._clock.now_ms())
        reach = self.reach(sessions)
        self._relay.tell(sessions, reach=reach, whole=whole)

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


def _source(zone: str) -> str:
    # No gateway has a name like this one.
    return f'zone/{zone}'
