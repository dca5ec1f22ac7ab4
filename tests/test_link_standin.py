"""The loopback proxy of the soak: what its callers see of a failure."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent.server import StreamServer

from standins.link import Link

if TYPE_CHECKING:
    from collections.abc import Iterator

RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def echo_until_reset(sock: socket.socket, _peer: object) -> None:
    """Send back what comes; reset the connection on a question mark."""
    while received := sock.recv(100):
        sock.sendall(received)
        if received.endswith(b'?'):
            gevent.sleep(0.05)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return


@pytest.fixture
def link() -> Iterator[Link]:
    """Give a link to a server that echoes."""
    server = StreamServer(('127.0.0.1', 0), echo_until_reset)
    server.start()
    link = Link(target=f'127.0.0.1:{server.server_port}')
    yield link
    link.close()
    server.stop(timeout=0)


def connect(link: Link) -> socket.socket:
    """Open a connection through a link and use it once."""
    host, _colon, port = link.address.rpartition(':')
    sock = socket.create_connection((host, int(port)), 5)
    sock.sendall(b'hello')
    assert sock.recv(100) == b'hello'
    return sock


def test_reset_of_the_target_is_no_orderly_end(link: Link):
    with connect(link) as sock:
        sock.sendall(b'half?')
        assert sock.recv(100) == b'half?'
        with pytest.raises(ConnectionResetError):
            sock.recv(100)


def test_reset_of_the_link_is_no_orderly_end(link: Link):
    with connect(link) as sock:
        link.reset()
        with pytest.raises(ConnectionResetError):
            sock.recv(100)


def test_orderly_end_stays_orderly(link: Link):
    with connect(link) as sock:
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(100) == b''
