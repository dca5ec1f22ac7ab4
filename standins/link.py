"""A loopback proxy that delays, slows, resets, cuts or silences a link."""

from __future__ import annotations

import collections
import contextlib
import enum
import itertools
import socket
import struct
import time
from typing import TYPE_CHECKING, Final, final

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from wingfall.tcp import set_no_delay

if TYPE_CHECKING:
    from collections.abc import Iterator

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
    cut = 'cut'  # All bytes are lost, both ways.
    cut_there = 'cut_there'  # What callers send is lost.
    cut_back = 'cut_back'  # What the target sends is lost.


class _Way(enum.StrEnum):
    there = 'there'
    back = 'back'


_HOLDING: Final = {
    _Way.there: frozenset((LinkState.silent, LinkState.deaf)),
    _Way.back: frozenset((LinkState.silent,)),
}
_LOSING: Final = {
    _Way.there: frozenset((LinkState.cut, LinkState.cut_there)),
    _Way.back: frozenset((LinkState.cut, LinkState.cut_back)),
}
_CUTS: Final = frozenset().union(*_LOSING.values())
_OPPOSITE: Final = {_Way.there: _Way.back, _Way.back: _Way.there}


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
class _Connection:
    """A caller's connection and the one to the target."""

    __slots__ = ('far', 'lost', 'near')

    def __init__(self, *, near: socket.socket) -> None:
        self.near = near
        self.far: socket.socket | None = None
        # The ways on which bytes were lost: nothing more passes there.
        self.lost: set[_Way] = set()

    def reset(self) -> None:
        """Reset both."""
        for sock in (self.near, self.far):
            if sock is not None:
                _reset(sock)


@final
class Link:
    """Passes bytes between its port and a target, as long as it is whole.

    Bytes that are held back go on once the link is whole again, as over a
    network that lost packets for a while. Bytes that a cut lost never come,
    nor does anything after them on the same connection, as where the cut lasts
    longer than either side sends again.
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
        self._delay_ms = dict.fromkeys(_Way, 0)
        # How often each way was cut.
        self._cuts: collections.Counter[_Way] = collections.Counter()
        self._connections: set[_Connection] = set()
        self._server = StreamServer(
            ('127.0.0.1', 0), lambda near, _peer: self.relay(near)
        )
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
        self._cuts.update(way for way in _Way if state in _LOSING[way])
        if state is LinkState.refusing:
            self.reset()

    def delay(self, delay_ms: int) -> None:
        """Hold each piece of bytes up, both ways.

        :param delay_ms: for how long.
        """
        self._delay_ms = dict.fromkeys(_Way, delay_ms)

    def delay_answers(self, delay_ms: int) -> None:
        """Hold up what the target sends.

        :param delay_ms: each piece of bytes for how long.
        """
        self._delay_ms = {_Way.there: 0, _Way.back: delay_ms}

    def heal(self, *, resets: bool = True) -> None:
        """Be whole again.

        :param resets: whether connections that lost bytes are reset now; else
            they stay silent until either side ends them.
        """
        self._state = LinkState.whole
        self._delay_ms = dict.fromkeys(_Way, 0)
        self._healed.set()
        for connection in list(self._connections):
            if resets and connection.lost:
                connection.reset()

    def reset(self) -> None:
        """Reset all connections; new ones are welcome if the link is whole."""
        for connection in list(self._connections):
            connection.reset()

    def close(self) -> None:
        """End the link."""
        self._server.stop(timeout=0)
        self.heal()
        self.reset()

    def relay(self, near: socket.socket, begun: bytes = b'') -> None:
        """Pass a caller's bytes on until the connection has ended.

        :param near: the caller's connection.
        :param begun: what was read from it before.
        """
        if self._state is LinkState.refusing:
            _reset(near)
            return
        connection = _Connection(near=near)
        self._connections.add(connection)
        if self._state in _CUTS:
            # No handshake is completed over a cut.
            connection.lost.update(_Way)
            _drain(near)
        else:
            self._relay(connection, begun)
        self._connections.discard(connection)

    def _relay(self, connection: _Connection, begun: bytes) -> None:
        near = connection.near
        try:
            far = socket.create_connection(self._target)
        except OSError:
            _reset(near)
            return
        connection.far = far
        for sock in (near, far):
            set_no_delay(sock)
        if self._bandwidth is not None:
            _shrink_buffers(near, far)
        if self._has_small_buffers:
            _shrink_buffers(far, near)
        back = gevent.spawn(self._pump, connection, far, near, _Way.back)
        self._pump(connection, near, far, _Way.there, begun)
        back.join()

    def _pump(
        self,
        connection: _Connection,
        source: socket.socket,
        sink: socket.socket,
        way: _Way,
        begun: bytes = b'',
    ) -> None:
        try:
            for received in itertools.chain((begun,), _read_all(source)):
                if received and self._passes(connection, way):
                    self._send(connection, sink, received, way)
            if self._passes(connection, way):
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset is lost as other news is.
            if self._passes(connection, way):
                connection.reset()

    def _send(
        self,
        connection: _Connection,
        sink: socket.socket,
        received: bytes,
        way: _Way,
    ) -> None:
        cuts = self._cuts[way]
        gevent.sleep(self._delay_ms[way] / _MS)
        if self._bandwidth is not None and way is _Way.back:
            self._bandwidth.take(len(received))
        while self._state in _HOLDING[way]:
            self._healed.wait()
        if self._cuts[way] != cuts:
            connection.lost.add(way)
            return
        try:
            sink.sendall(received)
        except OSError:
            # The other way brings the news, unless it is cut.
            if self._passes(connection, _OPPOSITE[way]):
                raise
            connection.lost.add(way)

    def _passes(self, connection: _Connection, way: _Way) -> bool:
        if self._state in _LOSING[way]:
            connection.lost.add(way)
        return way not in connection.lost


def _read_all(source: socket.socket) -> Iterator[bytes]:
    while received := source.recv(_READ_BYTES):
        yield received


def _drain(source: socket.socket) -> None:
    with contextlib.suppress(OSError):
        collections.deque(_read_all(source), maxlen=0)


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
