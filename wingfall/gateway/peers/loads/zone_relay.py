"""Reports from the relay of an availability zone to the other relays.

Owns the choice whether this gateway is the relay of its zone, and the activity
not yet reported to other zones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.heartbeat_schedule import (
    heartbeat_interval_ms,
    max_seen_age_ms,
)
from wingfall.gateway.peers.loads.load_entries import (
    IDLE_LOAD,
    Activity,
    EncodedLoad,
    encode_load,
)
from wingfall.gateway.peers.loads.relay_choice import find_relay, relay_rank
from wingfall.log import log_event
from wingfall.wire.gateway_messages import ZoneLoads

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.load import LoadTable
    from wingfall.gateway.peers.peer_session import PeerSession


@final
class ZoneRelay:
    """Sends the load of this zone to the relays of other zones."""

    __slots__ = (
        '_activity',
        '_clock',
        '_reported_work',
        '_load',
        '_name',
        '_last_sent_ms',
        '_is_relay',
        '_zone',
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        load: LoadTable,
    ) -> None:
        """Initialize a relay without reports.

        :param name: name of this gateway.
        :param zone: availability zone of this gateway.
        :param clock: clock for report intervals.
        :param load: loads of all gateways.
        """
        self._name = name
        self._zone = zone
        self._clock = clock
        self._load = load
        # Activity that is not yet reported to other zones.
        self._activity = Activity()
        # Load last reported to other zones, None without a report.
        self._reported_work: dict[str, EncodedLoad] | None = None
        # Whether this gateway is the relay, None before the first choice.
        self._is_relay: bool | None = None
        self._last_sent_ms: float = float('-inf')

    def add_activity(self, activity: Activity) -> None:
        """Record activity of the own zone.

        :param activity: activity of one gateway.
        """
        self._activity.add(activity)

    def send_if_relay(
        self,
        sessions: Collection[PeerSession],
        *,
        reach: int,
        whole: bool,
    ) -> None:
        """Send the load of this zone to other zones if this is its relay.

        :param sessions: sessions with the connected peers.
        :param reach: number of other zones that this gateway reaches.
        :param whole: whether to send all loads, not only changes.
        """
        now_ms = self._clock.now_ms()
        near = [each for each in sessions if each.zone == self._zone]
        seen_since_ms = now_ms - max_seen_age_ms(len(sessions))
        self._update_relay(
            find_relay(near, seen_since_ms),
            reach,
        )
        if not self._is_relay:
            self._reported_work = None
            self._activity = Activity()
            return
        is_due = now_ms - self._last_sent_ms >= heartbeat_interval_ms(len(near))
        if not (is_due or whole):
            return
        self._last_sent_ms = now_ms
        zone_loads = self._make_zone_loads(near, whole=whole)
        if zone_loads is not None:
            self._send_to_relays(zone_loads, sessions, seen_since_ms)

    def _update_relay(self, candidate: PeerSession | None, reach: int) -> None:
        own = relay_rank(self._name, reach)
        is_relay = candidate is None or own < relay_rank(
            candidate.name, candidate.reached_zones
        )
        if is_relay is not self._is_relay:
            self._is_relay = is_relay
            log_event(
                'peers',
                'The relay of this zone has changed.',
                zone=self._zone,
                relay=self._name
                if is_relay or candidate is None
                else candidate.name,
            )

    def _send_to_relays(
        self,
        zone_loads: ZoneLoads,
        sessions: Collection[PeerSession],
        seen_since_ms: int,
    ) -> None:
        zones = {each.zone for each in sessions} - {self._zone}
        for zone in zones:
            candidates = [each for each in sessions if each.zone == zone]
            relay = find_relay(candidates, seen_since_ms)
            if relay is not None:
                relay.connection.send(zone_loads)

    def _make_zone_loads(
        self,
        near: Iterable[PeerSession],
        *,
        whole: bool,
    ) -> ZoneLoads | None:
        zone_totals = self._load.sum_with(each.name for each in near)
        work = {name: encode_load(load) for name, load in zone_totals.items()}
        whole = whole or self._reported_work is None
        loads = (
            work if whole else _find_changes(self._reported_work or {}, work)
        )
        self._reported_work = work
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
            gaps=activity.gaps,
        )


def _find_changes(
    known: dict[str, EncodedLoad],
    work: dict[str, EncodedLoad],
) -> dict[str, EncodedLoad]:
    ended = dict.fromkeys(known.keys() - work.keys(), IDLE_LOAD)
    return {
        name: each
        for name, each in {**work, **ended}.items()
        if known.get(name) != each
    }
