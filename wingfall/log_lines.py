"""Log records as lines of JSON on a descriptor that may not be read.

Writing never blocks: a line goes out only while the descriptor takes it, a
bounded number of lines waits, and what is dropped beyond that is counted and
said in the log itself.
"""

from __future__ import annotations

import collections
import logging
import sys
from typing import Any, Final, final

import orjson

from wingfall.polled_output import MAX_PIECE_BYTES, PolledOutput

_MAX_WAITING: Final = 2000
# Characters to which the texts of a longer line are cut. A character takes up
# to six bytes, by which the first length may not do.
_CUT_LENGTHS: Final = (1024, 256)
_MS_DIGITS: Final = 3
# Characters of the fields that are shown where they can't be written.
_MAX_REPR: Final = 1000


@final
class JsonLineHandler(logging.Handler):
    """Writes records as JSON without ever waiting for the reader."""

    def __init__(
        self,
        *,
        process: str = '',
        descriptor: int | None = None,
    ) -> None:
        """Write to a descriptor.

        :param process: name of the process, in each line.
        :param descriptor: where to write, None for standard output.
        """
        super().__init__()
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._process = process
        self._output = PolledOutput(descriptor=descriptor)
        self._waiting: collections.deque[bytes] = collections.deque()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines dropped since the last one that got out."""
        return self._dropped

    @property
    def waiting(self) -> int:
        """Lines that wait for the reader."""
        return len(self._waiting)

    def rename(self, process: str) -> None:
        """Change the name of the process in later lines.

        :param process: the name.
        """
        self._process = process

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep it for later.

        :param record: the record.
        """
        if len(self._waiting) >= _MAX_WAITING:
            self._dropped += 1
        else:
            self._waiting.append(_format_safely(record, self._process))
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the descriptor takes it."""
        while self._waiting and self._output.is_writable:
            if not self._output.write(self._waiting.popleft()):
                self._dropped += 1
                return
            self._tell_dropped()

    def _tell_dropped(self) -> None:
        if self._dropped and self._output.is_writable:
            told = {'message': 'log: Lines were dropped.', 'n': self._dropped}
            if self._output.write(_dump(told)):
                self._dropped = 0


def format_line(record: logging.LogRecord, process: str) -> bytes:
    """Format a record.

    :param record: the record; its ``fields`` go beside the message.
    :param process: name of the process.
    :returns: one line of JSON, cut to a length that is written at once.
    """
    body: dict[str, Any] = {
        'time': round(record.created, _MS_DIGITS),
        'level': record.levelname,
        'process': process,
        'message': record.getMessage(),
        **getattr(record, 'fields', {}),
    }
    if record.exc_info:
        body['fault'] = logging.Formatter().formatException(record.exc_info)
    try:
        line = _dump(body)
    except orjson.JSONEncodeError as error:
        # A field that JSON can't hold must not end the call it tells of.
        told = {'message': body['message'], 'unwritable': str(error)}
        body = {**told, 'fields': repr(body)[:_MAX_REPR]}
        line = _dump(body)
    return line if len(line) <= MAX_PIECE_BYTES else _dump_cut(body)


def _dump_cut(body: dict[str, Any]) -> bytes:
    line = b''
    for length in _CUT_LENGTHS:
        cut = {'message': body['message'][:length], 'cut': True}
        if 'fault' in body:
            cut['fault'] = body['fault'][-length:]
        line = _dump(cut)
        if len(line) <= MAX_PIECE_BYTES:
            break
    return line


def _format_safely(record: logging.LogRecord, process: str) -> bytes:
    # Whatever a line has to tell, it must not end the code that tells it.
    try:
        return format_line(record, process)
    except Exception as error:
        told = {
            'message': 'log: A line could not be written.',
            'line': ascii(record.msg)[:_MAX_REPR],
            'error': ascii(error)[:_MAX_REPR],
        }
        return _dump(told)


def _dump(body: dict[str, Any]) -> bytes:
    return orjson.dumps(
        body,
        default=str,
        option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS,
    )
