"""The part of an answer that its router has not confirmed yet."""

from __future__ import annotations

import sys
from typing import final

from gevent.event import Event


@final
class AnswerBuffer:
    """Bytes from the last confirmed offset on, within a window.

    They are kept until the router has passed them on, so that a new
    connection can ask for them again.
    """

    __slots__ = ('_acked', '_held', '_room', '_window')

    def __init__(self, *, window: int) -> None:
        """Start at offset 0.

        :param window: bytes that may be held.
        """
        self._window = window
        self._held = bytearray()
        self._acked = 0
        self._room = Event()
        self._room.set()

    @property
    def end(self) -> int:
        """Offset after the last byte."""
        return self._acked + len(self._held)

    @property
    def has_room(self) -> bool:
        """Whether the window is open."""
        return self._room.is_set()

    def append(self, body: bytes) -> int:
        """Add bytes.

        :param body: the bytes.
        :returns: their offset.
        """
        offset = self.end
        if self._window == sys.maxsize:
            self._acked += len(body)
            return offset
        self._held += body
        if len(self._held) >= self._window:
            self._room.clear()
        return offset

    def wait_room(self) -> None:
        """Wait until the window is open."""
        self._room.wait()

    def open(self) -> None:
        """Hold nothing any more, and always have room."""
        self._window = sys.maxsize
        self.ack(self.end)
        self._room.set()

    def ack(self, offset: int) -> None:
        """Forget confirmed bytes.

        :param offset: bytes before it are confirmed; others are ignored.
        """
        confirmed = min(offset, self.end) - self._acked
        if confirmed <= 0:
            return
        self._held = self._held[confirmed:]
        self._acked += confirmed
        if len(self._held) < self._window:
            self._room.set()

    def read_from(self, offset: int) -> bytes | None:
        """Read again.

        :param offset: where to start.
        :returns: all bytes from there, or None if they are forgotten.
        """
        start = offset - self._acked
        if start < 0 or offset > self.end:
            return None
        return bytes(self._held[start:])
