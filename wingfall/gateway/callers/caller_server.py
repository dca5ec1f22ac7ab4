"""The port for callers, and the connections that are open on it.

Owns the listener and which of its connections are open; each of them serves
itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from gevent.pool import Pool as GreenletPool
from gevent.server import StreamServer

from wingfall.gateway.callers.caller_connection import CallerConnection
from wingfall.gateway.callers.early_listener import BACKLOG
from wingfall.tcp import tcp_listener

if TYPE_CHECKING:
    import socket

    from wingfall.gateway.state import GatewayState

# Callers' connections at once; bounds the memory of a gateway.
_MAX_CALLERS: Final = 3000


@final
class CallerServer:
    """Takes callers' connections."""

    __slots__ = ('_open', '_server', '_state')

    def __init__(
        self,
        *,
        address: str,
        listener: socket.socket | None,
        state: GatewayState,
    ) -> None:
        """Bind the port.

        :param address: ``host:port`` to listen at.
        :param listener: the socket there, if it is listening already.
        :param state: what connections share.
        """
        self._state = state
        self._open: set[CallerConnection] = set()
        self._server = StreamServer(
            listener or tcp_listener(address, BACKLOG),
            self._accept,
            spawn=GreenletPool(_MAX_CALLERS),
        )

    @property
    def port(self) -> int:
        """Port of the listener."""
        return int(self._server.socket.getsockname()[1])

    @property
    def calls(self) -> int:
        """How many calls are under way."""
        return sum(connection.busy for connection in self._open)

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open."""
        return not self._open

    def start(self) -> None:
        """Start accepting, and return."""
        self._server.start()

    def stop_accepting(self) -> None:
        """Take no new connection; those that are open go on."""
        self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self._open):
            connection.close_idle()

    def stop(self) -> None:
        """End all connections now."""
        self._server.stop(timeout=0)

    def _accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        connection = CallerConnection(sock=sock, state=self._state)
        self._open.add(connection)
        try:
            connection.run()
        finally:
            self._open.discard(connection)
