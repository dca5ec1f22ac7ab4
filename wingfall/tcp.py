"""What wingfall's TCP sockets need beyond the standard library."""

from __future__ import annotations

import enum
import errno
import fcntl
import os
import socket
import struct
import sys
import termios
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from gevent.baseserver import BaseServer

# Bytes that are sent within one timeout of a socket.
_PIECE_BYTES: Final = 65_536
# Milliseconds for which what was sent may stay unconfirmed, and seconds between
# probes of an idle connection. With both a VM that has gone silent is noticed
# after some two seconds.
_UNCONFIRMED_MS: Final = 1500
_PROBE_S: Final = 1
# Bytes of a count of the kernel.
_COUNT_BYTES: Final = 4
# Fields of the kernel's ``struct tcp_info``: their offsets in bytes. The first
# one is a byte, the others are 32 bits long.
_STATE_OFFSET: Final = 0
_UNANSWERED_PROBES_OFFSET: Final = 3
_IN_FLIGHT_OFFSET: Final = 24
_LAST_ACK_OFFSET: Final = 56
_TCP_INFO_BYTES: Final = 104
# States of a connection in which the peer sends nothing more: it has closed its
# side or reset the connection (the kernel's TCP_CLOSE_WAIT and TCP_CLOSE).
_CLOSED_STATES: Final = frozenset((7, 8))
# Options of a socket whose close sends a reset and drops unsent bytes.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class SocketState(enum.Enum):
    """What the reading side of a connection shows."""

    open = 'open'  # Nothing waits to be read, and the peer has not closed.
    unread = 'unread'  # Bytes wait; behind them the peer may have closed.
    ended = 'ended'  # The peer has closed, or the socket is closed or failed.


@final
class PeerState:
    """What the kernel knows of the peer of a connection."""

    __slots__ = ('in_flight', 'last_ack_ms', 'unanswered_probes')

    def __init__(
        self, *, in_flight: int, last_ack_ms: int, unanswered_probes: int
    ) -> None:
        """Initialize the state.

        :param in_flight: packets that were sent and not confirmed.
        :param last_ack_ms: milliseconds since the peer confirmed anything.
        :param unanswered_probes: probes of a closed window without an answer.
        """
        self.in_flight = in_flight
        self.last_ack_ms = last_ack_ms
        self.unanswered_probes = unanswered_probes


def silence_options(unanswered: int) -> list[tuple[int, int, int]]:
    """Give the options of a socket that notices a silent VM.

    :param unanswered: probes in a row without an answer that end it.
    :returns: level, name and figure of each option, Nagle's algorithm off.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, unanswered),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNCONFIRMED_MS),
    ]


def set_no_delay(sock: socket.socket) -> None:
    """Turn Nagle's algorithm off.

    Left on, a small answer waits some 40 ms for a delayed acknowledgement.

    :param sock: a TCP socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send_all(sock: socket.socket, encoded: bytes) -> None:
    """Send bytes as long as they move.

    The socket's timeout bounds each piece of 64 KB. A bound of the whole would
    cut what a slow link still carries, and what was sent would be lost.

    :param sock: a socket with a timeout.
    :param encoded: the bytes.
    :raises OSError: if a piece does not leave in time, or the peer is gone.
    """
    view = memoryview(encoded)
    for start in range(0, len(view), _PIECE_BYTES):
        sock.sendall(view[start : start + _PIECE_BYTES])


def count_unconfirmed(sock: socket.socket) -> int:
    """Return how many of the written bytes the peer has not confirmed.

    :param sock: a connected socket.
    :returns: bytes that are in flight or wait for room at the peer.
    :raises OSError: if the socket is closed.
    """
    descriptor = sock.fileno()
    if descriptor < 0:
        raise OSError(errno.EBADF, os.strerror(errno.EBADF))
    counted = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_COUNT_BYTES))
    return _read_count(counted, 0)


def read_peer_state(sock: socket.socket) -> PeerState:
    """Return what the kernel knows of the peer.

    :param sock: a connected socket.
    :returns: the state of the peer.
    """
    told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return PeerState(
        in_flight=_read_count(told, _IN_FLIGHT_OFFSET),
        last_ack_ms=_read_count(told, _LAST_ACK_OFFSET),
        unanswered_probes=told[_UNANSWERED_PROBES_OFFSET],
    )


def has_peer_closed(sock: socket.socket) -> bool:
    """Check if the peer has closed, even if bytes wait to be read.

    :param sock: a connected socket.
    :returns: whether its end has arrived, or the socket is closed.
    """
    try:
        told = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
    except OSError:
        return True
    return told[_STATE_OFFSET] in _CLOSED_STATES


def limit_unconfirmed(sock: socket.socket, *, is_limited: bool) -> None:
    """Set or remove the limit that ends a connection without confirmations.

    The kernel also ends a connection whose peer confirms each probe but has
    no room for more bytes.

    :param sock: a connected socket.
    :param is_limited: whether the limit of :func:`silence_options` applies.
    """
    limit_ms = _UNCONFIRMED_MS if is_limited else 0
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def reset(sock: socket.socket) -> None:
    """Close a connection at once; bytes that the peer lacks are dropped.

    :param sock: a connected socket.
    """
    reset_on_close(sock)
    sock.close()


def reset_on_close(sock: socket.socket) -> None:
    """Have a connection reset as it is closed.

    :param sock: a connected socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _read_count(told: bytes, offset: int) -> int:
    return int.from_bytes(told[offset : offset + _COUNT_BYTES], sys.byteorder)


def listening_port(server: BaseServer) -> int:
    """Return the port that a server listens on.

    :param server: the server.
    :returns: the port, 0 while it has no socket.
    """
    return 0 if server.closed else int(server.socket.getsockname()[1])


def peek_state(sock: socket.socket) -> SocketState:
    """Return what is known of a connection, without taking bytes.

    :param sock: a connected socket.
    :returns: the state of its reading side.
    :raises OSError: if the connection has failed; the kernel reports that once,
        so a later read gets the end of the connection without an error.
    """
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    plain = getattr(sock, '_sock', sock)
    try:
        has_bytes = bool(plain.recv(1, flags))
    except BlockingIOError:
        return SocketState.open
    return SocketState.unread if has_bytes else SocketState.ended


def read_state(sock: socket.socket) -> SocketState:
    """Return what is known of a connection that nobody reads.

    :param sock: a connected socket.
    :returns: the state of its reading side.
    """
    try:
        return peek_state(sock)
    except OSError:
        return SocketState.ended


def is_readable(sock: socket.socket) -> bool:
    """Check if bytes or an end wait to be read, without taking them.

    :param sock: a connected socket.
    :returns: whether a read would not block.
    """
    return read_state(sock) is not SocketState.open


def peer_closed(sock: socket.socket) -> bool:
    """Check if the other side has closed, without taking bytes.

    :param sock: the caller's socket.
    :returns: whether nothing more can come from it.
    """
    return read_state(sock) is SocketState.ended
