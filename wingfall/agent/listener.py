"""Accepts the connections of routers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Callable, Final, final

from gevent.server import StreamServer

from wingfall.agent.session import Session
from wingfall.errors import WireError
from wingfall.log import part_logger
from wingfall.tcp import listening_port
from wingfall.wire.connection import Connection
from wingfall.wire.handshake import accept_peer, welcome_peer

if TYPE_CHECKING:
    from types import SimpleNamespace

    from wingfall.agent.admission import Admission
    from wingfall.agent.calls import CallTable
    from wingfall.clock import Clock
    from wingfall.metrics import Metrics
    from wingfall.wire.handshake import Identity
    from wingfall.wire.handshake_messages import Hello
    from wingfall.wire.offer_messages import Report

_USER_TIMEOUT_MS: Final = 5000
_BACKLOG: Final = 1024
_FLUSH_MS: Final = 1000

logger = part_logger('agent.listener')


@final
class RouterListener:
    """Keeps one session a router, the newest connection's."""

    __slots__ = (
        '_admission',
        '_calls',
        '_clock',
        '_identity',
        '_metrics',
        '_report',
        '_server',
        '_sessions',
    )

    def __init__(
        self,
        *,
        address: SimpleNamespace,
        identity: Identity,
        clock: Clock,
        sessions: dict[str, Session],
        admission: Admission,
        calls: CallTable,
        report: Callable[[int], Report],
        metrics: Metrics,
    ) -> None:
        """Create a listener whose port is not bound yet.

        :param address: ``host`` and ``port`` of the settings.
        :param identity: who this agent is.
        :param clock: the time.
        :param sessions: table of the open sessions, kept here.
        :param admission: decides about offers.
        :param calls: runs the calls.
        :param report: makes a report, given the router's version.
        :param metrics: where links are counted.
        """
        self._identity = identity
        self._clock = clock
        self._sessions = sessions
        self._admission = admission
        self._calls = calls
        self._report = report
        self._metrics = metrics
        self._server = StreamServer(
            (address.host, address.port),
            self._serve,
            backlog=_BACKLOG,
        )

    @property
    def port(self) -> int:
        """The port in use, 0 while there is none."""
        return listening_port(self._server)

    def start(self) -> None:
        """Bind the port and accept from now on.

        :raises OSError: if the port can't be bound.
        """
        self._server.start()

    def stop(self) -> None:
        """Accept no more and end all sessions."""
        self._server.close()
        for session in list(self._sessions.values()):
            session.connection.finish(timeout_ms=_FLUSH_MS)

    def _serve(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _USER_TIMEOUT_MS,
        )
        connection = Connection(sock=sock)
        try:
            hello = accept_peer(self._identity, connection)
            self._serve_router(connection, hello)
        except WireError as error:
            logger.warning('Closed %s: %s.', peer[0], error)
        finally:
            connection.close()

    def _serve_router(self, connection: Connection, hello: Hello) -> None:
        session = Session(
            router=hello.name,
            connection=connection,
            clock=self._clock,
            admission=self._admission,
            calls=self._calls,
            incarnation=self._identity.incarnation,
        )
        self._supersede(hello.name)
        self._sessions[hello.name] = session
        logger.info('Router %s connected.', hello.name)
        self._metrics.links.set({}, len(self._sessions))
        welcome_peer(self._identity, connection, hello)
        connection.send(self._report(hello.config_version))
        connection.set_timeout(None)
        try:
            session.serve()
        finally:
            self._lose(session)

    def _supersede(self, router: str) -> None:
        earlier = self._sessions.get(router)
        if earlier is not None:
            earlier.connection.close()
            self._lose(earlier)

    def _lose(self, session: Session) -> None:
        router = session.router
        if self._sessions.get(router) is not session:
            return
        self._sessions.pop(router)
        logger.info('Router %s is gone.', router)
        self._admission.drop_router(router)
        self._calls.orphan(router)
        self._metrics.links.set({}, len(self._sessions))
