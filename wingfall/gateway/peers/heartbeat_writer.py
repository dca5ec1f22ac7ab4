"""Writes heartbeats: where this gateway stands, beside what is told in each.

Owns nothing; asks each part for its figure as a heartbeat is written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, final

from wingfall.gateway.peers.loads.load_entries import Activity
from wingfall.gateway.peers.news_exchange import PeerNews
from wingfall.wire.gateway_messages import GatewayHeartbeat

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer
    from wingfall.gateway.peers.loads.load_exchange import LoadExchange
    from wingfall.gateway.peers.news_exchange import NewsExchange
    from wingfall.gateway.peers.objects.object_exchange import ObjectExchange
    from wingfall.gateway.peers.peer_session import PeerSession


@final
class HeartbeatWriter:
    """Writes the heartbeats of one gateway."""

    __slots__ = (
        '_exchange',
        '_loads',
        '_news',
        '_sessions',
        '_transfer',
        '_watches',
    )

    def __init__(
        self,
        *,
        sessions: Collection[PeerSession],
        exchange: ObjectExchange,
        transfer: PartsTransfer,
        loads: LoadExchange,
        news: NewsExchange,
        watches: Callable[[], bool],
    ) -> None:
        """Join what heartbeats tell of.

        :param sessions: the connected peers, as they are at each time.
        :param exchange: tells the revisions of objects.
        :param transfer: tells whether it is known what engines keep.
        :param loads: tells how many other zones are heard.
        :param news: tells sums of what is known of crashes and signals.
        :param watches: whether this gateway hears the store's changes.
        """
        self._sessions = sessions
        self._exchange = exchange
        self._transfer = transfer
        self._loads = loads
        self._news = news
        self._watches = watches

    def write(
        self,
        *,
        leaving: bool,
        whole: bool,
        loads: list[list[Any]] | None = None,
        activity: Activity | None = None,
        news: PeerNews | None = None,
        duties: list[Any] | None = None,
    ) -> GatewayHeartbeat:
        """Write a heartbeat.

        :param leaving: whether this gateway is stopping.
        :param whole: whether the loads are all that there are.
        :param loads: work by endpoint.
        :param activity: what has happened since it was last told.
        :param news: crashes and what endpoints say of themselves.
        :param duties: what the duties need.
        :returns: the heartbeat.
        """
        activity, news = activity or Activity(), news or PeerNews()
        return GatewayHeartbeat(
            revisions=self._exchange.revisions,
            loads=loads or [],
            sent=activity.sent,
            outcomes=activity.outcomes,
            leaving=leaving,
            whole=whole,
            watching=self._watches(),
            knows_caches=self._transfer.knows_caches,
            reach=self._loads.reach(self._sessions),
            crashes=news.crashes.crashes,
            served=news.crashes.served,
            crash_sum=self._news.crash_sum,
            duties=duties,
            limits=news.signals.limits,
            leavings=news.signals.leavings,
            signal_sum=self._news.signal_sum,
            readings=activity.readings,
            work=activity.work,
            gaps=activity.gaps,
        )
