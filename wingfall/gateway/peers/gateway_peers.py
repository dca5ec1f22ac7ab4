"""Connections of a gateway to its peers.

Owns the sessions, one per connected peer, and the port for peers. The
messages of a session are handled by :mod:`wingfall.gateway.peers.heartbeats`.
"""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Callable, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.errors import WireError
from wingfall.gateway.peers.heartbeat_schedule import (
    TICK_MS,
    silence_timeout_ms,
)
from wingfall.gateway.peers.heartbeats import Heartbeats, UpdateKind
from wingfall.gateway.peers.objects.object_exchange import ObjectExchange
from wingfall.gateway.peers.peer_addresses import PeerAddresses
from wingfall.gateway.peers.peer_dialer import PeerDialer
from wingfall.gateway.peers.peer_port import PeerPort
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.gateway.peers.peer_view import PeerView
from wingfall.gateway.peers.streams.stream_exchange import StreamExchange
from wingfall.log import log_event
from wingfall.wire.connection import (
    Connection,
    SendQueues,
    make_message_memory,
)
from wingfall.wire.gateway_messages import (
    HISTORY_FEATURE,
    STREAMS_FEATURE,
    GatewayHello,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.configuration.replica import ObjectReplica
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer
    from wingfall.gateway.peers.duty_exchange import DutyExchange
    from wingfall.gateway.peers.shared_bounds import SharedBounds
    from wingfall.metrics import Metrics
    from wingfall.supervisor import Supervisor
    from wingfall.wire.message import Message

# Bits of the random number that distinguishes two starts of a gateway.
_INCARNATION_BITS: Final = 48
# Largest message of a connection that has not sent the hello of a gateway;
# earlier versions named all gateways in it.
_MAX_HELLO_BYTES: Final = 65_536


@final
class GatewayPeers:
    """The sessions of this gateway with its peers."""

    __slots__ = (
        '_addresses',
        '_bounds',
        '_clock',
        '_heartbeats',
        '_incarnation',
        '_memory',
        '_queues',
        '_metrics',
        '_name',
        '_port',
        '_streams',
        '_sessions',
        '_supervisor',
        '_transfer',
        '_view',
        '_zone',
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        seeds: Iterable[str],
        clock: Clock,
        metrics: Metrics,
        bounds: SharedBounds,
        knowledge: EndpointKnowledge,
        replicas: Iterable[ObjectReplica],
        transfer: PartsTransfer,
        supervisor: Supervisor,
        is_watching: Callable[[], bool],
        is_stopping: Callable[[], bool],
        queues: SendQueues,
        duties: DutyExchange | None = None,
        announced: str = '',
    ) -> None:
        """Create the connections of a gateway that doesn't listen yet.

        :param name: name of this gateway.
        :param address: ``host:port`` to listen on for peers.
        :param zone: availability zone of this gateway.
        :param seeds: addresses of other gateways from the settings.
        :param clock: clock of this gateway.
        :param metrics: records the number of connected peers.
        :param bounds: limits that all gateways share.
        :param knowledge: state of the endpoints.
        :param replicas: objects that gateways send each other.
        :param transfer: fetches cached prompt parts from a peer.
        :param supervisor: runs the background loops.
        :param is_watching: whether this gateway receives the store's changes.
        :param is_stopping: whether a planned stop has begun.
        :param queues: messages that are queued for all peers.
        :param duties: exchanges data of the duties, None without duties.
        :param announced: ``host:port`` that peers connect to, empty if they
            connect to the address that this gateway listens on.
        """
        self._name = name
        # Memory that the long messages of all peers share.
        self._memory = make_message_memory()
        self._queues = queues
        self._incarnation = random.getrandbits(_INCARNATION_BITS)
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._bounds = bounds
        self._transfer = transfer
        self._supervisor = supervisor
        self._sessions: dict[str, PeerSession] = {}
        self._streams = StreamExchange(
            clock=clock,
            origins=knowledge.streams,
            versions=knowledge.versions,
            sessions=self._sessions,
            get_known_count=lambda: self._addresses.count,
        )
        self._heartbeats = Heartbeats(
            name=name,
            zone=zone,
            clock=clock,
            knowledge=knowledge,
            sessions=self._sessions,
            exchange=ObjectExchange(
                replicas=replicas,
                clock=clock,
                zone=zone,
            ),
            transfer=transfer,
            streams=self._streams,
            watches=is_watching,
            is_stopping=is_stopping,
            duties=duties,
        )
        self._port = PeerPort(
            address=address, announced=announced, accept=self._accept
        )
        self._addresses = PeerAddresses(
            own=self._port.own_addresses, seeds=seeds
        )
        self._view = PeerView(
            name=name,
            clock=clock,
            sessions=self._sessions,
            addresses=self._addresses,
        )

    @property
    def address(self) -> str:
        """``host:port`` that peers connect to."""
        return self._port.address

    @property
    def names(self) -> list[str]:
        """Sorted names of the connected peers."""
        return sorted(self._sessions)

    @property
    def gateway_count(self) -> int:
        """Number of gateways that are connected or known, with this one."""
        return max(len(self._sessions), self._addresses.count) + 1

    @property
    def view(self) -> PeerView:
        """View of the peers, for the store watch and the lease."""
        return self._view

    @property
    def streams(self) -> StreamExchange:
        """Exchange of the origins of streams."""
        return self._streams

    def start(self) -> None:
        """Start to open connections."""
        self._update_bounds()
        self._supervisor.start('heartbeats', self._send_heartbeats)
        for kind in UpdateKind:
            body = functools.partial(self._send_updates_forever, kind)
            self._supervisor.start(kind, body)
        self._supervisor.start('dials', self._dial_forever)

    def listen(self) -> None:
        """Bind the port and accept connections.

        Without the port this gateway still connects to the others.

        :raises OSError: if the port can't be bound.
        """
        self._port.listen()
        self._addresses.add_own(self._port.own_addresses)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses of gateways to connect to.

        :param addresses: ``host:port`` of other gateways.
        """
        self._addresses.add(addresses)
        self._update_bounds()

    def announce_stop(self) -> None:
        """Announce to the peers that this gateway is stopping."""
        self._heartbeats.send(leaving=True, whole=True)

    def send_final_counts(self) -> None:
        """Send unreported usage counts to peers before the process ends."""
        sessions = list(self._sessions.values())
        self._heartbeats.send_duties(sessions, at_once=True)

    def stop(self) -> None:
        """Close the port and all connections."""
        self._port.stop()
        for session in list(self._sessions.values()):
            session.connection.close()

    def _dial_forever(self) -> None:
        dialer = PeerDialer(
            addresses=self._addresses,
            connected_addresses=lambda: (
                each.address for each in self._sessions.values()
            ),
            run_session=lambda sock: self._run_session(sock, dialed=True),
            supervisor=self._supervisor,
        )
        dialer.dial_forever(self._update_bounds)

    def _accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self._run_session(sock, dialed=False)

    def _run_session(self, sock: socket.socket, *, dialed: bool) -> None:
        connection = Connection(
            sock=sock,
            max_bytes=_MAX_HELLO_BYTES,
            memory=self._memory,
            queues=self._queues,
        )
        connection.set_timeout(silence_timeout_ms(len(self._sessions)))
        connection.send(self._hello())
        session: PeerSession | None = None
        try:
            for message in connection.receive():
                if session is not None:
                    self._heartbeats.receive(session, message)
                    continue
                session = self._open_session(message, connection, dialed=dialed)
                if session is None:
                    break
        except WireError as error:
            _log_session_error(session, error)
        finally:
            connection.close()
            self._remove_session(session)

    def _open_session(
        self,
        message: Message,
        connection: Connection,
        *,
        dialed: bool,
    ) -> PeerSession | None:
        if not isinstance(message, GatewayHello):
            raise WireError('the first message of a peer is not a hello')
        session = PeerSession(
            hello=message,
            connection=connection,
            dialed=dialed,
        )
        connection.allow_large()
        self._add_named_addresses(message)
        existing = self._sessions.get(session.name)
        if existing is not None and not session.replaces(existing, self._name):
            return None
        self._sessions[session.name] = session
        if existing is not None:
            existing.connection.close()
            log_event('peers', 'A peer is connected anew.', peer=session.name)
        self._update_bounds()
        log_event('peers', 'A peer is connected.', peer=session.name)
        self._heartbeats.send_full_state(session)
        return session

    def _add_named_addresses(self, hello: GatewayHello) -> None:
        left_out = self._addresses.add_named([hello.address, *hello.known])
        if left_out:
            log_event(
                'peers',
                'Addresses that a peer named were left out.',
                peer=hello.name,
                addresses=left_out,
                known=self._addresses.count,
            )

    def _remove_session(self, session: PeerSession | None) -> None:
        if session is None or self._sessions.get(session.name) is not session:
            return
        self._sessions.pop(session.name)
        self._heartbeats.forget(session)
        self._transfer.note_sessions(len(self._sessions), self._addresses.count)
        self._update_bounds()
        log_event(
            'peers',
            'A peer is gone.',
            peer=session.name,
            reason=session.connection.fault,
        )

    def _update_bounds(self) -> None:
        self._metrics.links.set({}, len(self._sessions))
        self._bounds.note_sessions(self._sessions, self._addresses.count)

    def _send_updates_forever(self, kind: UpdateKind) -> None:
        while not self._supervisor.stopped:
            self._heartbeats.send_updates(kind)

    def _send_heartbeats(self) -> None:
        while not self._supervisor.stopped:
            self._update_bounds()
            self._heartbeats.step()
            gevent.sleep(TICK_MS / MS_PER_S)

    def _hello(self) -> GatewayHello:
        return GatewayHello(
            name=self._name,
            address=self.address,
            known=self._addresses.sample(),
            zone=self._zone,
            incarnation=self._incarnation,
            features=[STREAMS_FEATURE, HISTORY_FEATURE],
        )


def _log_session_error(session: PeerSession | None, error: WireError) -> None:
    log_event(
        'peers',
        'A peer was cut off.',
        # None if the connection failed before the hello.
        peer=session.name if session else None,
        reason=str(error),
    )
