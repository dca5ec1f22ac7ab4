"""Builds heartbeats: the state of this gateway and the content of each.

Holds no state; reads the fields of each part when a heartbeat is built.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, final

from wingfall.gateway.peers.loads.load_entries import Activity
from wingfall.gateway.peers.update_exchange import PeerUpdates
from wingfall.wire.gateway_messages import GatewayHeartbeat

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer
    from wingfall.gateway.peers.loads.load_exchange import LoadExchange
    from wingfall.gateway.peers.objects.object_exchange import ObjectExchange
    from wingfall.gateway.peers.peer_session import PeerSession
    from wingfall.gateway.peers.update_exchange import UpdateExchange


@final
class HeartbeatWriter:
    """Builds the heartbeats of one gateway."""

    __slots__ = (
        '_exchange',
        '_loads',
        '_updates',
        '_sessions',
        '_transfer',
        '_is_watching',
    )

    def __init__(
        self,
        *,
        sessions: Collection[PeerSession],
        exchange: ObjectExchange,
        transfer: PartsTransfer,
        loads: LoadExchange,
        updates: UpdateExchange,
        watches: Callable[[], bool],
    ) -> None:
        """Initialize the writer with the sources of its fields.

        :param sessions: live view of the sessions with connected peers.
        :param exchange: provides the revisions of objects.
        :param transfer: provides whether the prefix caches are known.
        :param loads: provides the number of other zones received.
        :param updates: provides the digests of crashes and signals.
        :param watches: returns whether this gateway watches the store.
        """
        self._sessions = sessions
        self._exchange = exchange
        self._transfer = transfer
        self._loads = loads
        self._updates = updates
        self._is_watching = watches

    def write(
        self,
        *,
        leaving: bool,
        whole: bool,
        loads: list[list[Any]] | None = None,
        activity: Activity | None = None,
        updates: PeerUpdates | None = None,
        duties: list[Any] | None = None,
    ) -> GatewayHeartbeat:
        """Build a heartbeat.

        :param leaving: whether this gateway is stopping.
        :param whole: whether the loads are complete.
        :param loads: work by endpoint.
        :param activity: activity since the last report.
        :param updates: updates on crashes and signals of endpoints.
        :param duties: entries of the duties.
        :returns: the heartbeat.
        """
        activity, updates = activity or Activity(), updates or PeerUpdates()
        return GatewayHeartbeat(
            revisions=self._exchange.revisions,
            loads=loads or [],
            sent=activity.sent,
            outcomes=activity.outcomes,
            leaving=leaving,
            whole=whole,
            watching=self._is_watching(),
            knows_caches=self._transfer.knows_caches,
            reach=self._loads.reach(self._sessions),
            crashes=updates.crashes.crashes,
            served=updates.crashes.served,
            crash_digest=self._updates.crash_digest,
            duties=duties,
            limits=updates.signals.limits,
            leavings=updates.signals.leavings,
            signal_digest=self._updates.signal_digest,
            readings=activity.readings,
            work=activity.work,
            gaps=activity.gaps,
            part_digest=self._updates.part_digest,
        )
