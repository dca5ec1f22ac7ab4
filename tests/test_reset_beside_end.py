"""A reset of one answer at the moment at which another one ends well."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import pytest
from gevent.server import StreamServer

from tests.local_site import wait_until
from tests.test_gateway_streams import PROMPT
from wingfall.tcp import reset

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from tests.gateway_site import CallerStandIn, GatewaySite

EVENT: Final = b'id: 1\ndata: a\n\n'


@final
class BegunStreams:
    """An endpoint that begins streams without a length."""

    def __init__(self) -> None:
        """Listen on loopback."""
        self.sockets: list[socket.socket] = []
        self._server = StreamServer(('127.0.0.1', 0), self._begin)
        self._server.do_close = lambda *_accepted: None
        self._server.start()

    @property
    def address(self) -> str:
        """``host:port`` where it listens."""
        return f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        """Close all sockets."""
        self._server.stop(timeout=0)
        for sock in self.sockets:
            sock.close()

    def _begin(self, sock: socket.socket, _peer: object) -> None:
        received = sock.recv(65_536)
        if not received:
            return
        lines = received.split(b'\r\n')
        (own_id,) = (
            line for line in lines if line.lower().startswith(b'x-attempt-id:')
        )
        head = (
            b'HTTP/1.1 200 OK',
            b'Content-Type: text/event-stream',
            b'X-Response-Seal: seal.one',
            own_id,
        )
        sock.sendall(b'\r\n'.join((*head, b'', EVENT)))
        self.sockets.append(sock)


@pytest.fixture
def endpoint(gateway_site: GatewaySite) -> Iterator[BegunStreams]:
    """Return the only engine of a site with a gateway."""
    running = BegunStreams()
    gateway_site.add_server('one', 'engines').stop()
    entry = gateway_site.make_entry('one', 'engines', address=running.address)
    gateway_site.store.put('servers', 'one', entry)
    gateway_site.add_gateway()
    yield running
    running.close()


def begin(
    site: GatewaySite, endpoint: BegunStreams, call_id: str
) -> tuple[CallerStandIn, socket.socket]:
    """Begin a stream; return its caller and the endpoint's socket."""
    known = len(endpoint.sockets)
    caller = site.caller()
    caller.send('/oneway/x', method='POST', X_Attempt_Id=call_id, **PROMPT)
    wait_until(lambda: len(endpoint.sockets) > known)
    return caller, endpoint.sockets[known]


# Which of two connections is read first follows from the order of their ends.
@pytest.mark.parametrize('is_reset_first', [True, False])
def test_reset_stream_is_not_complete_where_another_one_ends(
    gateway_site: GatewaySite, endpoint: BegunStreams, *, is_reset_first: bool
):
    first, ending = begin(gateway_site, endpoint, 'a1')
    second, broken = begin(gateway_site, endpoint, 'a2')
    if is_reset_first:
        reset(broken)
    ending.close()
    if not is_reset_first:
        reset(broken)
    assert first.receive().whole
    assert not second.receive().whole
