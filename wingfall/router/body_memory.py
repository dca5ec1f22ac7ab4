"""Memory that the bodies of all requests at a router share.

It is a part of the memory limit of the process, so that the process stays
within that limit whatever callers send. The memory of a body is reserved before
its first byte is read; without room it stays unread, and the kernel holds its
caller back. Short bodies have a portion that long ones can't take.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final, final

from returns.result import Failure, Result, Success

from wingfall.errors import Refusal
from wingfall.http_server import SOCKET_KEY
from wingfall.log import part_logger
from wingfall.memory_limit import BYTES_PER_MB, find_memory_limit
from wingfall.memory_portion import MemoryPortion, Reservation
from wingfall.tcp import has_peer_closed

if TYPE_CHECKING:
    from types import SimpleNamespace

    from bottle import BaseRequest

    from wingfall.memory_limit import MemoryLimit
    from wingfall.metrics import Metrics

# What the process needs without requests: a full configuration, and the largest
# number of idle connections.
_BASE_MB: Final = 98
# Part of the limit that nothing is planned for.
_MARGIN_DIVISOR: Final = 10
# Part of what is left that is for bodies; the rest is for answers.
_BODIES_DIVISOR: Final = 2
# Bounds of the memory for bodies. The lower one leaves room for a long body.
_MIN_BYTES: Final = 20_971_520
_MAX_BYTES: Final = 1_073_741_824
# Short and long bodies have the same part.
_PORTIONS: Final = 2
# Bytes up to which a body is short.
_SHORT_BODY_BYTES: Final = 65_536
# A body is held itself, in its message to the agent, and in what is written of
# that message together with others.
_COPIES: Final = 3
# What a waiting connection holds: one read, and as much in the kernel.
_BYTES_PER_WAITER: Final = 131_072
# Milliseconds for which a body waits for memory.
_WAIT_MS: Final = 1000
_RETRY_MS: Final = 1000

logger = part_logger('router.bodies')


@final
class BodyMemory:
    """The portions of the memory for bodies."""

    __slots__ = ('_max_body_bytes', 'long', 'short')

    def __init__(self, *, limit: MemoryLimit, max_body_bytes: int) -> None:
        """Create portions of which nothing is reserved.

        :param limit: memory that the process may use.
        :param max_body_bytes: length of the largest body.
        """
        self._max_body_bytes = max_body_bytes
        limit_bytes = limit.limit_bytes
        margin_bytes = limit_bytes // _MARGIN_DIVISOR
        free_bytes = limit_bytes - margin_bytes - _BASE_MB * BYTES_PER_MB
        total_bytes = min(
            max(free_bytes // _BODIES_DIVISOR, _MIN_BYTES), _MAX_BYTES
        )
        # Those that wait hold little, and no more than the margin.
        max_waiters = margin_bytes // _BYTES_PER_WAITER
        portion_bytes = total_bytes // _PORTIONS
        self.short = MemoryPortion(
            total_bytes=portion_bytes, max_waiters=max_waiters
        )
        self.long = MemoryPortion(
            total_bytes=portion_bytes, max_waiters=max_waiters
        )

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved for bodies."""
        return self.short.reserved_bytes + self.long.reserved_bytes

    def reserve(self, http: BaseRequest) -> Result[Reservation, Refusal]:
        """Reserve the memory of a body that is not read yet.

        :param http: the HTTP request.
        :returns: what is reserved, or the refusal if there was no room in time.
        """
        body_bytes = self._find_length(http)
        is_short = body_bytes <= _SHORT_BODY_BYTES
        portion = self.short if is_short else self.long
        size = portion.fit(count_bytes(body_bytes))
        sock = http.environ[SOCKET_KEY]
        if size and not portion.reserve_within(
            size, _WAIT_MS, lambda: has_peer_closed(sock)
        ):
            return Failure(_memory_short())
        return Success(Reservation(portion=portion, size=size))

    def report(self, metrics: Metrics) -> None:
        """Set the metrics.

        :param metrics: the metrics of the process.
        """
        metrics.memory_bytes.set({'part': 'requests'}, self.reserved_bytes)
        waiting = self.short.waiting + self.long.waiting
        metrics.waiting_bodies.set({}, waiting)

    def _find_length(self, http: BaseRequest) -> int:
        # The length of a body in chunks is not known.
        if http.chunked:
            return self._max_body_bytes
        return max(0, http.content_length)


def plan_bodies(limits: SimpleNamespace) -> BodyMemory:
    """Set memory of this process apart for bodies.

    :param limits: limits of the settings.
    :returns: memory of which nothing is reserved.
    """
    limit = find_memory_limit(limits.memory_mb)
    memory = BodyMemory(limit=limit, max_body_bytes=limits.body_bytes)
    logger.info(
        'Memory limit %d bytes (%s): %d for short bodies, %d for long ones.',
        limit.limit_bytes,
        limit.source,
        memory.short.total_bytes,
        memory.long.total_bytes,
    )
    return memory


def count_bytes(body_bytes: int) -> int:
    """Return the memory of a body.

    :param body_bytes: its length.
    :returns: bytes to reserve from its first byte to its answer.
    """
    return body_bytes * _COPIES


def _memory_short() -> Refusal:
    return Refusal(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        kind='capacity_error',
        code='memory_short',
        message='this router has no memory for the body now',
        retry_after_ms=_RETRY_MS,
    )
