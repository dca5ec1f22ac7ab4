"""How urgent an engine is told that a prompt is.

Answers a full engine: it lets the more urgent prompts in first, and when its
memory runs out displaces the newest of the least urgent. If a customer's
priority went before the route's, prompts of the most urgent route from modest
customers would be displaced while those of lesser routes ran on. So routes are
ranked first, and customers only among prompts of routes with the same tier.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

# Priorities that engines tell apart, 0 the most urgent: the platform's range.
PRIORITIES: Final = 10
# Places of a tier among engines' priorities: customers that go before the
# route's own tier, those that have it or none of their own, those after it.
_PLACES: Final = 3


def engine_priority(
    route_tier: int,
    customer_tier: int | None,
    tiers: Sequence[int],
) -> int:
    """Rank a prompt by its route, then by its customer.

    :param route_tier: tier of its route, 0 the highest.
    :param customer_tier: the customer's own priority, None without one.
    :param tiers: the tiers of all routes in force, ascending, each once.
    :returns: the priority, 0 the most urgent; by the route alone where the
        engines' range has no room for customers.
    """
    rank = bisect.bisect_left(tiers, route_tier)
    if len(tiers) * _PLACES > PRIORITIES:
        return min(rank, PRIORITIES - 1)
    return rank * _PLACES + _place(route_tier, customer_tier)


def _place(route_tier: int, customer_tier: int | None) -> int:
    if customer_tier is None or customer_tier == route_tier:
        return 1
    return 0 if customer_tier < route_tier else 2
