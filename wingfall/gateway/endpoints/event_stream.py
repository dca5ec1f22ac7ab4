"""Splitting of an event stream into complete events.

The bytes of an incomplete event are never passed on, so that another endpoint
can continue the stream after its last complete event. Lines may end with CR, LF
or both; they are passed on with LF. An event has an id or data; comments keep a
connection alive, but are no events.
"""

from __future__ import annotations

import re
from typing import Final, final

from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerPart,
    EndlessAnswerError,
)

_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
_EVENT_FIELD: Final = re.compile(rb'^(?:id|data)(?::|$)', re.MULTILINE)
# Maximum bytes of an event, and of a stream between two events, to bound the
# memory of all streams together.
_MAX_EVENTLESS_BYTES: Final = 65_536
# Bytes that a shorter piece counts as, since each piece costs processor time.
_MIN_PIECE_BYTES: Final = 64


@final
class EventSplitter:
    """Buffers the bytes of an event until the event is complete."""

    __slots__ = (
        '_buffer',
        '_ended_with_cr',
        '_eventless_bytes',
        '_has_events',
        '_held',
        'last_event_id',
    )

    def __init__(self, *, last_event_id: str | None = None) -> None:
        """Create a splitter with an empty buffer.

        :param last_event_id: ID of the last event that was passed on.
        """
        # The part of an event, or of comments, that is not complete.
        self._buffer = bytearray()
        # Comments before the first event.
        self._held = bytearray()
        self._has_events = False
        # Bytes received since the last event.
        self._eventless_bytes = 0
        # Whether the bytes so far ended with CR; LF may follow.
        self._ended_with_cr = False
        self.last_event_id = last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains part of an event."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the events that are complete.

        Comments before the first event are returned with it: they are no
        answer, so another endpoint may still give one.

        :param received: next bytes of the stream.
        :returns: complete events, empty if there are none yet.
        :raises EndlessAnswerError: if too many bytes came since the last event.
        """
        complete = self._take_complete(self._decode_line_ends(received))
        if _EVENT_FIELD.search(complete):
            self._has_events = True
            self._eventless_bytes = len(self._buffer)
            self._update_last_event_id(complete)
        else:
            self._eventless_bytes += max(len(received), _MIN_PIECE_BYTES)
        if self._eventless_bytes > _MAX_EVENTLESS_BYTES:
            raise EndlessAnswerError(
                part=AnswerPart.stream, received_bytes=self._eventless_bytes
            )
        self._held += complete
        return self._take_held() if self._has_events else b''

    def _take_complete(self, decoded: bytes) -> bytes:
        # The bytes before these hold no end of an event, but may hold the first
        # half of one.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += decoded
        found = self._buffer.rfind(_EVENT_END, searched)
        if found < 0:
            return b''
        end = found + len(_EVENT_END)
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]  # noqa: WPS420
        return complete

    def _take_held(self) -> bytes:
        events = bytes(self._held)
        self._held.clear()
        return events

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
