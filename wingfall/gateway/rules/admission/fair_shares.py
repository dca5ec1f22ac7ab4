"""Which customers use more than their share of a pool's work.

Answers one customer at many times its usual beside others, for seconds. Shares
are max-min fair: customers that ask for less than an equal part of what the
pool gives are given all they ask, the others divide the rest equally. Demand is
what customers ask, so that one whose prompts are refused doesn't look small for
it; what the pool gives is the work that was sent to its engines and doesn't
wait there any more.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.customer_work import Work
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge

# Milliseconds for which shares hold: far less than a burst, and working them
# out for 15,000 customers takes some milliseconds.
_HELD_MS: Final = 300
# Part of the given work that counts as done, whatever is known to wait: engines
# hold prompts for about a target, less than half of the time over which work is
# summed up.
_LEAST_DONE_PART: Final = 0.5
# Part of its share below which a customer is not held back, however much it
# asks: others above their share must not take all that it may have.
_BEHIND_PART: Final = 0.5


def fair_share(demands: Iterable[float], supply: float) -> float:
    """Divide a supply by max-min fairness.

    :param demands: what each customer asks.
    :param supply: what there is to divide.
    :returns: the share of each customer that asks for more than it; infinite
        if there is enough for all.
    """
    ascending = sorted(demands)
    left, sharing = supply, len(ascending)
    for demand in ascending:
        share = left / sharing
        if demand > share:
            return share
        left -= demand
        sharing -= 1
    return float('inf')


def work_done(given: float, waiting: float) -> float:
    """Tell how much work a pool has done lately.

    :param given: tokens that were sent to its engines.
    :param waiting: tokens that wait there.
    :returns: tokens.
    """
    return max(given - waiting, given * _LEAST_DONE_PART)


def use_over_share(work: Work, share: float) -> float:
    """Tell how far a customer is above its share.

    :param work: what it asked and was given.
    :param share: what it may use.
    :returns: what it uses as a multiple of its share, halfway between what it
        asks and what it was given; at most one if that was far less.
    """
    if share <= 0:
        return 1
    use = math.sqrt(max(0, work.asked * work.given)) / share
    return min(use, 1) if work.given < share * _BEHIND_PART else use


@final
class PoolShares:
    """How far the customers of one pool are above their shares."""

    __slots__ = ('_uses', 'worked_out_ms')

    def __init__(
        self, *, work: dict[str, Work], waiting: float, now_ms: int
    ) -> None:
        """Work the shares out.

        :param work: work of the pool by customer.
        :param waiting: tokens that wait at its engines.
        :param now_ms: the time.
        """
        self.worked_out_ms = now_ms
        given = sum(each.given for each in work.values())
        share = fair_share(
            (each.asked for each in work.values()),
            work_done(given, waiting),
        )
        self._uses = {
            customer: use_over_share(each, share)
            for customer, each in work.items()
            if each.asked > share
        }

    def use(self, customer: str) -> float:
        """Tell how far a customer is above its share.

        :param customer: its name.
        :returns: its use over its share, at most one within it.
        """
        return self._uses.get(customer, 1)


@final
class FairShares:
    """How far customers are above their shares, worked out when asked."""

    __slots__ = ('_clock', '_knowledge', '_pools')

    def __init__(self, *, clock: Clock, knowledge: EndpointKnowledge) -> None:
        """Start with no shares.

        :param clock: the time.
        :param knowledge: what customers asked, and what waits at engines.
        """
        self._clock = clock
        self._knowledge = knowledge
        self._pools: dict[str, PoolShares] = {}

    def find(self, pool: str) -> PoolShares:
        """Give the shares of a pool's customers.

        :param pool: its name.
        :returns: the shares, some tenths of a second old at most.
        """
        now_ms = self._clock.now_ms()
        known = self._pools.get(pool)
        if known is None or now_ms - known.worked_out_ms >= _HELD_MS:
            work = self._knowledge.customer_work
            known = PoolShares(
                work=work.read(pool) if work.is_settled(pool) else {},
                waiting=self._waiting(pool),
                now_ms=now_ms,
            )
            self._pools[pool] = known
        return known

    def _waiting(self, pool: str) -> int:
        total = self._knowledge.load.total
        return sum(
            total(each.name).reading_tokens
            for each in self._knowledge.table.usable(pool)
        )
