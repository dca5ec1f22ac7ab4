"""Time that a long event of a stream may take.

An event that does not end may come too slowly to reach its bound of bytes
within the call. What is left of the time then is for another endpoint, which
goes on with the stream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerPart,
    EndlessAnswerError,
)

if TYPE_CHECKING:
    from wingfall.gateway.endpoints.event_stream import EventSplitter

# A long event may take this part of the time that is left when it gets long.
_EVENT_FRACTION: Final = 0.5


@final
class EventTime:
    """Bounds the time of each long event of a stream."""

    __slots__ = ('_splitter', '_until_ms')

    def __init__(self, *, splitter: EventSplitter) -> None:
        """Begin without a long event.

        :param splitter: holds the bytes of the event.
        """
        self._splitter = splitter
        self._until_ms: float | None = None

    def check(self, now_ms: int, end_ms: int) -> None:
        """Check the event of which more bytes have come.

        :param now_ms: time of the clock in milliseconds.
        :param end_ms: time at which the attempt has to have more.
        :raises EndlessAnswerError: if the event takes too long.
        """
        if not self._splitter.is_inside_long_event:
            self._until_ms = None
        elif self._until_ms is None:
            self._until_ms = now_ms + (end_ms - now_ms) * _EVENT_FRACTION
        elif now_ms > self._until_ms:
            raise EndlessAnswerError(
                part=AnswerPart.stream,
                received_bytes=self._splitter.eventless_bytes,
            )
