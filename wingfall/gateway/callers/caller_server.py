"""Server for callers' connections.

Owns the listener and the set of open connections. Each connection serves its
own requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from gevent.pool import Pool as GreenletPool
from gevent.server import StreamServer

from wingfall.descriptor_limit import fit_callers
from wingfall.gateway.callers.caller_connection import CallerConnection
from wingfall.gateway.callers.caller_end import close_unread
from wingfall.gateway.callers.caller_memory import CallerMemory
from wingfall.gateway.callers.early_listener import BACKLOG
from wingfall.gateway.callers.memory_plan import plan_memory
from wingfall.gateway.rules.planned_stop import StopAdmission
from wingfall.tcp import listening_port

if TYPE_CHECKING:
    import socket
    from types import SimpleNamespace

    from wingfall.gateway.state import GatewayState


@final
class CallerServer:
    """Accepts callers' connections and tracks the open ones."""

    __slots__ = ('_connections', '_server', '_state', '_stop', 'memory')

    def __init__(
        self,
        *,
        address: SimpleNamespace,
        listener: socket.socket | None,
        state: GatewayState,
        memory_mb: int,
    ) -> None:
        """Create a server that accepts no connections yet.

        :param address: ``host`` and ``port`` to listen on.
        :param listener: socket that already listens there, None if none does.
        :param state: state that the connections share.
        :param memory_mb: memory limit in the settings, 0 to find it.
        """
        plan = plan_memory(memory_mb)
        # Memory that the requests of all connections share.
        self.memory = CallerMemory(plan=plan, clock=state.clock)
        self._state = state
        self._connections: set[CallerConnection] = set()
        self._stop = StopAdmission()
        self._server = StreamServer(
            listener or (address.host, address.port),
            self._serve_connection,
            backlog=None if listener else BACKLOG,
            spawn=GreenletPool(fit_callers(plan.max_connections)),
        )

    @property
    def port(self) -> int:
        """Port number of the listener, 0 while there is none."""
        return listening_port(self._server)

    @property
    def is_listening(self) -> bool:
        """Whether connections reach this gateway."""
        return not self._server.closed

    @property
    def active_calls(self) -> int:
        """Number of calls in progress."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open."""
        return not self._connections

    def listen(self) -> None:
        """Bind the port; connections wait until :meth:`start`.

        :raises OSError: if the port can't be bound.
        """
        self._server.init_socket()

    def start(self) -> None:
        """Start accepting connections in the background."""
        self.memory.log_plan()
        self._server.start()

    def begin_stop(self, at_ms: int) -> None:
        """Refuse requests that may not end before a planned stop.

        :param at_ms: time of the clock in milliseconds at which the requests
            in progress are ended.
        """
        self._stop.begin(at_ms)

    def stop_accepting(self) -> None:
        """Stop accepting connections; open connections continue."""
        self._server.close()

    def close_idle_connections(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def end_calls(self) -> None:
        """End the requests in progress with answers, where none has begun."""
        for connection in list(self._connections):
            connection.end_call()

    def stop(self) -> None:
        """Terminate all connections immediately."""
        self._server.stop(timeout=0)

    def _serve_connection(
        self, sock: socket.socket, _peer: tuple[str, int]
    ) -> None:
        # The connection and what it holds are no longer needed then.
        if self._run_connection(sock):
            close_unread(sock, self._state.clock)

    def _run_connection(self, sock: socket.socket) -> bool:
        connection = CallerConnection(
            sock=sock, state=self._state, stop=self._stop, memory=self.memory
        )
        self._connections.add(connection)
        try:
            return connection.run()
        finally:
            self._connections.discard(connection)
