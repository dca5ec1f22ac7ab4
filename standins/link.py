"""A loopback proxy that delays, slows, resets, cuts or silences a link."""

from __future__ import annotations

import enum
import socket
import struct
import time
from typing import Any, Final, final

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from wingfall.tcp import set_no_delay

_READ_BYTES: Final = 65_536
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_MS: Final = 1000
# What waits in a slow link is held by its sender, as over a real one.
_SLOW_BUFFER_BYTES: Final = 32_768


class LinkState(enum.StrEnum):
    """What a link does to the bytes that it is given."""

    whole = 'whole'
    refusing = 'refusing'  # New connections are reset, old ones too.
    deaf = 'deaf'  # What callers send is held back.
    silent = 'silent'  # All bytes are held back, both ways.


@final
class Bandwidth:
    """The bytes a second that some links share, towards their callers."""

    def __init__(self, *, bytes_per_s: int) -> None:
        """Start with nothing passed.

        :param bytes_per_s: bytes a second of all links together.
        """
        self.passed_bytes = 0
        self._bytes_per_s = bytes_per_s
        self._free_s = time.monotonic()

    def take(self, count: int) -> None:
        """Wait until some bytes may pass.

        :param count: how many.
        """
        now_s = time.monotonic()
        self._free_s = max(self._free_s, now_s) + count / self._bytes_per_s
        gevent.sleep(self._free_s - now_s)
        self.passed_bytes += count


@final
class Link:
    """Passes bytes between its port and a target, as long as it is whole.

    Bytes that are held back go on once the link is whole again, as over a
    network that lost packets for a while.
    """

    def __init__(
        self,
        *,
        target: str,
        bandwidth: Bandwidth | None = None,
        has_small_buffers: bool = False,
    ) -> None:
        """Listen on a free port.

        :param target: ``host:port`` that the link leads to.
        :param bandwidth: bounds what comes back from there, None for no bound.
        :param has_small_buffers: whether the link takes little more from
            callers than its target has read.
        """
        self._has_small_buffers = has_small_buffers
        self._bandwidth = bandwidth
        host, _colon, port = target.rpartition(':')
        self._target = (host, int(port))
        self._state = LinkState.whole
        self._healed = Event()
        self._healed.set()
        self._delay_ms = 0
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """``host:port`` where the link begins."""
        return f'127.0.0.1:{self._server.server_port}'

    def fail(self, state: LinkState) -> None:
        """Begin a failure.

        :param state: the failure.
        """
        self._state = state
        self._healed.clear()
        if state is LinkState.refusing:
            self.reset()

    def delay(self, delay_ms: int) -> None:
        """Hold each piece of bytes up.

        :param delay_ms: for how long.
        """
        self._delay_ms = delay_ms

    def heal(self) -> None:
        """Be whole again."""
        self._state = LinkState.whole
        self._delay_ms = 0
        self._healed.set()

    def reset(self) -> None:
        """Reset all connections; new ones are welcome if the link is whole."""
        for sock in list(self._sockets):
            _reset(sock)
        self._sockets.clear()

    def close(self) -> None:
        """End the link."""
        self._server.stop(timeout=0)
        self.heal()
        self.reset()

    def _serve(self, near: socket.socket, _peer: Any) -> None:
        if self._state is LinkState.refusing:
            _reset(near)
            return
        try:
            far = socket.create_connection(self._target)
        except OSError:
            _reset(near)
            return
        for sock in (near, far):
            set_no_delay(sock)
            self._sockets.add(sock)
        if self._bandwidth is not None:
            _shrink_buffers(near, far)
        if self._has_small_buffers:
            _shrink_buffers(far, near)
        back = gevent.spawn(
            self._pump, far, near, LinkState.silent, bandwidth=self._bandwidth
        )
        self._pump(near, far, LinkState.silent, LinkState.deaf)
        back.join()
        self._sockets -= {near, far}

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        *holding: LinkState,
        bandwidth: Bandwidth | None = None,
    ) -> None:
        try:
            while received := source.recv(_READ_BYTES):
                gevent.sleep(self._delay_ms / _MS)
                if bandwidth is not None:
                    bandwidth.take(len(received))
                while self._state in holding:
                    self._healed.wait()
                sink.sendall(received)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(sink)


def _shrink_buffers(sink: socket.socket, source: socket.socket) -> None:
    size = _SLOW_BUFFER_BYTES
    sink.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
    source.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def _reset(sock: socket.socket) -> None:
    # A shutdown before it would be an orderly end to the other side.
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        return
    finally:
        sock.close()
