"""Bounds of the head of a request that gevent's WSGI server reads."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, Final, final

if TYPE_CHECKING:
    from typing import BinaryIO

# Longest head of a request.
HEAD_BYTES: Final = 16_384


def _make_answer(status: str) -> tuple[str, bytes]:
    lines = f'HTTP/1.1 {status}', 'Connection: close', 'Content-Length: 0'
    return status, '\r\n'.join((*lines, '', '')).encode()


class HeadFault(ValueError):
    """A head that can't be read."""

    # Status and the whole answer.
    answer: ClassVar[tuple[str, bytes]] = _make_answer('400 Bad Request')


@final
class HeadTooLong(HeadFault):
    """A head of more than :data:`HEAD_BYTES`."""

    answer = _make_answer('431 Request Header Fields Too Large')


@final
class HeadTimeout(HeadFault):
    """A head that was not finished in time."""

    answer = _make_answer('408 Request Timeout')


@final
class HeadFile:
    """Reads the lines of a head as long as it is not too long."""

    __slots__ = ('_left', '_lines')

    def __init__(self, lines: BinaryIO, used: int) -> None:
        """Initialize the reader.

        :param lines: file of the connection.
        :param used: bytes of the head that were read before.
        """
        self._lines = lines
        self._left = HEAD_BYTES - used

    def readline(self, size: int) -> bytes:
        """Read a line.

        :param size: bytes that are read at most.
        :returns: the line.
        :raises HeadTooLong: if the head is longer than it may be.
        :raises HeadFault: if the connection ends before the head.
        """
        line = self._lines.readline(min(size, self._left + 1))
        if not line:
            raise HeadFault('the head broke off')
        self._left -= len(line)
        if self._left < 0:
            raise HeadTooLong('the head is too long')
        return line
