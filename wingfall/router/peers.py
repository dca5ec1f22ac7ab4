"""Routers talk to routers: versions, configuration, customers' demand."""

from __future__ import annotations

import hashlib
import socket
from typing import TYPE_CHECKING, Final, final

import gevent
from gevent.server import StreamServer

from wingfall.clock import MS_PER_S
from wingfall.config.fetcher import answer_fetch
from wingfall.decision.customer_limits import Demand
from wingfall.errors import WireError
from wingfall.log import part_logger
from wingfall.supervisor import Backoff
from wingfall.tcp import listening_port
from wingfall.wire.connection import Connection
from wingfall.wire.handshake import accept_peer, greet_peer, welcome_peer
from wingfall.wire.peer_messages import ConfigFetch, ConfigPage, PeerState

if TYPE_CHECKING:
    from types import SimpleNamespace

    from wingfall.config.copy import ConfigCopy
    from wingfall.config.fetcher import ConfigFetcher
    from wingfall.decision.customer_limits import CustomerLimits
    from wingfall.supervisor import Supervisor
    from wingfall.wire.handshake import Identity
    from wingfall.wire.message import Message

_STATE_MS: Final = 1000
_SILENCE_MS: Final = 4000
_CONNECT_S: Final = 2
_MILLI: Final = 1000

logger = part_logger('router.peers')


@final
class PeerSession:
    """One connection to another router, whoever opened it."""

    __slots__ = ('_connection', 'name', 'state')

    def __init__(self, *, name: str, connection: Connection) -> None:
        """Take over a proved connection.

        :param name: name of the peer.
        :param connection: the connection.
        """
        self.name = name
        self.state: PeerState | None = None
        self._connection = connection

    def send(self, message: Message) -> None:
        """Send a message.

        :param message: the message.
        """
        self._connection.send(message)

    def close(self) -> None:
        """End the connection."""
        self._connection.close()


@final
class Peers:
    """All sessions with other routers, and what they tell."""

    __slots__ = (
        '_copy',
        '_fetcher',
        '_followed',
        '_identity',
        '_leaving',
        '_limits',
        '_server',
        '_sessions',
        '_settings',
        '_supervisor',
        '_told',
        '_zone',
    )

    def __init__(
        self,
        *,
        settings: SimpleNamespace,
        zone: str,
        identity: Identity,
        copy: ConfigCopy,
        fetcher: ConfigFetcher,
        limits: CustomerLimits,
        supervisor: Supervisor,
    ) -> None:
        """Create the sessions of a router that doesn't listen yet.

        :param settings: section ``peers`` of the settings.
        :param zone: availability zone of this router.
        :param identity: who this router is.
        :param copy: the configuration.
        :param fetcher: fetches it from peers.
        :param limits: customers' limits.
        :param supervisor: keeps the connections.
        """
        self._settings = settings
        self._zone = zone
        self._identity = identity
        self._copy = copy
        self._fetcher = fetcher
        self._limits = limits
        self._supervisor = supervisor
        self._sessions: set[PeerSession] = set()
        self._leaving = False
        self._told = 0
        # Addresses that a connection is kept to.
        self._followed: set[str] = set()
        self._server = StreamServer(
            (settings.host, settings.port),
            self._accept,
        )
        copy.listen(self._tell_change)

    @property
    def port(self) -> int:
        """Port for peers, that of the settings while it is closed."""
        return listening_port(self._server) or int(self._settings.port)

    @property
    def states(self) -> dict[str, PeerState]:
        """Last state of each connected peer, by name."""
        return {
            session.name: session.state
            for session in self._sessions
            if session.state is not None and not session.state.leaving
        }

    @property
    def holds_watch(self) -> bool:
        """Whether this router is among those of its zone that watch."""
        names = [
            name
            for name, state in self.states.items()
            if state.zone == self._zone
        ]
        names.append(self._identity.name)
        names.sort(key=_rank)
        return self._identity.name in names[: self._settings.watchers]

    def start(self) -> None:
        """Connect to other routers from now on."""
        self._supervisor.start('peer_states', self._tell_states)
        self.follow(set())

    def listen(self) -> None:
        """Bind the port and accept connections.

        :raises OSError: if the port can't be bound.
        """
        self._server.start()

    def follow(self, addresses: set[str]) -> None:
        """Keep connections to the seeds and to these peers, and no others.

        :param addresses: ``host:port`` of each; this router's own is left out.
        """
        own = f'{self._settings.host}:{self.port}'
        wanted = (addresses | set(self._settings.seeds)) - {own}
        fresh = wanted - self._followed
        self._followed = wanted
        for address in fresh:
            self._connect(address)

    def leave(self) -> None:
        """Tell the peers that this router is stopping."""
        self._leaving = True
        self._tell()

    def stop(self) -> None:
        """End all connections."""
        self._server.stop(timeout=0)
        for session in list(self._sessions):
            session.close()

    def _connect(self, address: str) -> None:
        host, _colon, port = address.rpartition(':')
        self._supervisor.start(
            f'peer {address}',
            lambda: self._keep(address, host.strip('[]'), int(port)),
        )

    def _keep(self, address: str, host: str, port: int) -> None:
        backoff = Backoff()
        while address in self._followed and not self._supervisor.stopped:
            if self._connect_once(host, port):
                backoff.reset()
            gevent.sleep(backoff.take_ms() / MS_PER_S)

    def _connect_once(self, host: str, port: int) -> bool:
        try:
            sock = socket.create_connection((host, port), timeout=_CONNECT_S)
        except OSError:
            return False
        connection = Connection(sock=sock)
        try:
            welcome = greet_peer(
                self._identity,
                connection,
                self._copy.version,
            )
            self._serve(welcome.name, connection)
        except WireError as error:
            logger.warning('Peer %s:%d: %s.', host, port, error)
        finally:
            connection.close()
        return True

    def _accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        connection = Connection(sock=sock)
        try:
            hello = accept_peer(self._identity, connection)
            welcome_peer(self._identity, connection, hello)
            self._serve(hello.name, connection)
        except WireError as error:
            logger.warning('Closed %s: %s.', peer[0], error)
        finally:
            connection.close()

    def _serve(self, name: str, connection: Connection) -> None:
        session = PeerSession(name=name, connection=connection)
        connection.set_timeout(_SILENCE_MS)
        self._sessions.add(session)
        logger.info('Peer %s connected.', name)
        session.send(self._state())
        try:
            for message in connection.receive():
                self._receive(session, message)
        finally:
            self._sessions.discard(session)
            logger.info('Peer %s is gone.', name)

    def _receive(self, session: PeerSession, message: Message) -> None:
        if isinstance(message, PeerState):
            session.state = message
            self._fetcher.note_version(session, message.config_version)
        elif isinstance(message, ConfigFetch):
            answer_fetch(self._copy, message, session.send)
        elif isinstance(message, ConfigPage):
            self._fetcher.note_page(session, message)

    def _tell_states(self) -> None:
        while not self._supervisor.stopped:
            self._limits.tick()
            self._hear_demands()
            self._tell()
            gevent.sleep(_STATE_MS / MS_PER_S)

    def _hear_demands(self) -> None:
        states = self.states.values()
        demands = [
            Demand(customer=str(name), per_s=int(milli) / _MILLI)
            for state in states
            for name, milli in state.demands
        ]
        self._limits.hear(len(states) + 1, demands)

    def _tell_change(self) -> None:
        # One message a turn of the loop, however many changes it brought.
        if self._told != self._copy.version:
            self._told = self._copy.version
            gevent.spawn(self._tell)

    def _tell(self) -> None:
        state = self._state()
        for session in list(self._sessions):
            session.send(state)

    def _state(self) -> PeerState:
        return PeerState(
            zone=self._zone,
            config_version=self._copy.version,
            leaving=self._leaving,
            demands=[
                [demand.customer, int(demand.per_s * _MILLI)]
                for demand in self._limits.demands()
            ],
        )


def _rank(name: str) -> bytes:
    return hashlib.sha256(name.encode()).digest()
