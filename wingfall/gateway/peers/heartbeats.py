"""What a gateway tells its peers some times a second, and hears of them.

Owns when to tell; gives each message to the part that handles it: loads,
objects, or parts that engines cache.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, final

from wingfall.gateway.peers.heartbeat_schedule import (
    HeartbeatDue,
    HeartbeatSchedule,
)
from wingfall.gateway.peers.heartbeat_writer import HeartbeatWriter
from wingfall.gateway.peers.loads.load_entries import Activity
from wingfall.gateway.peers.loads.load_exchange import LoadExchange
from wingfall.gateway.peers.news_exchange import (
    NewsExchange,
    NewsKind,
    PeerNews,
)
from wingfall.wire.codec import encode
from wingfall.wire.gateway_messages import GatewayHeartbeat, ZoneLoads
from wingfall.wire.transfer_messages import (
    ObjectsFetch,
    ObjectsPage,
    PartsFetch,
    PartsPage,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer
    from wingfall.gateway.peers.duty_exchange import DutyExchange
    from wingfall.gateway.peers.objects.object_exchange import ObjectExchange
    from wingfall.gateway.peers.peer_session import PeerSession
    from wingfall.wire.message import Message


@final
class Heartbeats:
    """Sends heartbeats and takes all messages of the sessions."""

    __slots__ = (
        '_clock',
        '_duties',
        '_exchange',
        '_handlers',
        '_is_stopping',
        '_load',
        '_loads',
        '_news',
        '_schedule',
        '_sessions',
        '_sent_revisions',
        '_sent_watching',
        '_transfer',
        '_watches',
        '_writer',
        '_zone',
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        knowledge: EndpointKnowledge,
        sessions: dict[str, PeerSession],
        exchange: ObjectExchange,
        transfer: PartsTransfer,
        watches: Callable[[], bool],
        is_stopping: Callable[[], bool],
        duties: DutyExchange | None,
    ) -> None:
        """Start with nothing told.

        :param name: name of this gateway.
        :param zone: its availability zone.
        :param clock: the time.
        :param knowledge: what it knows of endpoints.
        :param sessions: the connected peers by name, kept by their owner.
        :param exchange: gives and takes objects.
        :param transfer: gives and takes what engines keep.
        :param watches: whether this gateway hears the store's changes.
        :param is_stopping: whether a planned stop has begun.
        :param duties: tells what the duties need, None without duties.
        """
        self._zone = zone
        self._clock = clock
        self._load = knowledge.load
        self._is_stopping = is_stopping
        self._sessions = sessions
        self._duties = duties
        self._exchange = exchange
        self._transfer = transfer
        self._watches = watches
        self._loads = LoadExchange(
            name=name,
            zone=zone,
            clock=clock,
            knowledge=knowledge,
        )
        self._news = NewsExchange(clock=clock, knowledge=knowledge)
        self._writer = HeartbeatWriter(
            sessions=sessions.values(),
            exchange=exchange,
            transfer=transfer,
            loads=self._loads,
            news=self._news,
            watches=watches,
        )
        self._schedule = HeartbeatSchedule()
        self._sent_revisions: dict[str, int] = {}
        self._sent_watching = False
        self._handlers: dict[type[Message], Callable[..., None]] = {
            GatewayHeartbeat: self._take_heartbeat,
            ZoneLoads: self._take_zone,
            ObjectsFetch: exchange.answer,
            ObjectsPage: exchange.take,
            PartsFetch: transfer.answer,
            PartsPage: transfer.take,
        }

    def greet(self, session: PeerSession) -> None:
        """Tell a new peer where this gateway stands.

        :param session: the session with it.
        """
        near = self._loads.near([session])
        heartbeat = self._writer.write(
            leaving=self._is_stopping(),
            whole=True,
            loads=self._loads.own_loads() if near else None,
            activity=self._loads.known_speeds() if near else None,
            news=self._news.write_all(),
            duties=self._duties.greet() if self._duties else None,
        )
        session.connection.send(heartbeat)

    def forget(self, session: PeerSession) -> None:
        """Forget what a peer that is gone has told.

        :param session: the session that ended.
        """
        self._exchange.forget(session)
        self._load.forget(session.name)
        self._news.forget(session)
        if self._duties is not None:
            self._duties.forget(session)

    def receive(self, session: PeerSession, message: Message) -> None:
        """Take a message.

        :param session: where it came from.
        :param message: the message; an unknown one is passed over.
        """
        take = self._handlers.get(type(message))
        if take is not None:
            take(session, message)

    def step(self) -> None:
        """Tell what is due; called at each tick of the schedule."""
        now_ms = self._clock.now_ms()
        sessions = list(self._sessions.values())
        self._transfer.step(sessions)
        near = len(self._loads.near(sessions))
        self._schedule.set_peers(near=near, peers=len(sessions))
        watching = self._watches()
        due = self._schedule.due(
            now_ms,
            has_changes=self._load.has_changed,
            watching=watching,
            new_objects=self._has_new_objects(),
        )
        if watching is not self._sent_watching:
            # Others step in, or need no longer, as soon as they hear it.
            due = HeartbeatDue.whole
        if due is not HeartbeatDue.none:
            self._schedule.note_sent(now_ms, due)
            self.tell(
                leaving=self._is_stopping(),
                whole=due is HeartbeatDue.whole,
            )
        self._loads.relay(sessions, whole=due is HeartbeatDue.whole)
        self.tell_duties(sessions)

    def tell_news(self, kind: NewsKind) -> None:
        """Wait for news and tell all peers, in every zone.

        :param kind: what is waited for.
        """
        news = self._news.wait(kind)
        self._tell_news(news, list(self._sessions.values()))

    def tell(self, *, leaving: bool, whole: bool) -> None:
        """Tell all peers: loads to the near ones, the rest to all.

        :param leaving: whether this gateway is stopping.
        :param whole: whether to tell of all work, not only of changes.
        """
        sessions = list(self._sessions.values())
        near = self._loads.near(sessions)
        if whole or leaving or self._has_new_objects():
            far = [each for each in sessions if each.zone != self._zone]
            _send_to_all(far, self._writer.write(leaving=leaving, whole=True))
        heartbeat = self._writer.write(
            leaving=leaving,
            whole=whole,
            loads=self._loads.take_loads(whole=whole),
            activity=self._loads.take_activity(),
        )
        _send_to_all(near, heartbeat)
        self._sent_revisions = self._exchange.revisions
        self._sent_watching = heartbeat.watching

    def tell_duties(
        self,
        sessions: Collection[PeerSession],
        *,
        at_once: bool = False,
    ) -> None:
        """Tell what the duties need, if any is due.

        :param sessions: the connected peers.
        :param at_once: whether to tell counts that are not due yet.
        """
        if self._duties is None:
            return
        for session, told in self._duties.due(sessions, at_once=at_once):
            heartbeat = self._writer.write(
                leaving=self._is_stopping(), whole=False, duties=told
            )
            session.connection.send(heartbeat)

    def _take_heartbeat(
        self, session: PeerSession, heartbeat: GatewayHeartbeat
    ) -> None:
        session.leaving = heartbeat.leaving
        session.watching = heartbeat.watching
        session.knows_caches = heartbeat.knows_caches
        session.reach = heartbeat.reach
        session.last_seen_ms = self._clock.now_ms()
        self._loads.take_heartbeat(
            session,
            heartbeat.loads,
            Activity(
                sent=heartbeat.sent,
                outcomes=heartbeat.outcomes,
                readings=heartbeat.readings,
                work=heartbeat.work,
                gaps=heartbeat.gaps,
            ),
            whole=heartbeat.whole,
        )
        missed = self._news.take(session, heartbeat, len(self._sessions))
        self._tell_news(missed, [session])
        if self._duties is not None and heartbeat.duties:
            self._duties.take(session, heartbeat.duties)
        for kind, revision in heartbeat.revisions.items():
            self._exchange.compare(session, kind, revision)

    def _tell_news(
        self,
        news: PeerNews,
        sessions: Iterable[PeerSession],
    ) -> None:
        if news.empty:
            return
        heartbeat = self._writer.write(
            leaving=self._is_stopping(), whole=False, news=news
        )
        _send_to_all(sessions, heartbeat)

    def _take_zone(self, session: PeerSession, loads: ZoneLoads) -> None:
        self._loads.take_zone(session, loads, self._sessions.values())

    def _has_new_objects(self) -> bool:
        return self._sent_revisions != self._exchange.revisions


def _send_to_all(sessions: Iterable[PeerSession], message: Message) -> None:
    frame = encode(message)
    for session in sessions:
        session.connection.send_frame(frame)
