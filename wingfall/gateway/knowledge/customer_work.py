"""How much work customers asked of pools and were given lately.

Owns two fading sums for each customer of each pool, over all gateways. Work is
in tokens, those of an answer weighed by what they cost beside a prompt's.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.clock import Clock

# Work of one token of an answer, in tokens read. An engine puts a token of each
# stream beside each piece that it reads, which lengthens that step by as much
# as a few tokens of a prompt do.
ANSWER_TOKEN_WORK: Final = 5
# Milliseconds after which work counts half: longer than prompts wait, shorter
# than a burst.
_HALF_LIFE_MS: Final = 2000
# Milliseconds between two times at which faded customers are forgotten.
_SWEEP_MS: Final = 10_000
# Tokens below which a customer is forgotten: less than any prompt.
_FORGOTTEN_TOKENS: Final = 10
# Customers of one pool that are kept: bounds memory, and the time in which
# shares are worked out.
_MOST_CUSTOMERS: Final = 15_000


def prompt_work(unread_tokens: int, output_tokens: int) -> float:
    """Tell the work of a prompt.

    :param unread_tokens: what an engine reads for it.
    :param output_tokens: likely length of its answer.
    :returns: the work in tokens read.
    """
    return unread_tokens + output_tokens * ANSWER_TOKEN_WORK


@final
class Work:
    """Work of one customer, or of a whole pool, in tokens."""

    __slots__ = ('asked', 'given')

    def __init__(self, *, asked: float = 0, given: float = 0) -> None:
        """Describe the work.

        :param asked: of all prompts, also of refused ones.
        :param given: of the prompts that were sent to an engine.
        """
        self.asked = asked
        self.given = given

    def add(self, other: Work, factor: float = 1) -> None:
        """Add work.

        :param other: the work.
        :param factor: how much of it is added.
        """
        self.asked += other.asked * factor
        self.given += other.given * factor


@final
class PoolWork:
    """Work of the customers of one pool, as it was at one moment."""

    __slots__ = ('_at_ms', '_by_customer', '_since_ms')

    def __init__(self, *, now_ms: int) -> None:
        """Start without work.

        :param now_ms: the time.
        """
        # All sums are kept as they would be at this time, so that none has to
        # be changed only because time goes on.
        self._at_ms = now_ms
        self._since_ms = now_ms
        self._by_customer: dict[str, Work] = {}

    def __len__(self) -> int:
        """Count the customers that are kept."""
        return len(self._by_customer)

    def is_settled(self, now_ms: int) -> bool:
        """Tell whether work is known for long enough to be compared.

        :param now_ms: the time.
        :returns: whether it is known for a half-life.
        """
        return now_ms - self._since_ms >= _HALF_LIFE_MS

    def add(self, customer: str, work: Work, now_ms: int) -> None:
        """Add work of a customer.

        :param customer: its name.
        :param work: the work.
        :param now_ms: the time.
        """
        if now_ms - self._at_ms >= _SWEEP_MS:
            self._sweep(now_ms)
        known = self._by_customer.get(customer)
        if known is None:
            self._bound()
            known = Work()
            self._by_customer[customer] = known
        known.add(work, 1 / self._left(now_ms))

    def read(self, now_ms: int) -> Iterator[tuple[str, Work]]:
        """Read what is left of all work.

        :param now_ms: the time.
        :returns: customers and their work.
        """
        left = self._left(now_ms)
        for customer, work in self._by_customer.items():
            yield (
                customer,
                Work(asked=work.asked * left, given=work.given * left),
            )

    def _left(self, now_ms: int) -> float:
        return 2 ** ((self._at_ms - now_ms) / _HALF_LIFE_MS)

    def _sweep(self, now_ms: int) -> None:
        self._by_customer = {
            customer: work
            for customer, work in self.read(now_ms)
            if work.asked >= _FORGOTTEN_TOKENS
        }
        self._at_ms = now_ms
        if not self._by_customer:
            # What comes now tells nothing of before.
            self._since_ms = now_ms

    def _bound(self) -> None:
        if len(self._by_customer) < _MOST_CUSTOMERS:
            return
        # By halves, so that a pool at the bound isn't sorted at each prompt.
        largest = heapq.nlargest(
            _MOST_CUSTOMERS // 2,
            self._by_customer.items(),
            key=lambda entry: entry[1].asked,
        )
        self._by_customer = dict(largest)


@final
class CustomerWork:
    """Work of each customer of each pool, fading."""

    __slots__ = ('_clock', '_pools', '_untold')

    def __init__(self, *, clock: Clock) -> None:
        """Start without work.

        :param clock: the time, by which past work fades.
        """
        self._clock = clock
        self._pools: dict[str, PoolWork] = {}
        self._untold: dict[tuple[str, str], Work] = {}

    def note(self, pool: str, customer: str, work: Work) -> None:
        """Count work that this gateway is asked or gives.

        :param pool: name of the pool.
        :param customer: name of the customer, empty for public routes.
        :param work: the work.
        """
        self._untold.setdefault((pool, customer), Work()).add(work)
        self._add(pool, customer, work)

    def take_from_peer(
        self, pool: str, customer: str, asked: int, given: int
    ) -> None:
        """Count work that another gateway was asked or gave.

        :param pool: name of the pool.
        :param customer: name of the customer.
        :param asked: tokens of all its prompts.
        :param given: tokens of those that were sent to an engine.
        """
        self._add(pool, customer, Work(asked=asked, given=given))

    def take_untold(self) -> list[list[Any]]:
        """Take what peers have not heard of, as in a heartbeat.

        :returns: for each pool and customer their names, the tokens that were
            asked and those that were given.
        """
        untold = self._untold
        self._untold = {}
        return [
            [pool, customer, round(work.asked), round(work.given)]
            for (pool, customer), work in untold.items()
        ]

    def read(self, pool: str) -> dict[str, Work]:
        """Read what is left of the work of a pool's customers.

        :param pool: name of the pool.
        :returns: the work by customer.
        """
        known = self._pools.get(pool)
        return {} if known is None else dict(known.read(self._clock.now_ms()))

    def is_settled(self, pool: str) -> bool:
        """Tell whether work was heard of for long enough to be compared.

        :param pool: name of the pool.
        :returns: whether it was for a half-life.
        """
        known = self._pools.get(pool)
        return known is not None and known.is_settled(self._clock.now_ms())

    def _add(self, pool: str, customer: str, work: Work) -> None:
        now_ms = self._clock.now_ms()
        known = self._pools.get(pool)
        if known is None:
            known = PoolWork(now_ms=now_ms)
            self._pools[pool] = known
        known.add(customer, work, now_ms)
