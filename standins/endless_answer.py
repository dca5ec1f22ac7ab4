"""Answers of an endpoint stand-in that end only when the caller closes.

Each kind has bytes that come once and bytes that come again and again. The
names of the kinds are faults of the endpoint stand-in.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import gevent

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

_STATUS: Final = 'HTTP/1.1 200 OK\r\n'
_STREAM: Final = 'Content-Type: text/event-stream\r\n'
_CHUNKED: Final = 'Transfer-Encoding: chunked\r\n'
_FILLER: Final = 'x' * 1000
_FIELDS: Final = 'X-Filler: no answer\r\n' * 50

# Start of the answer, whether the headers of an answer follow, what comes once
# after them, and what comes without end.
ENDLESS: Final[Mapping[str, tuple[str, bool, str, str]]] = MappingProxyType(
    {
        'endless_status': ('HTTP/1.1 200 ', False, '', _FILLER),
        'endless_headers': (_STATUS, False, '', _FIELDS),
        'endless_interim': (
            '',
            False,
            '',
            'HTTP/1.1 103 Early Hints\r\n\r\n' * 30,
        ),
        'endless_extension': (
            _STATUS + _STREAM + _CHUNKED,
            True,
            '5;x=',
            _FILLER,
        ),
        'endless_trailers': (
            _STATUS + _STREAM + _CHUNKED,
            True,
            '0\r\n',
            _FIELDS,
        ),
        'endless_event': (_STATUS + _STREAM, True, 'id: 1\ndata: ', _FILLER),
        'endless_lines': (_STATUS + _STREAM, True, '', 'x: y\n' * 200),
        'endless_blank': (_STATUS + _STREAM, True, '', '\n' * 1000),
        'endless_comments': (_STATUS + _STREAM, True, '', ': none\n\n' * 120),
        'endless_body': (_STATUS, True, '', _FILLER),
        'endless_chunk': (_STATUS + _CHUNKED, True, 'ffffffff\r\n', _FILLER),
        'endless_chunks': (_STATUS + _CHUNKED, True, '', '2\r\nxx\r\n' * 150),
    }
)


def send_endless(
    sock: socket.socket, kind: str, headers: str, pause_s: float
) -> None:
    """Send an answer until the caller closes the connection.

    :param sock: connection to the caller.
    :param kind: a key of ``ENDLESS``.
    :param headers: header lines of the answer.
    :param pause_s: seconds between two pieces.
    :raises OSError: once the caller has closed.
    """
    start, has_headers, once, piece = ENDLESS[kind]
    head = f'{start}{headers}\r\n' if has_headers else start
    sock.sendall(f'{head}{once}'.encode())
    repeat_piece(sock, piece.encode(), pause_s)


def repeat_piece(sock: socket.socket, piece: bytes, pause_s: float) -> None:
    """Send the same bytes again and again.

    :param sock: connection to the caller.
    :param piece: the bytes.
    :param pause_s: seconds between two pieces.
    :raises OSError: once the caller has closed.
    """
    while True:  # noqa: WPS457
        sock.sendall(piece)
        gevent.sleep(pause_s)
