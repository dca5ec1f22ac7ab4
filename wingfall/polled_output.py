"""A descriptor that is written only while it takes bytes at once."""

from __future__ import annotations

import os
import select
from typing import Final, final

from gevent.monkey import get_original

# A pipe that polls as writable takes this many bytes at once (PIPE_BUF).
MAX_PIECE_BYTES: Final = 4096


@final
class PolledOutput:
    """Writes to a descriptor without ever waiting for its reader."""

    __slots__ = ('_descriptor', '_poll')

    def __init__(self, *, descriptor: int) -> None:
        """Write to a descriptor.

        :param descriptor: where to write.
        """
        self._descriptor = descriptor
        # The standard library's own: gevent's lets other greenlets run, which
        # would write in the middle of this text.
        self._poll = get_original('select', 'poll')()
        self._poll.register(descriptor, select.POLLOUT)

    @property
    def is_writable(self) -> bool:
        """Whether it takes a piece now."""
        events = self._poll.poll(0)
        return any(event & select.POLLOUT for _fd, event in events)

    def write(self, piece: bytes) -> bool:
        """Write a piece to a descriptor that is writable.

        :param piece: at most :data:`MAX_PIECE_BYTES`.
        :returns: whether it was written whole.
        """
        # A disk that is almost full takes a part of a piece.
        try:
            return os.write(self._descriptor, piece) == len(piece)
        except OSError:
            return False

    def write_text(self, text: str) -> bool:
        """Write a text in pieces, as far as the descriptor takes them.

        :param text: the text.
        :returns: whether it was written whole.
        """
        encoded = text.encode('utf-8', 'backslashreplace')
        starts = range(0, len(encoded), MAX_PIECE_BYTES)
        return all(
            self.is_writable
            and self.write(encoded[start : start + MAX_PIECE_BYTES])
            for start in starts
        )
