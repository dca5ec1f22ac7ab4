"""Recent work that customers requested from pools and were given.

Holds two decaying sums for each customer of each pool, over all gateways. Work
is in tokens, with answer tokens weighted by their cost relative to prompt
tokens.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.clock import Clock

# Work of one answer token, in prefill tokens. An engine adds a token of each
# stream to each prefill step, which lengthens the step by as much as a few
# prompt tokens do.
WORK_PER_ANSWER_TOKEN: Final = 5
# Time in which the weight of work halves: longer than prompts wait, shorter
# than a burst.
_HALF_LIFE_MS: Final = 2000
# Time between two removals of customers whose work has decayed.
_SWEEP_INTERVAL_MS: Final = 10_000
# A customer with less work is removed; the bound is less than any prompt.
_MIN_RETAINED_TOKENS: Final = 10
# Maximum number of customers of one pool: bounds memory and the time to
# compute shares.
_MAX_CUSTOMERS: Final = 15_000


def prompt_work(prefill_tokens: int, output_tokens: int) -> float:
    """Return the work of a prompt.

    :param prefill_tokens: prompt tokens that an engine has to prefill.
    :param output_tokens: expected length of the answer in tokens.
    :returns: the work in prefill tokens.
    """
    return prefill_tokens + output_tokens * WORK_PER_ANSWER_TOKEN


@final
class Work:
    """Work of one customer, or of a whole pool, in tokens."""

    __slots__ = ('asked', 'given')

    def __init__(self, *, asked: float = 0, given: float = 0) -> None:
        """Initialize the work.

        :param asked: tokens of all prompts, including refused prompts.
        :param given: tokens of the prompts that were sent to an engine.
        """
        self.asked = asked
        self.given = given

    def add(self, other: Work, factor: float = 1) -> None:
        """Add work.

        :param other: the work to add.
        :param factor: factor by which the added work is multiplied.
        """
        self.asked += other.asked * factor
        self.given += other.given * factor


@final
class PoolWork:
    """Decaying work of the customers of one pool."""

    __slots__ = ('_scaled_to_ms', '_by_customer', '_recorded_since_ms')

    def __init__(self, *, now_ms: int) -> None:
        """Create a pool without work.

        :param now_ms: current clock time in milliseconds.
        """
        # All sums are scaled to this time, so that decay needs no update of
        # stored sums.
        self._scaled_to_ms = now_ms
        self._recorded_since_ms = now_ms
        self._by_customer: dict[str, Work] = {}

    def __len__(self) -> int:
        """Return the number of customers with recorded work."""
        return len(self._by_customer)

    def covers_half_life(self, now_ms: int) -> bool:
        """Check if work is recorded for long enough to be compared.

        :param now_ms: current clock time in milliseconds.
        :returns: whether work is recorded for at least a half-life.
        """
        return now_ms - self._recorded_since_ms >= _HALF_LIFE_MS

    def add(self, customer: str, work: Work, now_ms: int) -> None:
        """Add work of a customer.

        :param customer: name of the customer.
        :param work: the work to add.
        :param now_ms: current clock time in milliseconds.
        """
        if now_ms - self._scaled_to_ms >= _SWEEP_INTERVAL_MS:
            self._sweep(now_ms)
        known = self._by_customer.get(customer)
        if known is None:
            self._remove_smallest()
            known = Work()
            self._by_customer[customer] = known
        known.add(work, 1 / self._decay_factor(now_ms))

    def decayed_work(self, now_ms: int) -> Iterator[tuple[str, Work]]:
        """Return the decayed work of all customers.

        :param now_ms: current clock time in milliseconds.
        :returns: pairs of a customer's name and its work.
        """
        factor = self._decay_factor(now_ms)
        for customer, work in self._by_customer.items():
            yield (
                customer,
                Work(asked=work.asked * factor, given=work.given * factor),
            )

    def _decay_factor(self, now_ms: int) -> float:
        return 2 ** ((self._scaled_to_ms - now_ms) / _HALF_LIFE_MS)

    def _sweep(self, now_ms: int) -> None:
        self._by_customer = {
            customer: work
            for customer, work in self.decayed_work(now_ms)
            if work.asked >= _MIN_RETAINED_TOKENS
        }
        self._scaled_to_ms = now_ms
        if not self._by_customer:
            # Later work gives no information on the time before.
            self._recorded_since_ms = now_ms

    def _remove_smallest(self) -> None:
        if len(self._by_customer) < _MAX_CUSTOMERS:
            return
        # Removes half of the customers at once, so that a pool at the bound
        # isn't sorted at each prompt.
        largest = heapq.nlargest(
            _MAX_CUSTOMERS // 2,
            self._by_customer.items(),
            key=lambda entry: entry[1].asked,
        )
        self._by_customer = dict(largest)


@final
class CustomerWork:
    """Decaying work of each customer of each pool."""

    __slots__ = ('_clock', '_pools', '_unreported')

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty table.

        :param clock: the clock by which past work decays.
        """
        self._clock = clock
        self._pools: dict[str, PoolWork] = {}
        self._unreported: dict[tuple[str, str], Work] = {}

    def note(self, pool: str, customer: str, work: Work) -> None:
        """Record work that was requested from or given by this gateway.

        :param pool: name of the pool.
        :param customer: name of the customer, empty for public routes.
        :param work: the work to add.
        """
        self._unreported.setdefault((pool, customer), Work()).add(work)
        self._add(pool, customer, work)

    def merge_from_peer(
        self, pool: str, customer: str, asked: int, given: int
    ) -> None:
        """Merge work that another gateway reports.

        :param pool: name of the pool.
        :param customer: name of the customer.
        :param asked: tokens of all prompts of the customer there.
        :param given: tokens of the prompts that were sent to an engine.
        """
        self._add(pool, customer, Work(asked=asked, given=given))

    def take_unreported(self) -> list[list[Any]]:
        """Return and clear the work not yet reported to peers.

        :returns: for each pool and customer, a list of both names, the
            requested tokens and the given tokens, in the form of a heartbeat.
        """
        unreported = self._unreported
        self._unreported = {}
        return [
            [pool, customer, round(work.asked), round(work.given)]
            for (pool, customer), work in unreported.items()
        ]

    def decayed_work(self, pool: str) -> dict[str, Work]:
        """Return the decayed work of a pool's customers.

        :param pool: name of the pool.
        :returns: the work by customer.
        """
        known = self._pools.get(pool)
        return (
            {}
            if known is None
            else dict(known.decayed_work(self._clock.now_ms()))
        )

    def covers_half_life(self, pool: str) -> bool:
        """Check if work of a pool is recorded for long enough to be compared.

        :param pool: name of the pool.
        :returns: whether work is recorded for at least a half-life.
        """
        known = self._pools.get(pool)
        return known is not None and known.covers_half_life(
            self._clock.now_ms()
        )

    def _add(self, pool: str, customer: str, work: Work) -> None:
        now_ms = self._clock.now_ms()
        known = self._pools.get(pool)
        if known is None:
            known = PoolWork(now_ms=now_ms)
            self._pools[pool] = known
        known.add(customer, work, now_ms)
