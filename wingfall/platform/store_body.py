"""Bodies of the store's answers, bounded in their bytes and in their time."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final, final

import gevent
from urllib3.exceptions import ProtocolError

from wingfall.answer_head import MIN_PIECE_BYTES
from wingfall.clock import MS_PER_S, Clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    import urllib3

    from wingfall.platform.long_answers import Turn

# A long answer counts as heard each time that so many bytes have come.
_PIECE_BYTES: Final = 65_536
# Pieces that are read before other greenlets run.
_MAX_PIECES_IN_A_ROW: Final = 64
# Maximum milliseconds of a call or of all pages of a list, beside those for
# which the store or other answers are waited for: the longest list over a slow
# link.
_MAX_ANSWER_MS: Final = 60_000


@final
class Allowance:
    """Bytes and time that answers may still have."""

    __slots__ = ('_clock', '_rest_bytes', '_rest_ms')

    def __init__(self, *, max_bytes: int, wait_ms: int) -> None:
        """Set the allowance.

        :param max_bytes: bytes that may come.
        :param wait_ms: how long the store may wait before it answers.
        """
        self._clock = Clock()
        self._rest_bytes = max_bytes
        self._rest_ms: float = wait_ms + _MAX_ANSWER_MS

    def spend_bytes(self, size: int) -> None:
        """Take a piece of an answer off the bytes.

        :param size: bytes of the piece.
        :raises ProtocolError: if there are too many.
        """
        self._rest_bytes -= max(size, MIN_PIECE_BYTES)
        if self._rest_bytes < 0:
            raise ProtocolError('the answer has no end')

    @contextlib.contextmanager
    def bound_time(self) -> Iterator[None]:
        """Take what runs as the context off the time, and bound it.

        :yields: nothing.
        :raises ProtocolError: if it takes too long.
        """
        begun_ms = self._clock.now_ms()
        fault = ProtocolError('the answer takes too long')
        try:
            with gevent.Timeout(max(self._rest_ms, 0) / MS_PER_S, fault):
                yield
        finally:
            self._rest_ms -= self._clock.now_ms() - begun_ms


def read_body(
    response: urllib3.BaseHTTPResponse,
    progress: Callable[[], None],
    allowance: Allowance,
    turn: Turn,
) -> bytearray:
    """Read the body of an answer.

    :param response: the answer, of which the head is read.
    :param progress: called as the body comes in.
    :param allowance: what the answer may have.
    :param turn: its turn among long answers.
    :returns: the body.
    :raises ProtocolError: if it is too long, or takes too long.
    """
    received = bytearray()
    try:
        for piece in _read_pieces(response, allowance):
            progress()
            received += piece
            allowance.spend_bytes(len(piece))
            turn.take(len(received), progress)
    except ProtocolError:
        response.close()
        raise
    return received


def _read_pieces(
    response: urllib3.BaseHTTPResponse, allowance: Allowance
) -> Iterator[bytes]:
    pieces = response.stream(_PIECE_BYTES)
    count = 0
    while True:
        with allowance.bound_time():
            piece = next(pieces, b'')
            count += 1
            if not count % _MAX_PIECES_IN_A_ROW:
                gevent.sleep(0)
        if not piece:
            return
        yield piece
