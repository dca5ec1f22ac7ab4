"""Heartbeats that a gateway exchanges with its peers some times a second.

Decides when to send and dispatches each received message to its handler: loads,
objects, or prompt parts that engines cache.
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
from wingfall.gateway.peers.update_exchange import (
    PeerUpdates,
    UpdateExchange,
    UpdateKind,
)
from wingfall.wire.codec import encode
from wingfall.wire.gateway_messages import GatewayHeartbeat, ZoneLoads
from wingfall.wire.stream_messages import (
    HistoryWritten,
    StreamFetch,
    StreamFound,
    StreamsBegun,
    VersionsListed,
)
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
    from wingfall.gateway.peers.streams.stream_exchange import StreamExchange
    from wingfall.wire.message import Message


@final
class Heartbeats:
    """Sends heartbeats and handles all messages of the sessions."""

    __slots__ = (
        '_clock',
        '_duties',
        '_exchange',
        '_handlers',
        '_is_stopping',
        '_load',
        '_loads',
        '_updates',
        '_schedule',
        '_sessions',
        '_sent_revisions',
        '_sent_watching',
        '_streams',
        '_transfer',
        '_is_watching',
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
        streams: StreamExchange,
        watches: Callable[[], bool],
        is_stopping: Callable[[], bool],
        duties: DutyExchange | None,
    ) -> None:
        """Create the heartbeats of a gateway that has sent none.

        :param name: name of this gateway.
        :param zone: availability zone of this gateway.
        :param clock: source of the current time.
        :param knowledge: state of the endpoints as known to this gateway.
        :param sessions: sessions by name of the peer, updated by their owner.
        :param exchange: sends and receives objects.
        :param transfer: sends and receives cached prompt parts.
        :param streams: sends and receives the origins of streams.
        :param watches: returns whether this gateway watches the store.
        :param is_stopping: returns whether a planned stop has begun.
        :param duties: exchange for the duties, None without duties.
        """
        self._zone = zone
        self._clock = clock
        self._load = knowledge.load
        self._is_stopping = is_stopping
        self._sessions = sessions
        self._duties = duties
        self._exchange = exchange
        self._transfer = transfer
        self._streams = streams
        self._is_watching = watches
        self._loads = LoadExchange(
            name=name,
            zone=zone,
            clock=clock,
            knowledge=knowledge,
        )
        self._updates = UpdateExchange(clock=clock, knowledge=knowledge)
        self._writer = HeartbeatWriter(
            sessions=sessions.values(),
            exchange=exchange,
            transfer=transfer,
            loads=self._loads,
            updates=self._updates,
            watches=watches,
        )
        self._schedule = HeartbeatSchedule()
        self._sent_revisions: dict[str, int] = {}
        self._sent_watching = False
        self._handlers: dict[type[Message], Callable[..., None]] = {
            GatewayHeartbeat: self._handle_heartbeat,
            ZoneLoads: self._handle_zone_loads,
            ObjectsFetch: self._send_objects,
            ObjectsPage: exchange.process_page,
            PartsFetch: transfer.send_parts,
            PartsPage: transfer.record_page,
            StreamsBegun: streams.merge_streams,
            StreamFetch: streams.answer_fetch,
            StreamFound: streams.merge_answer,
            VersionsListed: streams.merge_versions,
            HistoryWritten: streams.merge_history,
        }

    def send_full_state(self, session: PeerSession) -> None:
        """Send the full state of this gateway to a new peer.

        :param session: the session with the peer.
        """
        near = self._loads.own_zone_peers([session])
        heartbeat = self._writer.write(
            leaving=self._is_stopping(),
            whole=True,
            loads=self._loads.encode_own_loads() if near else None,
            activity=self._loads.encode_known_speeds() if near else None,
            updates=self._updates.encode_all(),
            duties=self._duties.encode_state() if self._duties else None,
        )
        session.connection.send(heartbeat)
        self._streams.send_state(session)

    def forget(self, session: PeerSession) -> None:
        """Discard what a disconnected peer has reported.

        :param session: the session that ended.
        """
        self._exchange.cancel_fetches(session)
        self._load.remove_peer(session.name)
        self._updates.forget(session)
        self._streams.note_session_ended()
        if self._duties is not None:
            self._duties.forget(session)

    def receive(self, session: PeerSession, message: Message) -> None:
        """Dispatch a message to its handler.

        :param session: the session that received the message.
        :param message: the message; an unknown type is ignored.
        """
        handle_message = self._handlers.get(type(message))
        if handle_message is not None:
            handle_message(session, message)

    def step(self) -> None:
        """Send the messages that are due; called at each tick."""
        now_ms = self._clock.now_ms()
        sessions = list(self._sessions.values())
        self._transfer.request_if_due(sessions)
        near = len(self._loads.own_zone_peers(sessions))
        self._schedule.set_peers(near=near, peers=len(sessions))
        watching = self._is_watching()
        due = self._schedule.due(
            now_ms,
            has_changes=self._load.has_unreported,
            watching=watching,
            new_objects=self._has_new_objects(),
        )
        if watching is not self._sent_watching:
            # Peers take over the watch, or need not, once they receive this.
            due = HeartbeatDue.whole
        if due is not HeartbeatDue.none:
            self._schedule.note_sent(now_ms, due)
            self.send(
                leaving=self._is_stopping(),
                whole=due is HeartbeatDue.whole,
            )
        self._loads.relay_zone_loads(sessions, whole=due is HeartbeatDue.whole)
        self.send_duties(sessions)

    def send_updates(self, kind: UpdateKind) -> None:
        """Wait for updates and send them to the peers of all zones.

        :param kind: the kind of update to wait for.
        """
        updates = self._updates.wait(kind)
        self._send_updates(updates, list(self._sessions.values()))

    def send(self, *, leaving: bool, whole: bool) -> None:
        """Send heartbeats: loads to peers of this zone, the rest to all.

        :param leaving: whether this gateway is stopping.
        :param whole: whether to send all loads, not only changes.
        """
        sessions = list(self._sessions.values())
        near = self._loads.own_zone_peers(sessions)
        if whole or leaving or self._has_new_objects():
            other_zones = [each for each in sessions if each.zone != self._zone]
            _send_to_all(
                other_zones, self._writer.write(leaving=leaving, whole=True)
            )
        heartbeat = self._writer.write(
            leaving=leaving,
            whole=whole,
            loads=self._loads.collect_loads(whole=whole),
            activity=self._loads.collect_activity(),
        )
        _send_to_all(near, heartbeat)
        self._sent_revisions = self._exchange.revisions
        self._sent_watching = heartbeat.watching

    def send_duties(
        self,
        sessions: Collection[PeerSession],
        *,
        at_once: bool = False,
    ) -> None:
        """Send the entries of the duties that are due.

        :param sessions: the connected peers.
        :param at_once: whether to send counts that are not due yet.
        """
        if self._duties is None:
            return
        for session, entries in self._duties.encode_due(
            sessions, at_once=at_once
        ):
            heartbeat = self._writer.write(
                leaving=self._is_stopping(), whole=False, duties=entries
            )
            session.connection.send(heartbeat)

    def _send_objects(self, session: PeerSession, fetch: ObjectsFetch) -> None:
        # The peer must know them before it takes its list for complete.
        self._streams.send_unnamed(session)
        self._exchange.send_objects(session, fetch)

    def _handle_heartbeat(
        self, session: PeerSession, heartbeat: GatewayHeartbeat
    ) -> None:
        session.leaving = heartbeat.leaving
        session.watching = heartbeat.watching
        session.knows_caches = heartbeat.knows_caches
        session.reached_zones = heartbeat.reach
        session.last_seen_ms = self._clock.now_ms()
        self._loads.merge_heartbeat(
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
        missed = self._updates.merge(session, heartbeat, len(self._sessions))
        self._send_updates(missed, [session])
        if self._duties is not None and heartbeat.duties:
            self._duties.merge_report(session, heartbeat.duties)
        for kind, revision in heartbeat.revisions.items():
            self._exchange.check_revision(session, kind, revision)

    def _send_updates(
        self,
        updates: PeerUpdates,
        sessions: Iterable[PeerSession],
    ) -> None:
        if updates.is_empty:
            return
        heartbeat = self._writer.write(
            leaving=self._is_stopping(), whole=False, updates=updates
        )
        _send_to_all(sessions, heartbeat)

    def _handle_zone_loads(
        self, session: PeerSession, loads: ZoneLoads
    ) -> None:
        self._loads.merge_zone_loads(session, loads, self._sessions.values())

    def _has_new_objects(self) -> bool:
        return self._sent_revisions != self._exchange.revisions


def _send_to_all(sessions: Iterable[PeerSession], message: Message) -> None:
    frame = encode(message)
    for session in sessions:
        session.connection.send_frame(frame)
