"""Reads the requests of one caller's connection, each within its limits."""

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

# Bytes of one read: what a socket holds.
_READ_BYTES: Final = 65_536
# Callers use a connection up to four fifths of the idle bound; some more
# than the bound is given, since their clocks and ways differ.
_IDLE_PART: Final = 1.1
# Milliseconds for a whole body. The longest time of a call without a deadline
# of its own.
_BODY_MS: Final = 30_000


class RequestLateError(Exception):
    """A request began and did not come in time, or none began."""


@final
class RequestReader:
    """Reads heads and bodies within the bounds in force."""

    __slots__ = (
        '_clock',
        '_http',
        '_limits',
        '_socket',
        '_write',
        'received',
        'shut',
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
        """Read from a connection.

        :param sock: its socket.
        :param http: its state of HTTP.
        :param clock: the time.
        :param limits: gives the bounds in force.
        :param write: writes to the caller.
        """
        self._socket = sock
        self._http = http
        self._clock = clock
        self._limits = limits
        self._write = write
        # Whether bytes of the next request have come.
        self.received = False
        # Whether this side has closed; what the socket says then is no request.
        self.shut = False

    def start_next(self) -> None:
        """Make ready for the next request."""
        self._http.start_next_cycle()
        self.received = bool(self._http.trailing_data[0])

    def read_request(self) -> h11.Request | None:
        """Read the head of a request.

        :returns: the head, None if the connection has ended.
        :raises RequestLateError: if it did not come in time.
        """
        started_ms = self._clock.now_ms()
        while True:
            event = self._http.next_event()
            if self.shut:
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
        :raises RequestLateError: if it did not come in time.
        """
        body = BodyReader()
        until_ms = self._clock.now_ms() + _BODY_MS
        while True:
            if self._http.they_are_waiting_for_100_continue:
                self._write(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._read(until_ms)
            elif isinstance(event, h11.Data):
                body.add(bytes(event.data))
                if body.size > self._limits().body_bytes:
                    return None
            else:
                return body.finish()

    def _wait_for_first_byte(self, started_ms: int) -> None:
        while not self.received:
            # The bound may have changed while the connection rested.
            idle_ms = self._limits().idle_ms * _IDLE_PART
            self._read(started_ms + int(idle_ms))

    def _read(self, until_ms: int) -> bool:
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise RequestLateError
        self._socket.settimeout(left_ms / MS_PER_S)
        try:
            received = self._socket.recv(_READ_BYTES)
        except TimeoutError:
            return self._read(until_ms)
        self.received = True
        self._http.receive_data(received)
        return bool(received)
