"""Reads the requests of a caller's connection within size and time limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

import h11

from wingfall.clock import MS_PER_S
from wingfall.gateway.model.request_body import BodyReader

if TYPE_CHECKING:
    import socket

    from wingfall.clock import Clock
    from wingfall.gateway.calls.reply import EventWriter
    from wingfall.gateway.model.request_body import RequestBody
    from wingfall.gateway.model.routes import CallerLimits

# Size of one read: the capacity of a socket buffer.
_MAX_READ_BYTES: Final = 65_536
# Callers reuse a connection for up to four fifths of the idle timeout. The
# gateway waits longer than the timeout, since clocks and network delays differ.
_IDLE_TIMEOUT_RATIO: Final = 1.1
# Time limit of a whole body: the longest time of a call that has no deadline of
# its own.
_BODY_TIMEOUT_MS: Final = 30_000


class RequestTimeoutError(Exception):
    """A request did not start, or did not arrive completely, in time."""


@final
class RequestReader:
    """Reads request heads and bodies within the current limits."""

    __slots__ = (
        '_clock',
        '_http',
        '_limits',
        '_socket',
        '_write',
        'received',
        'is_shut_down',
    )

    def __init__(
        self,
        *,
        sock: socket.socket,
        http: h11.Connection,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        write: EventWriter,
    ) -> None:
        """Initialize the reader of a connection.

        :param sock: socket of the connection.
        :param http: HTTP protocol state of the connection.
        :param clock: clock for the timeouts.
        :param limits: returns the current limits.
        :param write: sends HTTP events to the caller.
        """
        self._socket = sock
        self._http = http
        self._clock = clock
        self._limits = limits
        self._write = write
        # Whether bytes of the next request have been received.
        self.received = False
        # Whether the gateway has shut the socket down; what is read from then
        # on is no request.
        self.is_shut_down = False

    def prepare_next_request(self) -> None:
        """Reset the protocol state for the next request."""
        self._http.start_next_cycle()
        self.received = bool(self._http.trailing_data[0])

    def read_request(self) -> h11.Request | None:
        """Read the head of a request.

        :returns: the request head, None if the connection has ended.
        :raises RequestTimeoutError: if the head did not arrive in time.
        """
        started_ms = self._clock.now_ms()
        while True:
            event = self._http.next_event()
            if self.is_shut_down:
                return None
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            if not self.received:
                self._wait_for_first_byte(started_ms)
                started_ms = self._clock.now_ms()
            elif not self._read(started_ms + self._limits().head_ms):
                return None

    def read_body(self) -> RequestBody | None:
        """Read the body of a request.

        :returns: the whole body, None if it is too large.
        :raises RequestTimeoutError: if the body did not arrive in time.
        """
        body = BodyReader()
        deadline_ms = self._clock.now_ms() + _BODY_TIMEOUT_MS
        while True:
            if self._http.they_are_waiting_for_100_continue:
                self._write(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._read(deadline_ms)
            elif isinstance(event, h11.Data):
                body.add(bytes(event.data))
                if body.size > self._limits().body_bytes:
                    return None
            else:
                return body.finish()

    def _wait_for_first_byte(self, started_ms: int) -> None:
        while not self.received:
            # The timeout may change while the connection is idle.
            idle_ms = self._limits().idle_ms * _IDLE_TIMEOUT_RATIO
            self._read(started_ms + int(idle_ms))

    def _read(self, deadline_ms: int) -> bool:
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise RequestTimeoutError
        self._socket.settimeout(remaining_ms / MS_PER_S)
        try:
            received = self._socket.recv(_MAX_READ_BYTES)
        except TimeoutError:
            return self._read(deadline_ms)
        self.received = True
        self._http.receive_data(received)
        return bool(received)
