"""The port on which a gateway accepts its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, final

from gevent.server import StreamServer

from wingfall.settings.loader import parse_address
from wingfall.tcp import listening_port

if TYPE_CHECKING:
    import socket


@final
class PeerPort:
    """Listener for peers, and the address that they connect to."""

    __slots__ = ('_announced', '_listen_address', '_server')

    def __init__(
        self,
        *,
        address: str,
        announced: str,
        accept: Callable[[socket.socket, tuple[str, int]], None],
    ) -> None:
        """Create a port that is not bound yet.

        :param address: ``host:port`` to listen on.
        :param announced: ``host:port`` that peers connect to, empty if it is
            the one to listen on.
        :param accept: serves a connection.
        """
        self._announced = announced
        self._listen_address = address
        listen = parse_address(address)
        self._server = StreamServer((listen.host, listen.port), accept)

    @property
    def address(self) -> str:
        """``host:port`` that peers connect to."""
        return self._announced or self._listen_address

    @property
    def own_addresses(self) -> tuple[str, str]:
        """Addresses that lead to this gateway."""
        return self.address, self._listen_address

    def listen(self) -> None:
        """Bind the port and accept connections.

        :raises OSError: if the port can't be bound.
        """
        self._server.start()
        host = self._listen_address.rpartition(':')[0]
        # The port of the settings may be 0.
        self._listen_address = f'{host}:{listening_port(self._server)}'

    def stop(self) -> None:
        """Close the port."""
        self._server.stop(timeout=0)
