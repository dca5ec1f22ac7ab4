"""Retry times and tier order of calls that a pool defers.

Applies to a pool whose endpoints all name limits or ask for rest. Calls are not
queued; each deferred call gets a retry time of its own, so that callers do not
all retry at the same moment. Capacity that becomes free meanwhile is reserved
for a more urgent tier with recently deferred calls.
"""

from __future__ import annotations

from typing import Final, final

# Maximum milliseconds between the first slot and an assigned retry time, so
# that one burst does not defer callers for long after it.
_MAX_RETRY_LEAD_MS: Final = 10_000
# Milliseconds that a retry takes to arrive after its retry time.
_RETRY_LATENCY_MS: Final = 200
# Slots reserved for a more urgent tier: the slot assigned to its call, and the
# next slot in case the retry is late.
_RESERVED_SLOTS: Final = 2


@final
class AdmissionSlots:
    """Times at which a pool with no free endpoint admits requests again."""

    __slots__ = ('interval_ms', 'first_ms')

    def __init__(self, *, first_ms: float, interval_ms: float) -> None:
        """Initialize the slots.

        :param first_ms: milliseconds until the first endpoint takes a request.
        :param interval_ms: milliseconds from one request of this gateway to the
            next after that.
        """
        self.first_ms = first_ms
        self.interval_ms = interval_ms


@final
class DeferredCalls:
    """Retry times assigned to deferred calls, by pool."""

    __slots__ = ('_reserved_until_ms', '_unassigned_slot_ms')

    def __init__(self) -> None:
        """Create an empty record."""
        # Time of the next unassigned slot, by pool.
        self._unassigned_slot_ms: dict[str, float] = {}
        # End of the reservation of free capacity, by pool and tier.
        self._reserved_until_ms: dict[str, dict[int, float]] = {}

    def must_yield(self, pool: str, tier: int, now_ms: int) -> bool:
        """Check if a call must leave free capacity to a more urgent tier.

        :param pool: name of its pool.
        :param tier: its tier, 0 is the most urgent.
        :param now_ms: the current time in milliseconds.
        :returns: whether the capacity is reserved for a more urgent tier.
        """
        reserved = self._reserved_until_ms.get(pool)
        if not reserved:
            return False
        return any(
            until_ms > now_ms
            for reserved_tier, until_ms in reserved.items()
            if reserved_tier < tier
        )

    def defer(
        self, pool: str, tier: int, slots: AdmissionSlots, now_ms: int
    ) -> int:
        """Defer a call and assign its retry time.

        :param pool: name of its pool.
        :param tier: its tier.
        :param slots: slots at which the pool admits requests again.
        :param now_ms: the current time in milliseconds.
        :returns: the retry delay in milliseconds.
        """
        first_ms = now_ms + slots.first_ms
        slot_ms = max(first_ms, self._unassigned_slot_ms.get(pool, 0))
        slot_ms = min(slot_ms, first_ms + _MAX_RETRY_LEAD_MS)
        self._unassigned_slot_ms[pool] = slot_ms + slots.interval_ms
        reserved_ms = slots.first_ms + slots.interval_ms * _RESERVED_SLOTS
        reserved = self._reserved_until_ms.setdefault(pool, {})
        reserved[tier] = (
            now_ms + min(reserved_ms, _MAX_RETRY_LEAD_MS) + _RETRY_LATENCY_MS
        )
        return int(slot_ms - now_ms)
