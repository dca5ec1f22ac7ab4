"""Reads the heads of a caller's requests within size and time limits."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

import h11

from wingfall.clock import MS_PER_S
from wingfall.tcp import has_peer_closed

if TYPE_CHECKING:
    import socket

    from wingfall.clock import Clock
    from wingfall.gateway.model.routes import CallerLimits
    from wingfall.memory_portion import MemoryPortion

# Size of one read: the capacity of a socket buffer.
_MAX_READ_BYTES: Final = 65_536
# Bytes of an unfinished head that a connection may hold without a reservation.
_OWN_HEAD_BYTES: Final = 2048
# Callers reuse a connection for up to four fifths of the idle timeout. The
# gateway waits longer than the timeout, since clocks and network delays differ.
_IDLE_TIMEOUT_RATIO: Final = 1.1


class HeadMemoryError(Exception):
    """An unfinished head needs memory that others hold."""


class RequestTimeoutError(Exception):
    """A request did not start, or did not arrive completely, in time."""


@final
class RequestReader:
    """Reads request heads within the current limits."""

    __slots__ = (
        '_clock',
        '_head_bytes',
        '_heads',
        '_held_bytes',
        '_http',
        '_limits',
        '_socket',
        'received',
        'received_bytes',
        'is_shut_down',
    )

    def __init__(
        self,
        *,
        sock: socket.socket,
        http: h11.Connection,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        heads: MemoryPortion,
    ) -> None:
        """Initialize the reader of a connection.

        :param sock: socket of the connection.
        :param http: HTTP protocol state of the connection.
        :param clock: clock for the timeouts.
        :param limits: returns the current limits.
        :param heads: memory that the unfinished heads of all connections share.
        """
        self._socket = sock
        self._http = http
        self._clock = clock
        self._limits = limits
        self._heads = heads
        # Bytes that are reserved for an unfinished head.
        self._head_bytes = 0
        # Bytes of it that were read.
        self._held_bytes = 0
        # Whether bytes of the next request have been received.
        self.received = False
        # Bytes of the last read, which may hold more than the head.
        self.received_bytes = 0
        # Whether the gateway has shut the socket down; what is read from then
        # on is no request.
        self.is_shut_down = False

    def prepare_next_request(self) -> None:
        """Reset the protocol state for the next request."""
        self._http.start_next_cycle()
        self._held_bytes = len(self._http.trailing_data[0])
        self.received = bool(self._held_bytes)

    def read_request(self) -> h11.Request | None:
        """Read the head of a request.

        :returns: the request head, None if the connection has ended.
        :raises RequestTimeoutError: if the head did not arrive in time.
        :raises HeadMemoryError: if there is no memory for the head.
        """
        try:
            return self._read_head()
        finally:
            if self._head_bytes:
                self._heads.release(self._head_bytes)
                self._head_bytes = 0

    def read(self, deadline_ms: int, max_bytes: int = _MAX_READ_BYTES) -> bool:
        """Read the next bytes into the protocol state.

        :param deadline_ms: time of the clock in milliseconds until which bytes
            are awaited.
        :param max_bytes: maximum bytes to read.
        :returns: whether there were any, False at the end of the connection.
        :raises RequestTimeoutError: if none arrived in time.
        """
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise RequestTimeoutError
        self._socket.settimeout(remaining_ms / MS_PER_S)
        try:
            received = self._socket.recv(max_bytes)
        except TimeoutError:
            return self.read(deadline_ms, max_bytes)
        self.received = True
        self.received_bytes = len(received)
        self._held_bytes += self.received_bytes
        self._http.receive_data(received)
        return bool(received)

    def _read_head(self) -> h11.Request | None:
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
            elif not self._read_rest(started_ms + self._limits().head_ms):
                return None

    def _read_rest(self, deadline_ms: int) -> bool:
        if self._held_bytes >= max(self._head_bytes, _OWN_HEAD_BYTES):
            self._reserve_head(deadline_ms)
        room = max(self._head_bytes, _OWN_HEAD_BYTES) - self._held_bytes
        return self.read(deadline_ms, room)

    def _reserve_head(self, deadline_ms: int) -> None:
        held_bytes = self._held_bytes
        wanted_bytes = min(2 * held_bytes, self._limits().head_bytes)
        size = max(wanted_bytes, held_bytes + 1) - self._head_bytes
        remaining_ms = deadline_ms - self._clock.now_ms()
        # A connection that holds more than its own part can't wait.
        if held_bytes > _OWN_HEAD_BYTES:
            remaining_ms = 0
        if not self._heads.reserve_within(size, remaining_ms, self._is_gone):
            raise HeadMemoryError
        self._head_bytes += size

    def _is_gone(self) -> bool:
        return has_peer_closed(self._socket)

    def _wait_for_first_byte(self, started_ms: int) -> None:
        while not self.received:
            # The timeout may change while the connection is idle.
            idle_ms = self._limits().idle_ms * _IDLE_TIMEOUT_RATIO
            self.read(
                started_ms + int(idle_ms),
                _MAX_READ_BYTES if self._heads.is_open else _OWN_HEAD_BYTES,
            )
