"""The engines that the group of a prompt has for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable

if TYPE_CHECKING:
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.state import GatewayState


def narrow_to_group(
    state: GatewayState,
    demand: Demand,
    listed: list[PoolEndpoint],
    is_sound: Callable[[str], bool],
) -> list[PoolEndpoint]:
    """Leave out endpoints that are kept for streams of another kind.

    :param state: what the gateway knows.
    :param demand: what a call asks.
    :param listed: endpoints of its pool that take new work.
    :param is_sound: whether the call may go to an endpoint without a doubt.
    :returns: those of its group; all if it has none, or none that is sound.
    """
    if not (listed and demand.is_prompt and state.routes):
        return listed
    if not state.knowledge.judges_together(listed[0].pool):
        state.kept_engines.forget(listed[0].pool)
        return listed
    group = state.kept_engines.narrow(state.routes, demand, listed)
    if group is listed or any(is_sound(each.name) for each in group):
        return group
    return listed
