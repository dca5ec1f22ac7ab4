"""Selection of the engines in the group of a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable

if TYPE_CHECKING:
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.state import GatewayState


def narrow_to_group(
    state: GatewayState,
    demand: Demand,
    endpoints: list[PoolEndpoint],
    is_available: Callable[[str], bool],
) -> list[PoolEndpoint]:
    """Exclude endpoints that are reserved for streams of another kind.

    :param state: state of the gateway.
    :param demand: what a call requires.
    :param endpoints: endpoints of the pool that accept new work.
    :param is_available: checks if an endpoint is available, given its name.
    :returns: endpoints of the call's group; all endpoints if there is no group
        or no endpoint of the group is available.
    """
    if not (endpoints and demand.is_prompt and state.routes):
        return endpoints
    if not state.knowledge.shares_estimates(endpoints[0].pool):
        state.reserved_engines.forget(endpoints[0].pool)
        return endpoints
    group = state.reserved_engines.allowed_engines(
        state.routes, demand, endpoints
    )
    if group is endpoints or any(is_available(each.name) for each in group):
        return group
    return endpoints
