"""Connections between gateways: who is connected, and who watches the store.

Owns the sessions and the port for peers; one session is kept with each peer.
What is said over them is the matter of
:mod:`wingfall.gateway.peers.heartbeats`.
"""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Callable, Final, final

import gevent
from gevent.server import StreamServer

from wingfall.clock import MS_PER_S
from wingfall.errors import WireError
from wingfall.gateway.peers.heartbeat_schedule import TICK_MS, silence_ms
from wingfall.gateway.peers.heartbeats import Heartbeats, NewsKind
from wingfall.gateway.peers.objects.object_exchange import ObjectExchange
from wingfall.gateway.peers.peer_addresses import PeerAddresses
from wingfall.gateway.peers.peer_dialer import PeerDialer
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.gateway.peers.peer_view import PeerView
from wingfall.log import log_event
from wingfall.wire.connection import Connection
from wingfall.wire.gateway_messages import GatewayHello

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

# Bits of the number drawn at a start: two starts never draw the same.
_INCARNATION_BITS: Final = 48


@final
class GatewayPeers:
    """All sessions with other gateways."""

    __slots__ = (
        '_address',
        '_addresses',
        '_bounds',
        '_clock',
        '_heartbeats',
        '_incarnation',
        '_metrics',
        '_name',
        '_server',
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
        watches: Callable[[], bool],
        is_stopping: Callable[[], bool],
        duties: DutyExchange | None = None,
    ) -> None:
        """Bind the address.

        :param name: name of this gateway.
        :param address: ``host:port`` for peers.
        :param zone: its availability zone.
        :param seeds: addresses that some gateways may be found at.
        :param clock: the time.
        :param metrics: where connected peers are counted.
        :param bounds: what all gateways together must keep to.
        :param knowledge: what this gateway knows of endpoints.
        :param replicas: the objects that gateways give each other.
        :param transfer: learns what engines keep from a peer.
        :param supervisor: keeps the connections.
        :param watches: whether this gateway hears the store's changes.
        :param is_stopping: whether a planned stop has begun.
        :param duties: tells what the duties need, None without duties.
        """
        self._name = name
        self._incarnation = random.getrandbits(_INCARNATION_BITS)
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._bounds = bounds
        self._transfer = transfer
        self._supervisor = supervisor
        self._sessions: dict[str, PeerSession] = {}
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
            watches=watches,
            is_stopping=is_stopping,
            duties=duties,
        )
        host, _colon, port = address.rpartition(':')
        self._server = StreamServer((host, int(port)), self._accept)
        self._server.init_socket()
        self._address = f'{host}:{self._server.socket.getsockname()[1]}'
        self._addresses = PeerAddresses(own=self._address, seeds=seeds)
        self._view = PeerView(
            name=name,
            clock=clock,
            sessions=self._sessions,
            addresses=self._addresses,
        )

    @property
    def address(self) -> str:
        """``host:port`` where peers connect."""
        return self._address

    @property
    def names(self) -> list[str]:
        """Names of the connected peers."""
        return sorted(self._sessions)

    @property
    def view(self) -> PeerView:
        """What is seen of the others, for who stands for what."""
        return self._view

    def start(self) -> None:
        """Accept and connect from now on."""
        self._share_bounds()
        self._server.start()
        self._supervisor.start('heartbeats', self._send_heartbeats)
        for kind in NewsKind:
            body = functools.partial(self._tell_forever, kind)
            self._supervisor.start(kind, body)
        self._supervisor.start('dials', self._dial_forever)

    def learn(self, addresses: Iterable[str]) -> None:
        """Connect to further gateways.

        :param addresses: where they may be found.
        """
        self._addresses.add(addresses)
        self._share_bounds()

    def leave(self) -> None:
        """Tell the peers that this gateway is stopping."""
        self._heartbeats.tell(leaving=True, whole=True)

    def tell_last_counts(self) -> None:
        """Tell what this gateway has counted, before it ends."""
        sessions = list(self._sessions.values())
        self._heartbeats.tell_duties(sessions, at_once=True)

    def stop(self) -> None:
        """End all connections."""
        self._server.stop(timeout=0)
        for session in list(self._sessions.values()):
            session.connection.close()

    def _dial_forever(self) -> None:
        dialer = PeerDialer(
            addresses=self._addresses,
            connected=lambda: (
                each.address for each in self._sessions.values()
            ),
            run=lambda sock: self._run(sock, dialed=True),
            supervisor=self._supervisor,
        )
        dialer.dial_forever(self._share_bounds)

    def _accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        self._run(sock, dialed=False)

    def _run(self, sock: socket.socket, *, dialed: bool) -> None:
        connection = Connection(sock=sock)
        connection.allow_large()
        connection.set_timeout(silence_ms(len(self._sessions)))
        connection.send(self._hello())
        session: PeerSession | None = None
        try:
            for message in connection.receive():
                if session is not None:
                    self._heartbeats.receive(session, message)
                    continue
                session = self._begin(message, connection, dialed=dialed)
                if session is None:
                    break
        except WireError as error:
            _log_cut(session, error)
        finally:
            connection.close()
            self._end(session)

    def _begin(
        self,
        message: Message,
        connection: Connection,
        *,
        dialed: bool,
    ) -> PeerSession | None:
        if not isinstance(message, GatewayHello):
            raise WireError('no hello')
        session = PeerSession(
            hello=message,
            connection=connection,
            dialed=dialed,
        )
        self.learn([message.address, *message.known])
        known = self._sessions.get(session.name)
        if known is not None and not session.replaces(known, self._name):
            return None
        self._sessions[session.name] = session
        if known is not None:
            known.connection.close()
            log_event('peers', 'A peer is connected anew.', peer=session.name)
        self._share_bounds()
        log_event('peers', 'A peer is connected.', peer=session.name)
        self._heartbeats.greet(session)
        return session

    def _end(self, session: PeerSession | None) -> None:
        if session is None or self._sessions.get(session.name) is not session:
            return
        self._sessions.pop(session.name)
        self._heartbeats.forget(session)
        self._transfer.note_sessions(len(self._sessions), self._addresses.count)
        self._share_bounds()
        log_event(
            'peers',
            'A peer is gone.',
            peer=session.name,
            reason=session.connection.fault,
        )

    def _share_bounds(self) -> None:
        self._metrics.links.set({}, len(self._sessions))
        self._bounds.note_sessions(self._sessions, self._addresses.count)

    def _tell_forever(self, kind: NewsKind) -> None:
        while not self._supervisor.stopped:
            self._heartbeats.tell_news(kind)

    def _send_heartbeats(self) -> None:
        while not self._supervisor.stopped:
            self._share_bounds()
            self._heartbeats.step()
            gevent.sleep(TICK_MS / MS_PER_S)

    def _hello(self) -> GatewayHello:
        return GatewayHello(
            name=self._name,
            address=self._address,
            known=self._addresses.name_some(),
            zone=self._zone,
            incarnation=self._incarnation,
        )


def _log_cut(session: PeerSession | None, error: WireError) -> None:
    log_event(
        'peers',
        'A peer was cut off.',
        # Without a name if it was cut before it said hello.
        peer=session.name if session else None,
        reason=str(error),
    )
