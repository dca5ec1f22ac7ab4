"""What one request has reserved of the memory that all requests share.

The memory of a whole body is reserved before its first byte is read, so that
no two bodies wait for each other. Without room, a body stays unread, and the
kernel holds its caller back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.clock import MS_PER_S
from wingfall.gateway.callers.caller_memory import count_request_bytes
from wingfall.gateway.calls.intake import DEFAULT_TIMEOUT_MS
from wingfall.gateway.model.routes import DEFAULT_TIER
from wingfall.memory_portion import Reservation
from wingfall.tcp import has_peer_closed

if TYPE_CHECKING:
    import socket

    from wingfall.clock import Clock
    from wingfall.gateway.callers.caller_memory import CallerMemory
    from wingfall.gateway.model.call import CallHead
    from wingfall.gateway.model.routes import Routes
    from wingfall.memory_portion import (
        MemoryPortion,
        MemoryWaiter,
    )

# A body waits for memory for this fraction of the time that its caller has
# left, so that another gateway can still serve the request, but not longer than
# the maximum.
_WAIT_DIVISOR: Final = 4
_MAX_WAIT_MS: Final = 3000
# Interval of the checks if the caller of a waiting body has disconnected.
_CHECK_INTERVAL_MS: Final = 250


class WaitingCallerGoneError(ConnectionError):
    """The caller has disconnected while its body waited for memory."""


@final
class Urgency:
    """What decides about the wait of a request for memory."""

    __slots__ = ('left_ms', 'tier')

    def __init__(self, *, tier: int, left_ms: int) -> None:
        """Create it.

        :param tier: tier of the request, 0 the highest.
        :param left_ms: milliseconds that its caller still waits.
        """
        self.tier = tier
        self.left_ms = left_ms


def find_urgency(routes: Routes | None, head: CallHead) -> Urgency:
    """Return the urgency of a request that is not accepted yet.

    :param routes: the configuration in force, None if there is none yet.
    :param head: head of the request.
    :returns: its urgency.
    """
    route = routes.find_route(head.host, head.path) if routes else None
    tier, left_ms = DEFAULT_TIER, DEFAULT_TIMEOUT_MS
    if route is not None:
        tier, left_ms = route.tier, route.timeout_ms
    return Urgency(
        tier=tier, left_ms=min(left_ms, head.time_left_ms or left_ms)
    )


@final
class RequestMemory:
    """Memory of the requests of one connection, one at a time."""

    __slots__ = (
        '_clock',
        '_covered_bytes',
        '_memory',
        '_socket',
        'reservation',
    )

    def __init__(
        self, *, sock: socket.socket, memory: CallerMemory, clock: Clock
    ) -> None:
        """Reserve nothing yet.

        :param sock: socket of the connection.
        :param memory: memory that all connections share.
        :param clock: clock of this gateway.
        """
        self._socket = sock
        self._memory = memory
        self._clock = clock
        # Length of the body for which memory was reserved last.
        self._covered_bytes = 0
        # What is reserved for the request, None if nothing is.
        self.reservation: Reservation | None = None

    @property
    def is_awaited(self) -> bool:
        """Whether others wait for memory of the same portion."""
        reservation = self.reservation
        return reservation is not None and bool(reservation.portion.waiting)

    @property
    def max_body_bytes(self) -> int:
        """Length of the longest body that may have room."""
        return self._memory.max_body_bytes

    def reserve(self, body_bytes: int, urgency: Callable[[], Urgency]) -> bool:
        """Reserve the memory of a request, instead of what it had before.

        :param body_bytes: length of its body.
        :param urgency: called if the request has to wait.
        :returns: whether there was room in time.
        :raises WaitingCallerGoneError: if the caller disconnected meanwhile.
        """
        size = count_request_bytes(body_bytes)
        is_reserved = any(
            self._reserve(portion, portion.fit(size))
            for portion in self._memory.list_portions(body_bytes)
        ) or self._wait(body_bytes, urgency())
        if is_reserved:
            self._covered_bytes = body_bytes
        return is_reserved

    def covers(self, body_bytes: int) -> bool:
        """Check if a body of unknown length is within what is reserved.

        :param body_bytes: bytes that were received.
        :returns: whether it is.
        """
        return body_bytes <= self._covered_bytes

    def shrink(self, body_bytes: int) -> None:
        """Release what a body doesn't need.

        :param body_bytes: length of the whole body.
        """
        if self.reservation is not None:
            self.reservation.shrink(count_request_bytes(body_bytes))

    def release(self) -> None:
        """Release the memory of a request that has ended."""
        reservation = self.reservation
        self.reservation = None
        if reservation is not None:
            reservation.release()

    def _reserve(self, portion: MemoryPortion, size: int) -> bool:
        if not portion.reserve(size):
            return False
        self._take(portion, size)
        return True

    def _take(self, portion: MemoryPortion, size: int) -> None:
        self.release()
        self.reservation = Reservation(portion=portion, size=size)

    def _wait(self, body_bytes: int, urgency: Urgency) -> bool:
        portion = self._memory.list_portions(body_bytes)[0]
        size = portion.fit(count_request_bytes(body_bytes))
        waiter = portion.begin_wait(size, urgency.tier, self._is_gone)
        if waiter is None:
            return False
        wait_ms = min(urgency.left_ms // _WAIT_DIVISOR, _MAX_WAIT_MS)
        try:
            self._await_grant(waiter, self._clock.now_ms() + wait_ms)
        finally:
            portion.end_wait(waiter)
            if waiter.is_granted:
                self._take(portion, size)
        return waiter.is_granted

    def _await_grant(self, waiter: MemoryWaiter, until_ms: int) -> None:
        remaining_ms = until_ms - self._clock.now_ms()
        while remaining_ms > 0 and not waiter.event.is_set():
            interval_ms = min(remaining_ms, _CHECK_INTERVAL_MS)
            waiter.event.wait(interval_ms / MS_PER_S)
            if not waiter.is_granted and self._is_gone():
                raise WaitingCallerGoneError
            remaining_ms = until_ms - self._clock.now_ms()

    def _is_gone(self) -> bool:
        return has_peer_closed(self._socket)
