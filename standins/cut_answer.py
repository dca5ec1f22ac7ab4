"""A server that sends given bytes for an answer and closes the connection."""

from __future__ import annotations

import contextlib
import re
import socket
from typing import Final, final

from gevent.server import StreamServer

from wingfall.tcp import reset

_HOST: Final = '127.0.0.1'
_READ_BYTES: Final = 65_536
_HEAD_END: Final = b'\r\n\r\n'
_LENGTH: Final = re.compile(rb'content-length: (\d+)', re.IGNORECASE)


@final
class CutAnswerStandIn:
    """Answers each request with the same bytes, then ends its connection."""

    def __init__(self) -> None:
        """Start to serve on a free port."""
        self.answer = b''
        # Whether connections end by a reset.
        self.resets = False
        self._server = StreamServer((_HOST, 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Where it listens, as ``host:port``."""
        return f'{_HOST}:{self._server.server_port}'

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        with contextlib.suppress(OSError):
            # A close before the whole request is read would send a reset.
            _read_request(sock)
            sock.sendall(self.answer)
            if self.resets:
                reset(sock)
        sock.close()


def _read_request(sock: socket.socket) -> None:
    received = b''
    head_bytes = -1
    while head_bytes < 0:
        piece = sock.recv(_READ_BYTES)
        if not piece:
            return
        received += piece
        head_bytes = received.find(_HEAD_END)
    found = _LENGTH.search(received, 0, head_bytes)
    length = int(found.group(1)) if found else 0
    missing = head_bytes + len(_HEAD_END) + length - len(received)
    while missing > 0:
        missing -= len(sock.recv(_READ_BYTES)) or missing
