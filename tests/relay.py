"""A TCP relay that can be cut and healed between two processes."""

from __future__ import annotations

import socket
from typing import final

import gevent
from gevent.server import StreamServer

from wingfall.tcp import set_no_delay

_READ_BYTES = 65_536


@final
class Relay:
    """Passes bytes between its port and a target."""

    def __init__(self) -> None:
        """Listen; :meth:`aim` names the target."""
        self._target = ('127.0.0.1', 0)
        self._sockets: set[socket.socket] = set()
        self._far: set[socket.socket] = set()
        self._broken = False
        self._drops = False
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def port(self) -> int:
        """Port that clients connect to."""
        return int(self._server.server_port)

    def aim(self, port: int) -> None:
        """Set the target.

        :param port: its port on loopback.
        """
        self._target = ('127.0.0.1', port)

    def cut(self) -> None:
        """Break all connections and refuse new ones."""
        self._broken = True
        self.reset()

    def refuse_new(self) -> None:
        """Refuse new connections; those that there are stay."""
        self._broken = True

    def heal(self) -> None:
        """Take connections again."""
        self._broken = False

    def drop_next(self) -> None:
        """Cut the connections in place of passing the next bytes on.

        Only bytes from a client count.
        """
        self._drops = True

    def reset(self) -> None:
        """Break all connections; new ones are welcome."""
        for sock in list(self._sockets):
            _close(sock)
        self._sockets.clear()

    def close(self) -> None:
        """End the relay."""
        self._server.stop(timeout=0)
        self.cut()

    def _serve(self, near: socket.socket, _peer: object) -> None:
        if self._broken:
            return
        far = socket.create_connection(self._target)
        self._far.add(far)
        for sock in (near, far):
            set_no_delay(sock)
            self._sockets.add(sock)
        back = gevent.spawn(self._pump, far, near)
        self._pump(near, far)
        back.join()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while received := source.recv(_READ_BYTES):
                if self._drops and source not in self._far:
                    self._drops = False
                    self.reset()
                    return
                sink.sendall(received)
        except OSError:
            return
        finally:
            _close(source)
            _close(sink)


def _close(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
