"""Sound answers of an endpoint stand-in that are long or in many pieces.

The names of the kinds are faults of the endpoint stand-in.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

_HEAD: Final = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
_STREAM: Final = 'Content-Type: text/event-stream\r\n'
_END: Final = '0\r\n\r\n'
_LONG_BYTES: Final = 500_000
_PIECE: Final = 'twenty bytes, or so. '[:20]
_PIECES: Final = 40_000
_LONG_EVENT: Final = f'id: 2\ndata: {"x" * _LONG_BYTES}\n\n'

# Header lines of the answer, and the pieces of its body.
LONG: Final[Mapping[str, tuple[str, tuple[str, ...]]]] = MappingProxyType(
    {
        'long_event': (
            _STREAM,
            ('id: 1\ndata: x\n\n', _LONG_EVENT, 'id: 3\ndata: y\n\n'),
        ),
        'short_pieces': ('', (_PIECE,) * _PIECES),
    }
)


def send_long(sock: socket.socket, kind: str, headers: str) -> None:
    """Send a whole answer.

    :param sock: connection to the caller.
    :param kind: a key of ``LONG``.
    :param headers: header lines of the answer.
    """
    lines, pieces = LONG[kind]
    chunks = ''.join(f'{len(piece):x}\r\n{piece}\r\n' for piece in pieces)
    sock.sendall(f'{_HEAD}{lines}{headers}\r\n{chunks}{_END}'.encode())
