"""Priority that is sent to an engine with a prompt.

A full engine admits the more urgent prompts first, and when its memory runs out
it preempts the newest of the least urgent prompts. If the customer's priority
took precedence over the route's, prompts of the most urgent route would be
preempted for customers of low priority while prompts of less urgent routes ran
on. So routes are ranked first, and customers only within the same tier.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

# Number of priorities that engines support, 0 the most urgent: the platform's
# range.
PRIORITY_LEVELS: Final = 10
# Engine priorities of each tier: for customers more urgent than the route's
# tier, customers with the same tier or none, and less urgent customers.
_LEVELS_PER_TIER: Final = 3


def engine_priority(
    route_tier: int,
    customer_tier: int | None,
    tiers: Sequence[int],
) -> int:
    """Rank a prompt by its route, then by its customer.

    :param route_tier: tier of the route, 0 the highest.
    :param customer_tier: the customer's own priority, None without one.
    :param tiers: distinct tiers of all configured routes, ascending.
    :returns: the priority, 0 the most urgent; by the route alone if the tiers
        leave too few priorities to rank customers.
    """
    rank = bisect.bisect_left(tiers, route_tier)
    if len(tiers) * _LEVELS_PER_TIER > PRIORITY_LEVELS:
        return min(rank, PRIORITY_LEVELS - 1)
    return rank * _LEVELS_PER_TIER + _level_in_tier(route_tier, customer_tier)


def _level_in_tier(route_tier: int, customer_tier: int | None) -> int:
    if customer_tier is None or customer_tier == route_tier:
        return 1
    return 0 if customer_tier < route_tier else 2
