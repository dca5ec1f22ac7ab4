"""Memory that the requests of all callers share.

It is divided from the memory limit of the process, so that the process stays
within that limit whatever callers send. Long bodies can't take the portion of
short ones, which are served while long ones wait; short ones may take what no
long one waits for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.log import log_event
from wingfall.log_limit import LogLimit
from wingfall.memory_portion import MemoryPortion

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.callers.memory_plan import MemoryPlan
    from wingfall.metrics import Metrics

# Bytes up to which a body is short.
SHORT_BODY_BYTES: Final = 65_536
# What a request takes besides its body.
_CALL_BYTES: Final = 20_480
# Bytes of a body that are copied behind the head to be written.
_WRITTEN_BYTES: Final = 65_536
# A body takes this part of its length besides, since buffers grow ahead.
_GROWTH_DIVISOR: Final = 4
# Portions whose requests wait, each with an equal part of the waiting ones.
_PORTIONS_WITH_WAITERS: Final = 2
# Maximum lines per second on beginning and ending shortages.
_MAX_LINES_PER_S: Final = 2


@final
class CallerMemory:
    """The portions of the memory for requests."""

    __slots__ = (
        '_for_long',
        '_for_short',
        '_is_short',
        '_limit',
        '_plan',
        'heads',
        'long',
        'short',
    )

    def __init__(self, *, plan: MemoryPlan, clock: Clock) -> None:
        """Create portions of which nothing is reserved.

        :param plan: how the memory is divided.
        :param clock: clock of this gateway.
        """
        self._plan = plan
        self._limit = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)
        # Whether a line has told of bodies that wait.
        self._is_short = False
        # Requests with a short body, heads without a whole request, and
        # requests with a long body.
        max_waiters = plan.max_waiters // _PORTIONS_WITH_WAITERS
        self.short = self._make_portion(plan.short_bytes, max_waiters)
        self.heads = MemoryPortion(
            total_bytes=plan.head_bytes,
            max_waiters=plan.head_bytes,
        )
        self.long = self._make_portion(plan.long_bytes, max_waiters)
        self._for_short = (self.short, self.long)
        self._for_long = (self.long,)

    @property
    def waiting(self) -> int:
        """Number of requests whose bodies wait for memory."""
        return self.short.waiting + self.long.waiting

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved for requests."""
        portions = (self.heads, self.short, self.long)
        return sum(portion.reserved_bytes for portion in portions)

    def list_portions(self, body_bytes: int) -> tuple[MemoryPortion, ...]:
        """List the portions that a request may take, its own first.

        Short requests take less than half of the memory of long ones.

        :param body_bytes: length of its body.
        :returns: the portions.
        """
        if body_bytes > SHORT_BODY_BYTES:
            return self._for_long
        is_half_free = 2 * self.long.reserved_bytes < self.long.total_bytes
        return self._for_short if is_half_free else self._for_short[:1]

    @property
    def max_body_bytes(self) -> int:
        """Length of the longest body that has room if nothing else has."""
        spare_bytes = max(0, self.long.total_bytes - _CALL_BYTES)
        return spare_bytes * _GROWTH_DIVISOR // (_GROWTH_DIVISOR + 1)

    def report(self, metrics: Metrics) -> None:
        """Set the metrics.

        :param metrics: the metrics of the process.
        """
        metrics.memory_bytes.set({'part': 'requests'}, self.reserved_bytes)
        metrics.waiting_bodies.set({}, self.waiting)

    def log_plan(self) -> None:
        """Log how the memory is divided."""
        plan = self._plan
        log_event(
            'gateway',
            'Planned the memory.',
            limit_bytes=plan.limit.limit_bytes,
            source=plan.limit.source,
            head_bytes=plan.head_bytes,
            short_body_bytes=plan.short_bytes,
            long_body_bytes=plan.long_bytes,
            answer_bytes=plan.answer_bytes,
            short_answer_bytes=plan.short_answer_bytes,
            max_waiting=plan.max_waiters,
        )

    def _make_portion(
        self, total_bytes: int, max_waiters: int
    ) -> MemoryPortion:
        return MemoryPortion(
            total_bytes=total_bytes,
            max_waiters=max_waiters,
            on_change=self._note_change,
        )

    def _note_change(self) -> None:
        is_short = bool(self.waiting)
        if is_short == self._is_short or not self._limit.admit():
            return
        self._is_short = is_short
        log_event(
            'callers',
            'Bodies wait for memory.'
            if is_short
            else 'No body waits for memory any more.',
            short_bytes=self.short.reserved_bytes,
            long_bytes=self.long.reserved_bytes,
            max_short_bytes=self.short.total_bytes,
            max_long_bytes=self.long.total_bytes,
            omitted=self._limit.take_omitted(),
        )


def count_request_bytes(body_bytes: int) -> int:
    """Return the memory of a request.

    :param body_bytes: length of its body.
    :returns: bytes to reserve from its acceptance to its answer.
    """
    written_bytes = min(body_bytes, _WRITTEN_BYTES)
    growth_bytes = body_bytes // _GROWTH_DIVISOR
    return _CALL_BYTES + body_bytes + max(written_bytes, growth_bytes)
