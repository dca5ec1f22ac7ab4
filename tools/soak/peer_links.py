"""The network between the gateways of a soak: a link for each pair of them.

Each gateway announces the address of a listener of the soak. A gateway that
connects there names itself in its hello, and the connection is relayed over the
link from that gateway to the one that announced the address.
"""

from __future__ import annotations

import itertools
import socket
from typing import TYPE_CHECKING, Final, final

from gevent.server import StreamServer

from standins.link import Link, LinkState
from tools.fleet import HOST
from wingfall.errors import WireError
from wingfall.wire.codec import FrameDecoder
from wingfall.wire.gateway_messages import GatewayHello

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

_READ_BYTES: Final = 65_536
# Longer than a gateway that stands still takes to name itself.
_HELLO_TIMEOUT_S: Final = 10
# The same cut as seen from the other end.
_MIRRORED: Final = {
    LinkState.cut: LinkState.cut,
    LinkState.cut_there: LinkState.cut_back,
    LinkState.cut_back: LinkState.cut_there,
}


@final
class PeerLinks:
    """Links between gateways, which cuts separate by pairs and one way."""

    def __init__(self, *, listening: Mapping[str, str]) -> None:
        """Listen for each gateway.

        :param listening: ``host:port`` where each gateway listens, by name.
        """
        self._links = {
            (dialing, dialed): Link(target=listening[dialed])
            for dialing, dialed in itertools.permutations(listening, 2)
        }
        self._listeners: dict[str, StreamServer] = {}
        for name in listening:
            listener = StreamServer((HOST, 0), self._make_handler(name))
            listener.start()
            self._listeners[name] = listener

    def address(self, gateway: str) -> str:
        """Return the address that a gateway announces.

        :param gateway: its name.
        :returns: its ``host:port``.
        """
        return f'{HOST}:{self._listeners[gateway].server_port}'

    def cut(
        self,
        gateway: str,
        others: Iterable[str],
        state: LinkState = LinkState.cut,
    ) -> None:
        """Cut a gateway off from others.

        :param gateway: its name.
        :param others: the other side of the cut.
        :param state: ``cut``, ``cut_there`` if only what it sends is lost,
            ``cut_back`` if only what it is sent is lost.
        """
        for other in others:
            self._links[gateway, other].fail(state)
            self._links[other, gateway].fail(_MIRRORED[state])

    def delay_answers(
        self, gateway: str, others: Iterable[str], delay_ms: int
    ) -> None:
        """Hold up what others send to a gateway.

        :param gateway: its name.
        :param others: those whose messages are late.
        :param delay_ms: milliseconds for each piece of bytes.
        """
        for other in others:
            self._links[gateway, other].delay_answers(delay_ms)
            self._links[other, gateway].delay_requests(delay_ms)

    def heal(self, gateway: str, *, resets: bool) -> None:
        """End all failures of the links of a gateway.

        :param gateway: its name.
        :param resets: whether connections that lost bytes are reset.
        """
        for pair, link in self._links.items():
            if gateway in pair:
                link.heal(resets=resets)

    def close(self) -> None:
        """End all links."""
        for listener in self._listeners.values():
            listener.stop(timeout=0)
        for link in self._links.values():
            link.close()

    def _make_handler(
        self, dialed: str
    ) -> Callable[[socket.socket, object], None]:
        def pass_on(sock: socket.socket, _peer: object) -> None:
            sock.settimeout(_HELLO_TIMEOUT_S)
            begun = bytearray()
            dialing = _read_name(sock, begun)
            sock.settimeout(None)
            link = self._links.get((dialing, dialed))
            if link is None:
                sock.close()
                return
            link.relay(sock, bytes(begun))

        return pass_on


def _read_name(sock: socket.socket, begun: bytearray) -> str:
    try:
        hello = next(_read_messages(sock, begun), None)
    except (OSError, WireError):
        return ''
    return hello.name if isinstance(hello, GatewayHello) else ''


def _read_messages(sock: socket.socket, begun: bytearray) -> Iterator[object]:
    decoder = FrameDecoder()
    while received := sock.recv(_READ_BYTES):
        begun += received
        yield from decoder.feed(received)
