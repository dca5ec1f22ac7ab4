"""Exchange of loads, sent prompts and request outcomes between gateways.

Gateways of one availability zone report to each other directly. For other
zones, one gateway of each zone, its relay, aggregates the load of its zone and
sends it to the other relays, which forward it in their zones. So traffic
between zones grows with the number of zones, not of gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.peers.heartbeat_schedule import max_seen_age_ms
from wingfall.gateway.peers.loads.load_entries import (
    Activity,
    decode_loads,
    encode_loads,
    encode_outcomes,
    encode_sent_prompt,
    note_activity,
    without_estimates,
)
from wingfall.gateway.peers.loads.zone_relay import ZoneRelay
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.peers.peer_session import PeerSession
    from wingfall.wire.gateway_messages import ZoneLoads

# Milliseconds after which the load of a silent zone is removed: the same as for
# a silent peer.
_ZONE_TIMEOUT_MS: Final = 3000


@final
class LoadExchange:
    """Merges loads that other gateways report and reports the own ones."""

    __slots__ = (
        '_clock',
        '_knowledge',
        '_relay',
        '_zone',
        '_zone_seen_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        knowledge: EndpointKnowledge,
    ) -> None:
        """Initialize the exchange without zones.

        :param name: name of this gateway.
        :param zone: availability zone of this gateway.
        :param clock: clock for timeouts.
        :param knowledge: endpoint knowledge that is reported and updated.
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
        self._zone_seen_ms: dict[str, int] = {}

    def own_zone_peers(
        self, sessions: Iterable[PeerSession]
    ) -> list[PeerSession]:
        """Return the peers of the own availability zone.

        :param sessions: sessions with the connected peers.
        :returns: sessions with the peers of this zone.
        """
        return [each for each in sessions if each.zone == self._zone]

    def reach(self, sessions: Collection[PeerSession]) -> int:
        """Count the other zones from which this gateway receives heartbeats.

        :param sessions: sessions with the connected peers.
        :returns: number of other zones.
        """
        within_ms = max_seen_age_ms(len(sessions))
        oldest_ms = self._clock.now_ms() - within_ms
        reached = {
            each.zone for each in sessions if each.last_seen_ms >= oldest_ms
        }
        return len(reached - {self._zone})

    def encode_own_loads(self) -> list[list[Any]]:
        """Encode the loads of all requests that this gateway has sent.

        :returns: the entries of a heartbeat.
        """
        return encode_loads(self._knowledge.load.own)

    def encode_known_speeds(self) -> Activity:
        """Encode the known prefill rates and token gaps for a new gateway.

        :returns: the entries of a heartbeat.
        """
        return Activity(
            readings=self._knowledge.speeds.rates.encode_all(),
            gaps=self._knowledge.full_gaps.encode_all(),
        )

    def collect_loads(self, *, whole: bool) -> list[list[Any]]:
        """Encode the loads that have changed since the last report.

        :param whole: whether to encode all loads.
        :returns: the entries of a heartbeat.
        """
        changed = self._knowledge.load.take_unreported()
        return self.encode_own_loads() if whole else encode_loads(changed)

    def collect_activity(self) -> Activity:
        """Encode the activity since the last report.

        :returns: the entries of a heartbeat.
        """
        sent = self._knowledge.caches.take_unreported()
        outcomes = self._knowledge.health.take_unreported()
        activity = Activity(
            sent=[encode_sent_prompt(each) for each in sent],
            outcomes=encode_outcomes(outcomes),
            readings=self._knowledge.speeds.rates.take_unreported(),
            work=self._knowledge.customer_work.take_unreported(),
            gaps=self._knowledge.full_gaps.take_unreported(),
        )
        self._relay.add_activity(activity)
        return activity

    def merge_heartbeat(
        self,
        session: PeerSession,
        loads: list[list[Any]],
        activity: Activity,
        *,
        whole: bool,
    ) -> None:
        """Merge a heartbeat of a peer.

        :param session: session with the peer.
        :param loads: load entries of the heartbeat.
        :param activity: activity since the last heartbeat of the peer.
        :param whole: whether the peer has no load at other endpoints.
        """
        self._knowledge.load.merge_from_peer(
            session.name, decode_loads(loads), whole=whole
        )
        note_activity(activity, self._knowledge)
        if session.zone == self._zone:
            # Other zones have received the samples that a greeting sums up.
            activity.readings = without_estimates(activity.readings)
            self._relay.add_activity(activity)

    def merge_zone_loads(
        self,
        session: PeerSession,
        zone_loads: ZoneLoads,
        sessions: Iterable[PeerSession],
    ) -> None:
        """Merge the report of a relay and forward it in this zone.

        :param session: session with the relay, or with the forwarding peer.
        :param zone_loads: loads and activity of another zone.
        :param sessions: sessions with the connected peers.
        """
        if zone_loads.zone == self._zone:
            return
        self._zone_seen_ms[zone_loads.zone] = self._clock.now_ms()
        source = _source(zone_loads.zone)
        self._knowledge.load.merge_from_peer(
            source,
            decode_loads(zone_loads.loads),
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
            for near in self.own_zone_peers(sessions):
                near.connection.send(zone_loads)

    def relay_zone_loads(
        self,
        sessions: Collection[PeerSession],
        *,
        whole: bool,
    ) -> None:
        """Send the load of this zone to other zones if this is its relay.

        :param sessions: sessions with the connected peers.
        :param whole: whether to send all loads, not only changes.
        """
        self._remove_silent_zones(self._clock.now_ms())
        reach = self.reach(sessions)
        self._relay.send_if_relay(sessions, reach=reach, whole=whole)

    def _remove_silent_zones(self, now_ms: int) -> None:
        for zone, last_seen_ms in list(self._zone_seen_ms.items()):
            if now_ms - last_seen_ms > _ZONE_TIMEOUT_MS:
                self._zone_seen_ms.pop(zone)
                self._knowledge.load.remove_peer(_source(zone))
                log_event(
                    'peers',
                    'A zone has fallen silent; its work is forgotten.',
                    zone=zone,
                    silent_ms=now_ms - last_seen_ms,
                )


def _source(zone: str) -> str:
    # No gateway has a name with this prefix.
    return f'zone/{zone}'
