"""Choice of the pool that serves a call, by the weights of its route."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.model.routes import WeightedPool


def pick_pool(pools: Sequence[WeightedPool]) -> str:
    """Choose a pool at random by weight.

    :param pools: the pools of a route, at least one.
    :returns: name of the pool; the first if all weights are zero.
    """
    weights = [entry.weight for entry in pools]
    if len(pools) == 1 or not any(weights):
        return pools[0].pool
    return random.choices(pools, weights)[0].pool  # noqa: S311
