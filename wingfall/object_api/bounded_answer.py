"""Answers of the object API, bounded in their bytes and in their time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import gevent
from urllib3.exceptions import ProtocolError

from wingfall.answer_head import MIN_PIECE_BYTES
from wingfall.clock import MS_PER_S, Clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    import urllib3

# Maximum bytes of an answer: more than twice the 6.9 MB of the list of all
# objects expected in two years (docs/CAPACITY.md).
_MAX_ANSWER_BYTES: Final = 16_777_216
# Maximum bytes of a line of a watch: four times the megabyte of an object.
_MAX_LINE_BYTES: Final = 4_194_304
# Maximum milliseconds of a call, beside those for which the platform waits: the
# list of all objects over a slow link.
_MAX_ANSWER_MS: Final = 60_000
# Bytes that are read at a time.
_PIECE_BYTES: Final = 65_536


@final
class AnswerTime:
    """The time for a call, from its begin to the end of its answer."""

    __slots__ = ('_clock', '_end_ms')

    def __init__(self, *, wait_ms: int) -> None:
        """Begin a call.

        :param wait_ms: how long the platform may wait before it answers.
        """
        self._clock = Clock()
        self._end_ms = self._clock.now_ms() + wait_ms + _MAX_ANSWER_MS

    def bound(self) -> gevent.Timeout:
        """Bound what runs as its context by the time that is left.

        :returns: the context, which raises :class:`ProtocolError`.
        """
        left_ms = max(self._end_ms - self._clock.now_ms(), 0)
        return gevent.Timeout(
            left_ms / MS_PER_S, ProtocolError('the answer takes too long')
        )


def read_pieces(
    response: urllib3.BaseHTTPResponse, answer_time: AnswerTime
) -> Iterator[bytes]:
    """Read the body of an answer.

    :param response: the answer, of which the head is read.
    :param answer_time: time for the call.
    :yields: its pieces.
    :raises ProtocolError: if it is too long, or takes too long.
    """
    left_bytes = _MAX_ANSWER_BYTES
    pieces = response.stream(_PIECE_BYTES)
    while True:
        with answer_time.bound():
            piece = next(pieces, b'')
            # Short pieces that have come let others run, and the time end.
            gevent.sleep(0)
        if not piece:
            return
        left_bytes -= max(len(piece), MIN_PIECE_BYTES)
        if left_bytes < 0:
            raise ProtocolError(
                f'the answer has over {_MAX_ANSWER_BYTES} bytes'
            )
        yield piece


def read_lines(
    response: urllib3.BaseHTTPResponse, answer_time: AnswerTime
) -> Iterator[bytes]:
    """Read the lines of an answer as they come.

    :param response: the answer, of which the head is read.
    :param answer_time: time for the call.
    :yields: the lines that have ended and are not empty.
    :raises ProtocolError: if a line or all of it is too long, or it takes too
        long.
    """
    line = bytearray()
    for piece in read_pieces(response, answer_time):
        end, *others = piece.split(b'\n')
        line += end
        if len(line) > _MAX_LINE_BYTES:
            raise ProtocolError(f'a line has over {_MAX_LINE_BYTES} bytes')
        for begin in others:
            if line:
                yield bytes(line)
            line = bytearray(begin)
