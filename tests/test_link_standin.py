"""The loopback proxy of the soak: what its callers see of a failure."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from standins.link import Link, LinkState

if TYPE_CHECKING:
    from collections.abc import Iterator

# Long enough for bytes to pass over loopback on a busy machine.
PASSING_S = 0.3
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


@pytest.fixture
def received() -> list[bytes]:
    """Give what the target of the recording link received."""
    return []


@pytest.fixture
def recording_link(received: list[bytes]) -> Iterator[Link]:
    """Give a link to a server that records and echoes."""

    def record(sock: socket.socket, _peer: object) -> None:
        while piece := sock.recv(100):
            received.append(piece)
            sock.sendall(piece)

    server = StreamServer(('127.0.0.1', 0), record)
    server.start()
    link = Link(target=f'127.0.0.1:{server.server_port}')
    yield link
    link.close()
    server.stop(timeout=0)


def hears_nothing(sock: socket.socket) -> bool:
    """Check that neither bytes nor an end come for a while."""
    sock.settimeout(PASSING_S)
    try:
        sock.recv(100)
    except TimeoutError:
        return True
    return False


@pytest.mark.parametrize(
    ('state', 'arrives'),
    [
        (LinkState.cut, False),
        (LinkState.cut_there, False),
        (LinkState.cut_back, True),
    ],
)
def test_what_a_cut_lost_does_not_come_after_it(
    recording_link: Link, received: list[bytes], state: LinkState, arrives: bool
):
    with connect(recording_link) as sock:
        recording_link.fail(state)
        sock.sendall(b'lost')
        assert hears_nothing(sock)
        recording_link.heal(resets=False)
        sock.sendall(b'later')
        assert hears_nothing(sock)
    assert (b'lost' in received) is arrives
    assert (b'later' in received) is arrives


def test_connection_that_lost_bytes_is_reset_after_the_cut(link: Link):
    with connect(link) as sock:
        link.fail(LinkState.cut)
        sock.sendall(b'lost')
        gevent.sleep(PASSING_S)
        link.heal()
        with pytest.raises(ConnectionResetError):
            sock.recv(100)


def test_connection_that_lost_nothing_outlives_the_cut(link: Link):
    with connect(link) as sock:
        link.fail(LinkState.cut)
        gevent.sleep(PASSING_S)
        link.heal()
        sock.sendall(b'whole')
        assert sock.recv(100) == b'whole'


def test_cut_loses_what_is_in_flight(
    recording_link: Link, received: list[bytes]
):
    with connect(recording_link) as sock:
        recording_link.delay(2 * int(PASSING_S * 1000))
        sock.sendall(b'in flight')
        gevent.sleep(PASSING_S)
        recording_link.fail(LinkState.cut)
        recording_link.heal(resets=False)
        gevent.sleep(2 * PASSING_S)
        assert hears_nothing(sock)
    assert b'in flight' not in received


def test_one_way_cut_passes_the_other_way():
    sent = Event()

    def tell(sock: socket.socket, _peer: object) -> None:
        sock.sendall(sock.recv(100))
        sent.wait()
        sock.sendall(b'told')

    server = StreamServer(('127.0.0.1', 0), tell)
    server.start()
    link = Link(target=f'127.0.0.1:{server.server_port}')
    with connect(link) as sock:
        link.fail(LinkState.cut_there)
        sent.set()
        assert sock.recv(100) == b'told'
    link.close()
    server.stop(timeout=0)


@pytest.mark.parametrize('state', [LinkState.cut, LinkState.cut_there])
def test_connection_begun_in_a_cut_stays_silent(
    recording_link: Link, received: list[bytes], state: LinkState
):
    host, _colon, port = recording_link.address.rpartition(':')
    recording_link.fail(state)
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(b'hello')
        assert hears_nothing(sock)
        recording_link.heal()
        sock.settimeout(5)
        with pytest.raises(ConnectionResetError):
            sock.recv(100)
    assert not received
    connect(recording_link).close()


def test_end_of_the_target_is_not_told_over_a_cut(link: Link):
    with connect(link) as sock:
        link.fail(LinkState.cut_back)
        sock.sendall(b'end?')
        assert hears_nothing(sock)
        link.heal(resets=False)
        assert hears_nothing(sock)


def test_answers_alone_are_delayed(recording_link: Link, received: list[bytes]):
    with connect(recording_link) as sock:
        recording_link.delay_answers(5 * int(PASSING_S * 1000))
        sock.sendall(b'asked')
        assert hears_nothing(sock)
        assert received == [b'hello', b'asked']
        sock.settimeout(5)
        assert sock.recv(100) == b'asked'
