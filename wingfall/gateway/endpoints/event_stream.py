"""Cuts an event stream into whole events.

Owns the bytes of the event that has not ended; they are never passed on, so
that a stream can go on elsewhere after its last whole event.
"""

from __future__ import annotations

from typing import Final, final

_END: Final = b'\n\n'
_ID: Final = b'id:'


@final
class EventSplitter:
    """Holds back what isn't a whole event yet."""

    __slots__ = ('_buffer', 'last_event_id')

    def __init__(self, *, last_event_id: str | None = None) -> None:
        """Start between two events.

        :param last_event_id: id of the last event that was passed on.
        """
        self._buffer = b''
        self.last_event_id = last_event_id

    @property
    def torn(self) -> bool:
        """Whether the stream stands inside an event."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> bytes:
        """Take bytes and give the events that are whole.

        :param received: bytes as they came.
        :returns: whole events, empty if there is none yet.
        """
        self._buffer += received.replace(b'\r\n', b'\n')
        whole, end, rest = self._buffer.rpartition(_END)
        if not end:
            return b''
        self._buffer = rest
        self._note_ids(whole)
        return whole + end

    def _note_ids(self, whole: bytes) -> None:
        for line in reversed(whole.split(b'\n')):
            if line.startswith(_ID):
                event_id = line[len(_ID) :].strip()
                self.last_event_id = event_id.decode('latin-1')
                return
