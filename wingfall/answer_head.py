"""HTTP clients that take no answer for whole whose lines were cut.

``http.client``, on which urllib3 reads answers, takes the end of a connection
for the end of a line and of a head. What came of the headers then stands for
all of them, an answer without its ``Content-Length`` for an empty one, and the
zeros that a chunk's size may begin with for the last chunk.
"""

from __future__ import annotations

import io
from http.client import HTTPException, HTTPResponse, RemoteDisconnected
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final, final

import gevent
import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

if TYPE_CHECKING:
    import socket

_LINE_END: Final = b'\n'
_MIN_FINAL_STATUS: Final = 200
_MAX_INTERIM_ANSWERS: Final = 16
# Maximum lines in a row without a part of a body: more than the heads of so
# many answers have, with the 100 fields that ``http.client`` allows.
_MAX_LINES: Final = 4096
# Lines that are read before other greenlets run; those that have come already
# are read without a pause.
_MAX_LINES_IN_A_ROW: Final = 64
# Bytes that a shorter piece of a body counts as, since each piece costs
# processor time.
MIN_PIECE_BYTES: Final = 128


class CutLineError(RemoteDisconnected):
    """The server closed the connection within a line of its answer."""


@final
class LineReader(io.BufferedReader):
    """Reads an answer; a line of its head or between its chunks has to end.

    A body without chunks is not read by lines.
    """

    __slots__ = ('_all_lines', '_lines')

    def __init__(self, *rest: Any) -> None:
        """Initialize the reader; no line has been read.

        :param rest: passed on to the standard library.
        """
        super().__init__(*rest)
        self._all_lines = 0
        self._lines = 0

    def read(self, size: int | None = -1) -> bytes:
        """Read a part of a body, such as the end of each chunk.

        :param size: maximum bytes, negative for any.
        :returns: the bytes.
        """
        self._lines = 0
        return super().read(size)

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line.

        :param size: maximum bytes, negative for any.
        :returns: the line with its end, or as many bytes as are allowed.
        :raises CutLineError: if the connection ends before the line does.
        :raises HTTPException: if there are too many lines.
        """
        self._lines += 1
        if self._lines > _MAX_LINES:
            raise HTTPException(f'A head has over {_MAX_LINES} lines.')
        self._all_lines += 1
        if not self._all_lines % _MAX_LINES_IN_A_ROW:
            gevent.sleep(0)
        line = super().readline(size)
        if line.endswith(_LINE_END) or len(line) == size:
            return line
        raise CutLineError(
            'The connection ended before a line of an answer did.'
        )


@final
class CheckedResponse(HTTPResponse):
    """An answer whose lines are read to their ends."""

    def __init__(self, sock: socket.socket, *rest: Any, **named: Any) -> None:
        """Initialize the answer; ``http.client`` reads its head later.

        :param sock: the connection.
        :param rest: passed on to ``http.client``.
        :param named: passed on to ``http.client``.
        """
        super().__init__(sock, *rest, **named)
        self.fp = LineReader(self.fp.detach())
        self._interim_answers = 0

    def begin(self) -> None:
        """Read the head, and pass over those of informational answers.

        ``http.client`` passes over ``100 Continue`` alone. The answer behind
        another one would be taken for that of the connection's next request.

        :raises HTTPException: if there are too many of them.
        """
        super().begin()
        while self.status < _MIN_FINAL_STATUS:
            self.headers = None
            super().begin()

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = super()._read_status()
        if status < _MIN_FINAL_STATUS:
            self._interim_answers += 1
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            raise HTTPException('Too many informational answers came.')
        return version, status, reason


class CheckedHttpConnection(HTTPConnection):
    """A connection of urllib3 that checks the ends of lines."""

    response_class = CheckedResponse


@final
class _CheckedHttpsConnection(HTTPSConnection):
    response_class = CheckedResponse


@final
class _CheckedHttpPool(urllib3.HTTPConnectionPool):
    ConnectionCls = CheckedHttpConnection  # noqa: WPS115


@final
class _CheckedHttpsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _CheckedHttpsConnection  # noqa: WPS115


_POOL_CLASSES: Final = MappingProxyType(
    {'http': _CheckedHttpPool, 'https': _CheckedHttpsPool},
)


def make_pool_manager(**options: Any) -> urllib3.PoolManager:
    """Return pools of connections that check the ends of lines.

    An answer that is cut in its head, or between its chunks, raises
    :class:`urllib3.exceptions.ProtocolError`.

    :param options: options of urllib3's pools.
    :returns: the pools, without a connection yet.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = _POOL_CLASSES
    return manager
