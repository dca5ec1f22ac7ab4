"""Splitting of an event stream into complete events.

The bytes of an incomplete event are never passed on, so that another endpoint
can continue the stream after its last complete event. Lines may end with CR, LF
or both; they are passed on with LF.
"""

from __future__ import annotations

from typing import Final, final

_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'


@final
class EventSplitter:
    """Buffers the bytes of an event until the event is complete."""

    __slots__ = ('_buffer', '_ended_with_cr', 'last_event_id')

    def __init__(self, *, last_event_id: str | None = None) -> None:
        """Create a splitter with an empty buffer.

        :param last_event_id: ID of the last event that was passed on.
        """
        self._buffer = b''
        # Whether the bytes so far ended with CR; LF may follow.
        self._ended_with_cr = False
        self.last_event_id = last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains part of an event."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the events that are complete.

        :param received: next bytes of the stream.
        :returns: complete events, empty if there are none yet.
        """
        self._buffer += self._decode_line_ends(received)
        complete, separator, partial = self._buffer.rpartition(_EVENT_END)
        if not separator:
            return b''
        self._buffer = partial
        self._update_last_event_id(complete)
        return complete + separator

    def _decode_line_ends(self, received: bytes) -> bytes:
        if self._ended_with_cr and received:
            received = received.removeprefix(b'\n')
            self._ended_with_cr = False
        if received:
            self._ended_with_cr = received.endswith(b'\r')
        return received.replace(b'\r\n', b'\n').replace(b'\r', b'\n')

    def _update_last_event_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b'\n')):
            if line.startswith(_ID_FIELD):
                self.last_event_id = _decode_id(line)
                return


def list_event_ids(events: bytes) -> list[str]:
    """List the ids of events.

    :param events: complete events.
    :returns: the ids in order, none for events without one.
    """
    lines = events.split(b'\n')
    return [_decode_id(line) for line in lines if line.startswith(_ID_FIELD)]


def _decode_id(line: bytes) -> str:
    return line[len(_ID_FIELD) :].strip().decode('latin-1')
