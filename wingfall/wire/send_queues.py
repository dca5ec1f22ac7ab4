"""What is queued for the peers of all connections, bounded together.

Each connection has few bytes in calm. Many peers that don't read at once would
take the memory of the process.
"""

from __future__ import annotations

from typing import Final, Protocol, final

# Maximum bytes that are queued on all connections of a router or an agent: half
# of the 128 MB that it may have (docs/CAPACITY.md).
_MAX_QUEUED_BYTES: Final = 67_108_864


class SendQueue(Protocol):
    """The queue of one connection."""

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait to be sent."""

    def give_up(self, reason: str) -> None:
        """End the connection, and drop what is queued.

        :param reason: why, for the log.
        """


@final
class SendQueues:
    """The queues of all connections."""

    __slots__ = ('_max_bytes', '_queued_bytes', '_queues')

    def __init__(self, *, max_bytes: int = _MAX_QUEUED_BYTES) -> None:
        """Create it without a queue.

        :param max_bytes: maximum bytes in all queues.
        """
        self._max_bytes = max_bytes
        self._queued_bytes = 0
        # Those that are not empty, in the order in which they began.
        self._queues: dict[SendQueue, None] = {}

    def add(self, queue: SendQueue, size: int) -> None:
        """Count what was queued, and end the longest queues over the bound.

        :param queue: where it was queued.
        :param size: its bytes.
        """
        self._queues[queue] = None
        self._queued_bytes += size
        while self._queued_bytes > self._max_bytes:
            longest = max(self._queues, key=lambda each: each.queued_bytes)
            longest.give_up(
                f'{longest.queued_bytes} bytes are queued, '
                f'{self._queued_bytes} on all connections'
            )

    def remove(self, queue: SendQueue, size: int) -> None:
        """Count what was sent or dropped.

        :param queue: where it was queued; its own count is without it.
        :param size: its bytes.
        """
        self._queued_bytes -= size
        if not queue.queued_bytes:
            self._queues.pop(queue, None)
