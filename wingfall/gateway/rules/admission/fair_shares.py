"""Fair shares of a pool's work, and customers that exceed their shares.

Limits a customer that sends a burst of many times its usual work for seconds.
Shares are max-min fair: customers that ask for less than an equal part of the
supply get all they ask, the others divide the rest equally. Demand is the
work that customers ask for, so that refusals don't reduce it. Supply is the
work that was sent to the pool's engines and no longer waits there.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.customer_work import Work
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge

# Milliseconds after which shares are recomputed: far less than a burst, and
# computing them for 15,000 customers takes some milliseconds.
_SHARES_MAX_AGE_MS: Final = 300
# Minimum fraction of the given work that counts as done, however much waits:
# prompts wait at engines for about a target, less than half of the time over
# which work is summed.
_MIN_DONE_FRACTION: Final = 0.5
# Fraction of its share below which a customer is not limited, however much it
# asks: customers above their shares must not use up its share.
_UNLIMITED_SHARE_FRACTION: Final = 0.5


def fair_share(demands: Iterable[float], supply: float) -> float:
    """Return the max-min fair share of a supply.

    :param demands: demand of each customer.
    :param supply: the amount to divide.
    :returns: the share of each customer whose demand exceeds it; infinite if
        the supply meets all demands.
    """
    ascending = sorted(demands)
    remaining, remaining_customers = supply, len(ascending)
    for demand in ascending:
        share = remaining / remaining_customers
        if demand > share:
            return share
        remaining -= demand
        remaining_customers -= 1
    return float('inf')


def work_done(given: float, pending_tokens: float) -> float:
    """Return the work that a pool has done recently.

    :param given: tokens that were sent to its engines.
    :param pending_tokens: pending tokens at its engines.
    :returns: the work in tokens.
    """
    return max(given - pending_tokens, given * _MIN_DONE_FRACTION)


def relative_use(work: Work, share: float) -> float:
    """Return the use of a customer as a multiple of its share.

    :param work: work that the customer asked for and was given.
    :param share: its share in tokens.
    :returns: the geometric mean of the asked and the given work, divided by the
        share; at most 1 if the given work is far below the share.
    """
    if share <= 0:
        return 1
    use = math.sqrt(max(0, work.asked * work.given)) / share
    return (
        min(use, 1) if work.given < share * _UNLIMITED_SHARE_FRACTION else use
    )


@final
class PoolShares:
    """Relative use of the customers of one pool, computed at one time."""

    __slots__ = ('_relative_uses', 'computed_ms')

    def __init__(
        self, *, work: dict[str, Work], pending_tokens: float, now_ms: int
    ) -> None:
        """Compute the shares.

        :param work: work of the pool by customer.
        :param pending_tokens: pending tokens at its engines.
        :param now_ms: the current time in milliseconds.
        """
        self.computed_ms = now_ms
        given = sum(each.given for each in work.values())
        share = fair_share(
            (each.asked for each in work.values()),
            work_done(given, pending_tokens),
        )
        self._relative_uses = {
            customer: relative_use(each, share)
            for customer, each in work.items()
            if each.asked > share
        }

    def relative_use(self, customer: str) -> float:
        """Return the use of a customer as a multiple of its share.

        :param customer: name of the customer.
        :returns: the multiple; at most 1 for a customer within its share.
        """
        return self._relative_uses.get(customer, 1)


@final
class FairShares:
    """Cache of the shares of each pool, recomputed on demand."""

    __slots__ = ('_clock', '_knowledge', '_pools')

    def __init__(self, *, clock: Clock, knowledge: EndpointKnowledge) -> None:
        """Create an empty cache.

        :param clock: source of the current time.
        :param knowledge: work of customers and load of engines.
        """
        self._clock = clock
        self._knowledge = knowledge
        self._pools: dict[str, PoolShares] = {}

    def find(self, pool: str) -> PoolShares:
        """Return the shares of a pool's customers.

        :param pool: name of the pool.
        :returns: the shares, some tenths of a second old at most.
        """
        now_ms = self._clock.now_ms()
        shares = self._pools.get(pool)
        if shares is None or now_ms - shares.computed_ms >= _SHARES_MAX_AGE_MS:
            work = self._knowledge.customer_work
            shares = PoolShares(
                work=work.decayed_work(pool)
                if work.covers_half_life(pool)
                else {},
                pending_tokens=self._pending_tokens(pool),
                now_ms=now_ms,
            )
            self._pools[pool] = shares
        return shares

    def _pending_tokens(self, pool: str) -> int:
        total = self._knowledge.load.total
        return sum(
            total(each.name).prefill_tokens
            for each in self._knowledge.table.usable(pool)
        )
