"""The answer to one caller: whole, or a stream of events.

Owns what was written so far, by which a call knows whether it can still be
answered otherwise, or where a stream goes on.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final, Protocol, final

import h11

if TYPE_CHECKING:
    from collections.abc import Callable

    from wingfall.gateway.model.call import Headers

# Reason phrases that are written; all other statuses go without one.
_REASONS: Final = {
    status: status.phrase.encode()
    for status in (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.TOO_MANY_REQUESTS,
    )
}


class EventWriter(Protocol):
    """Writes events of h11 to the caller."""

    def __call__(self, *events: h11.Event) -> None:
        """Write events in one piece."""


@final
class Reply:
    """Writes one answer; what is cut short never looks whole."""

    __slots__ = (
        '_closing',
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
        closing: Callable[[], bool],
        now_ms: Callable[[], int],
    ) -> None:
        """Start without an answer.

        :param write: writes events to the caller.
        :param closing: whether the connection ends with this answer.
        :param now_ms: reads the clock.
        """
        self._write = write
        self._closing = closing
        self.now_ms = now_ms
        self.started = False
        self.finished = False
        self.status = 0
        self.first_byte_ms = 0
        self.last_event_id: str | None = None
        self._last_event_ms: int | None = None
        # Longest gap between events, also over a resumption; None until
        # there were two.
        self.longest_gap_ms: int | None = None

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer.

        :param status: its status.
        :param headers: its headers without those that frame the body.
        :param body: its body.
        """
        framed = [*headers, (b'Content-Length', b'%d' % len(body))]
        self._begin(status)
        self._write(
            self._response(status, framed),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        self.finished = True

    def start_stream(self, status: int, headers: Headers) -> None:
        """Write the head of a stream.

        :param status: its status.
        :param headers: its headers without those that frame the body.
        """
        self._begin(status)
        chunked = [*headers, (b'Transfer-Encoding', b'chunked')]
        self._write(self._response(status, chunked))

    def send_events(self, events: bytes, last_event_id: str | None) -> None:
        """Write whole events.

        :param events: the events.
        :param last_event_id: id of the last of them.
        """
        self._write(h11.Data(data=events))
        self.last_event_id = last_event_id
        now_ms = self.now_ms()
        if self._last_event_ms is not None:
            gap_ms = now_ms - self._last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms or 0, gap_ms)
        self._last_event_ms = now_ms

    def finish_stream(self) -> None:
        """End a stream that is whole."""
        self._write(h11.EndOfMessage())
        self.finished = True

    def _begin(self, status: int) -> None:
        self.started = True
        self.status = status
        self.first_byte_ms = self.now_ms()

    def _response(self, status: int, headers: Headers) -> h11.Response:
        if self._closing():
            headers = [*headers, (b'Connection', b'close')]
        return h11.Response(
            status_code=status,
            headers=headers,
            reason=_REASONS.get(status, b''),
        )
