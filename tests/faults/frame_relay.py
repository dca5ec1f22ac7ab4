"""A relay that reads the frames it passes, to place a fault at a step."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Callable, final

import gevent
from gevent.server import StreamServer

from tools.fleet import HOST
from wingfall.errors import WireError
from wingfall.tcp import set_no_delay
from wingfall.wire.codec import MAX_MESSAGE_BYTES, FrameDecoder, encode

if TYPE_CHECKING:
    from wingfall.wire.message import Message

_READ_BYTES = 65_536


@final
class FrameRelay:
    """Passes messages both ways; asks a hook about each."""

    def __init__(self) -> None:
        """Listen; :meth:`aim` names the target."""
        self.hook: Callable[[Message], bool] = _pass_all
        self._target = (HOST, 0)
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self) -> int:
        """Port that clients connect to."""
        return int(self._server.server_port)

    def aim(self, port: int) -> None:
        """Set the target.

        :param port: its port on loopback.
        """
        self._target = (HOST, port)

    def reset(self) -> None:
        """Break all connections; new ones are welcome."""
        for sock in list(self._sockets):
            _close(sock)
        self._sockets.clear()

    def _serve(self, near: socket.socket, _peer: object) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        for sock in (near, far):
            set_no_delay(sock)
            self._sockets.add(sock)
        back = gevent.spawn(self._pump, far, near)
        self._pump(near, far)
        back.join()

    def _passes(self, message: Message) -> bool:
        return self.hook(message)

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        decoder = FrameDecoder(max_bytes=MAX_MESSAGE_BYTES)
        try:
            while received := source.recv(_READ_BYTES):
                passed = filter(self._passes, decoder.feed(received))
                for message in passed:
                    sink.sendall(encode(message))
        except (OSError, WireError):
            return
        finally:
            _close(source)
            _close(sink)


def _pass_all(_message: Message) -> bool:
    return True


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
