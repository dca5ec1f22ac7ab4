"""The answer to one caller: complete, or a stream of events.

Records what was written so far, which decides whether a call can still get a
different answer and after which event a stream continues.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final, Protocol, final

import h11

if TYPE_CHECKING:
    from collections.abc import Callable

    from wingfall.gateway.model.call import Headers

# Reason phrases by status; other statuses are sent without a phrase.
_REASON_PHRASES: Final = {
    status: status.phrase.encode()
    for status in (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
    )
}


class EventWriter(Protocol):
    """A function that writes h11 events to the caller."""

    def __call__(self, *events: h11.Event) -> None:
        """Write the events in a single send."""


@final
class Reply:
    """The answer to a call; a truncated answer never looks complete."""

    __slots__ = (
        '_has_body',
        '_is_closing',
        '_last_event_ms',
        '_write',
        'finished',
        'first_byte_ms',
        'last_event_id',
        'longest_gap_ms',
        'now_ms',
        'started',
        'status',
    )

    def __init__(
        self,
        *,
        write: EventWriter,
        is_closing: Callable[[], bool],
        now_ms: Callable[[], int],
        has_body: bool = True,
    ) -> None:
        """Create an answer of which nothing is written yet.

        :param write: writes h11 events to the caller.
        :param is_closing: returns if the connection closes after the answer.
        :param now_ms: returns the time in milliseconds.
        :param has_body: whether the answer may have a body, unlike to HEAD.
        """
        self._has_body = has_body
        self._write = write
        self._is_closing = is_closing
        self.now_ms = now_ms
        self.started = False
        self.finished = False
        self.status = 0
        self.first_byte_ms = 0
        self.last_event_id: str | None = None
        self._last_event_ms: int | None = None
        # Longest time between two events in milliseconds, across resumptions
        # too; None before the second event.
        self.longest_gap_ms: int | None = None

    def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer.

        :param status: the HTTP status.
        :param headers: the headers, without those that frame the body.
        :param body: the body.
        """
        framed = [*headers, (b'Content-Length', b'%d' % len(body))]
        self._note_start(status)
        self._write(
            self._make_response(status, framed),
            h11.Data(data=body if self._has_body else b''),
            h11.EndOfMessage(),
        )
        self.finished = True

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a stream.

        :param status: the HTTP status.
        :param headers: the headers, without those that frame the body.
        """
        self._note_start(status)
        chunked = [*headers, (b'Transfer-Encoding', b'chunked')]
        self._write(self._make_response(status, chunked))

    def send_events(self, events: bytes, last_event_id: str | None) -> None:
        """Write complete events.

        :param events: the encoded events.
        :param last_event_id: id of the last event, None if it has none.
        """
        self._write(h11.Data(data=events))
        self.last_event_id = last_event_id
        now_ms = self.now_ms()
        if self._last_event_ms is not None:
            gap_ms = now_ms - self._last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms or 0, gap_ms)
        self._last_event_ms = now_ms

    def finish_stream(self) -> None:
        """End a complete stream."""
        self._write(h11.EndOfMessage())
        self.finished = True

    def _note_start(self, status: int) -> None:
        self.started = True
        self.status = status
        self.first_byte_ms = self.now_ms()

    def _make_response(self, status: int, headers: Headers) -> h11.Response:
        if self._is_closing():
            headers = [*headers, (b'Connection', b'close')]
        return h11.Response(
            status_code=status,
            headers=headers,
            reason=_REASON_PHRASES.get(status, b''),
        )
