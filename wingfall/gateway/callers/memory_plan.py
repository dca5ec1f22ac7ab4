"""How the memory limit of a gateway is divided.

The parts are what its connections may hold at most, so that the process stays
within its limit whatever callers and endpoints send.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.endpoints.answer_buffer import MAX_ANSWER_BYTES
from wingfall.memory_limit import BYTES_PER_MB, find_memory_limit

if TYPE_CHECKING:
    from wingfall.memory_limit import MemoryLimit

# What the process needs without requests and callers' connections: an idle
# process, and the messages of other gateways.
_BASE_MB: Final = 58
# Maximum idle connections of callers, what each of them takes, and the part of
# the limit that they may take together.
_MAX_CONNECTIONS: Final = 3000
_BYTES_PER_CONNECTION: Final = 10_240
_CONNECTIONS_DIVISOR: Final = 5
# Part of the limit that nothing is planned for.
_MARGIN_DIVISOR: Final = 10
# What is left is shared out in these parts.
_PARTS: Final = 16
_HEAD_PARTS: Final = 1
_SHORT_PARTS: Final = 4
_ANSWER_PARTS: Final = 3
_SHORT_ANSWER_PARTS: Final = 2
_LONG_PARTS: Final = 6
# Part of the limit that may be queued for other gateways, and its bounds.
_QUEUES_DIVISOR: Final = 8
_MIN_QUEUED_BYTES: Final = 16_777_216
_MAX_QUEUED_BYTES: Final = 67_108_864
# Bounds of what is shared out. The lower one leaves room for a long body.
_MIN_SPARE_BYTES: Final = 24 * BYTES_PER_MB
_MAX_SPARE_BYTES: Final = 1024 * BYTES_PER_MB
# What a waiting connection holds: one read, and as much in the kernel.
BYTES_PER_WAITER: Final = 131_072


@final
class MemoryPlan:
    """How the memory limit of a process is divided."""

    __slots__ = (
        'answer_bytes',
        'head_bytes',
        'limit',
        'long_bytes',
        'max_connections',
        'max_waiters',
        'queued_bytes',
        'short_answer_bytes',
        'short_bytes',
    )

    def __init__(self, *, limit: MemoryLimit) -> None:
        """Divide a limit.

        :param limit: memory that the process may use.
        """
        self.limit = limit
        limit_bytes = limit.limit_bytes
        connection_bytes = min(
            limit_bytes // _CONNECTIONS_DIVISOR,
            _MAX_CONNECTIONS * _BYTES_PER_CONNECTION,
        )
        self.max_connections = connection_bytes // _BYTES_PER_CONNECTION
        self.queued_bytes = min(
            max(limit_bytes // _QUEUES_DIVISOR, _MIN_QUEUED_BYTES),
            _MAX_QUEUED_BYTES,
        )
        free_bytes = (
            limit_bytes
            - limit_bytes // _MARGIN_DIVISOR
            - _BASE_MB * BYTES_PER_MB
            - connection_bytes
        )
        spare_bytes = min(max(free_bytes, _MIN_SPARE_BYTES), _MAX_SPARE_BYTES)
        part_bytes = spare_bytes // _PARTS
        self.head_bytes = part_bytes * _HEAD_PARTS
        self.short_bytes = part_bytes * _SHORT_PARTS
        self.answer_bytes = max(part_bytes * _ANSWER_PARTS, MAX_ANSWER_BYTES)
        self.short_answer_bytes = part_bytes * _SHORT_ANSWER_PARTS
        self.long_bytes = part_bytes * _LONG_PARTS
        # Requests of all portions that wait hold no more than the margin.
        self.max_waiters = limit_bytes // _MARGIN_DIVISOR // BYTES_PER_WAITER


def plan_memory(configured_mb: int) -> MemoryPlan:
    """Divide the memory of this process.

    :param configured_mb: limit in the settings in MB, 0 to find it.
    :returns: the plan.
    """
    return MemoryPlan(limit=find_memory_limit(configured_mb))
