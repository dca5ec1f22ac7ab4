"""Holds back the part of an event until the whole event has come.

An error event stands by itself only behind whole events: behind a part of one,
callers would read it as the rest of that event.
"""

from __future__ import annotations

import re
from typing import Final, final

# Two ends of lines in a row, each CR, LF or both.
_EVENT_END: Final = re.compile(rb'(?>\r\n|[\r\n]){2}')
_USUAL_END: Final = b'\n\n'
# Bytes of the longest end that a further byte would complete.
_MAX_PARTIAL_END_BYTES: Final = 3
# Maximum bytes that are held back; a longer event is passed on as it comes.
_MAX_HELD_BYTES: Final = 65_536


@final
class EventHolder:
    """Passes events on; their bytes are unchanged."""

    __slots__ = ('_held', 'is_split')

    def __init__(self) -> None:
        """Start before the first event."""
        self._held = bytearray()
        # Whether a part of the event in progress was passed on.
        self.is_split = False

    def feed(self, received: bytes) -> bytes:
        """Add bytes, and return those that can be passed on.

        :param received: next bytes of the stream.
        :returns: whole events; of a long one a part; else nothing.
        """
        searched = max(0, len(self._held) - _MAX_PARTIAL_END_BYTES)
        self._held += received
        end = self._find_end(searched)
        if end:
            self.is_split = False
        elif self.is_split or len(self._held) > _MAX_HELD_BYTES:
            self.is_split = True
            end = max(0, len(self._held) - _MAX_PARTIAL_END_BYTES)
        return self._take(end)

    def take_rest(self) -> bytes:
        """Return what is held back at the end of a whole stream.

        :returns: the bytes behind the last whole event.
        """
        return self._take(len(self._held))

    def _find_end(self, searched: int) -> int:
        # Most pieces end with an event, which needs no search.
        if self._held.endswith(_USUAL_END):
            return len(self._held)
        end = 0
        for found in _EVENT_END.finditer(self._held, searched):
            end = found.end()
        return end

    def _take(self, end: int) -> bytes:
        taken = bytes(self._held[:end])
        del self._held[:end]  # noqa: WPS420
        return taken
