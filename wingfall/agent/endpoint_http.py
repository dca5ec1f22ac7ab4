"""The connection on which an agent sends requests to its endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from wingfall.answer_head import CheckedHttpConnection
from wingfall.tcp import peer_closed, send_all

if TYPE_CHECKING:
    import weakref


@final
class EndpointHttpConnection(CheckedHttpConnection):
    """Bounds the silence of an endpoint that reads a request slowly.

    urllib3 bounds the sending of a whole request by the timeout of the connect.
    """

    def __init__(
        self,
        *rest: Any,
        write_timeout_s: float,
        connections: weakref.WeakSet[EndpointHttpConnection],
        **named: Any,
    ) -> None:
        """Initialize the connection; it is not open yet.

        :param rest: passed on to urllib3.
        :param write_timeout_s: maximum seconds for each piece of a request.
        :param connections: all connections to the endpoint, to which this one
            is added.
        :param named: passed on to urllib3.
        """
        super().__init__(*rest, **named)
        self._write_timeout_s = write_timeout_s
        connections.add(self)

    @property
    def has_ended(self) -> bool:
        """Whether the endpoint has closed it, or it is not in use."""
        return self.sock is None or peer_closed(self.sock)

    def send(self, data: bytes) -> None:  # noqa: WPS110
        """Send bytes of a request; urllib3 calls this.

        :param data: the bytes.
        """
        if self.sock is None:
            self.connect()
        self.sock.settimeout(self._write_timeout_s)
        send_all(self.sock, data)
