"""Splitting of an event stream into complete events.

The bytes of an incomplete event are never passed on, so that another endpoint
can continue the stream after its last complete event. Lines may end with CR, LF
or both; they are passed on with LF. An event has an id or data; comments keep a
connection alive, but are no events.
"""

from __future__ import annotations

import re
from typing import Final, final

from wingfall.gateway.endpoints.answer_buffer import (
    MAX_ANSWER_BYTES,
    MIN_PIECE_BYTES,
    AnswerMemory,
    MemoryShare,
)
from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerPart,
    EndlessAnswerError,
)

_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
# Of a line that is neither empty nor a comment.
_FIELD_START: Final = re.compile(rb'^[^:\n]', re.MULTILINE)
_EVENT_FIELD: Final = re.compile(rb'^(?:id|data)(?::|$)', re.MULTILINE)
# Maximum bytes of a stream between two events, and of an event without sharing
# memory with others, to bound the memory of all streams together.
_MAX_EVENTLESS_BYTES: Final = 65_536
# Maximum milliseconds to wait for memory of the first bytes of an event.
_MAX_WAIT_MS: Final = 2000
# Maximum bytes of an id, which is kept and sent on after its event.
_MAX_ID_BYTES: Final = 65_536
# Bytes that a shorter piece between two events counts as, since each piece
# costs processor time.
_MIN_EVENTLESS_BYTES: Final = 64


@final
class EventSplitter:
    """Buffers the bytes of an event until the event is complete."""

    __slots__ = (
        '_buffer',
        '_ended_with_cr',
        '_event_bytes',
        '_has_begun',
        '_has_events',
        '_held',
        '_share',
        'eventless_bytes',
        'last_event_id',
    )

    def __init__(
        self,
        *,
        last_event_id: str | None = None,
        memory: AnswerMemory | None = None,
    ) -> None:
        """Create a splitter with an empty buffer.

        :param last_event_id: ID of the last event that was passed on.
        :param memory: memory that long events share, None for one of its own.
        """
        self._share = MemoryShare(
            memory=memory or AnswerMemory(), min_wait_ms=_MAX_WAIT_MS
        )
        # The part of an event, or of comments, that is not complete.
        self._buffer = bytearray()
        # Comments before the first event.
        self._held = bytearray()
        self._has_events = False
        # Bytes received since the last event, as they count between two events
        # and as they count in one.
        self.eventless_bytes = 0
        self._event_bytes = 0
        # Whether the bytes in the buffer are known to be part of an event.
        self._has_begun = False
        # Whether the bytes so far ended with CR; LF may follow.
        self._ended_with_cr = False
        # ID of the last event, None if it has none.
        self.last_event_id = last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains part of an event."""
        return bool(_FIELD_START.search(self._buffer))

    @property
    def is_inside_long_event(self) -> bool:
        """Whether the buffer contains part of an event that needs its bound."""
        return self._has_begun

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the events that are complete.

        Comments before the first event are returned with it: they are no
        answer, so another endpoint may still give one.

        :param received: next bytes of the stream.
        :returns: complete events, empty if there are none yet; their memory is
            reserved until the release.
        :raises EndlessAnswerError: if too many bytes came since the last event.
        """
        complete = self._take_complete(self._decode_line_ends(received))
        if complete and self._includes_event(complete):
            self._has_events = True
            self.eventless_bytes = len(self._buffer)
            self._event_bytes = len(self._buffer)
            self._update_last_event_id(complete)
        else:
            self.eventless_bytes += max(len(received), _MIN_EVENTLESS_BYTES)
            self._event_bytes += max(len(received), MIN_PIECE_BYTES)
        self._check_bounds()
        self._reserve(len(complete))
        return self._take_events(complete)

    def release(self) -> None:
        """Release the memory of the events that were returned."""
        self._share.shrink(len(self._buffer) + len(self._held))

    def close(self) -> None:
        """Release all memory; nothing is fed any more."""
        self._share.shrink(0)

    def _includes_event(self, complete: bytes) -> bool:
        has_begun = self._has_begun
        self._has_begun = False
        return has_begun or bool(_EVENT_FIELD.search(complete))

    def _check_bounds(self) -> None:
        if self.eventless_bytes <= _MAX_EVENTLESS_BYTES:
            return
        if not self._has_begun:
            self._has_begun = bool(_EVENT_FIELD.search(self._buffer))
        if not self._has_begun or self._event_bytes > MAX_ANSWER_BYTES:
            raise self._make_error(AnswerPart.stream)

    def _reserve(self, complete_bytes: int) -> None:
        held_bytes = len(self._buffer) + len(self._held) + complete_bytes
        if not self._share.cover(held_bytes):
            raise self._make_error(AnswerPart.memory)

    def _make_error(self, part: AnswerPart) -> EndlessAnswerError:
        return EndlessAnswerError(
            part=part, received_bytes=self.eventless_bytes
        )

    def _take_complete(self, decoded: bytes) -> bytes:
        # The bytes before these hold no end of an event, but may hold the first
        # half of one.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += decoded
        found = self._buffer.rfind(_EVENT_END, searched)
        if found < 0:
            return b''
        end = found + len(_EVENT_END)
        # A slice of the buffer would be another copy.
        with memoryview(self._buffer) as view:
            complete = bytes(view[:end])
        del self._buffer[:end]  # noqa: WPS420
        return complete

    def _take_events(self, complete: bytes) -> bytes:
        if self._has_events and not self._held:
            return complete
        self._held += complete
        if not self._has_events:
            return b''
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
        for event in complete.split(_EVENT_END):
            if _EVENT_FIELD.search(event):
                self.last_event_id = self._read_id(event)

    def _read_id(self, event: bytes) -> str | None:
        # A stream can't go on after an event that can't be named.
        line = _find_id_line(event)
        if line is not None and len(line) > _MAX_ID_BYTES:
            raise EndlessAnswerError(
                part=AnswerPart.stream, received_bytes=len(line)
            )
        return None if line is None else _decode_id(line) or None


def list_event_ids(events: bytes) -> list[str]:
    """List the ids of events.

    :param events: complete events.
    :returns: the ids in order, none for events without one.
    """
    lines = map(_find_id_line, events.split(_EVENT_END))
    return [_decode_id(line) for line in lines if line is not None]


def _find_id_line(event: bytes) -> bytes | None:
    # An event is not split into lines, of which a long one may have many; the
    # last id of an event counts.
    start = event.rfind(b'\n%b' % _ID_FIELD) + 1
    if not event.startswith(_ID_FIELD, start):
        return None
    return event[start:].partition(b'\n')[0]


def _decode_id(line: bytes) -> str:
    return line[len(_ID_FIELD) :].strip().decode('latin-1')
