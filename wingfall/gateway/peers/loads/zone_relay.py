"""What the relay of an availability zone tells the relays of the others.

Owns whether this gateway is the relay of its zone, and what other zones have
not heard of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.heartbeat_schedule import (
    interval_ms,
    seen_within_ms,
)
from wingfall.gateway.peers.loads.load_entries import (
    IDLE,
    Activity,
    Work,
    write_work,
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
    """Tells other zones of the work of this one."""

    __slots__ = (
        '_activity',
        '_clock',
        '_last_sent',
        '_load',
        '_name',
        '_relayed_ms',
        '_relays',
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
        """Start with nothing told.

        :param name: name of this gateway.
        :param zone: its availability zone.
        :param clock: the time.
        :param load: the work of all gateways.
        """
        self._name = name
        self._zone = zone
        self._clock = clock
        self._load = load
        # What other zones have not heard of.
        self._activity = Activity()
        # Work that other zones were told of, None if they know of none.
        self._last_sent: dict[str, Work] | None = None
        # Whether this gateway speaks for its zone, None until it has peers.
        self._relays: bool | None = None
        self._relayed_ms: float = float('-inf')

    def note(self, activity: Activity) -> None:
        """Note what has happened in the own zone.

        :param activity: the activity.
        """
        self._activity.add(activity)

    def tell(
        self,
        sessions: Collection[PeerSession],
        *,
        reach: int,
        whole: bool,
    ) -> None:
        """Tell other zones of this one's work, if that is this gateway's part.

        :param sessions: the connected peers.
        :param reach: how many other zones this gateway hears.
        :param whole: whether to tell of all work, not only of changes.
        """
        now_ms = self._clock.now_ms()
        near = [each for each in sessions if each.zone == self._zone]
        seen_since_ms = now_ms - seen_within_ms(len(sessions))
        self._note_relay(
            find_relay(near, seen_since_ms),
            reach,
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
        summed = self._load.sum_with(each.name for each in near)
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
            gaps=activity.gaps,
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
