"""Which endpoints of a pool a call may go to.

Joins what is known of them with :mod:`wingfall.gateway.rules.placement`.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Callable

from wingfall.gateway.rules.placement.candidate import Demand
from wingfall.gateway.rules.placement.shortlist import (
    count_drawn,
    is_weighed_whole,
    list_sound,
    prefer_sound,
    shorten,
)

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState


def describe_demand(call: Call) -> Demand:
    """Collect what a call asks of an endpoint.

    :param call: the call.
    :returns: the inputs of the rules.
    """
    prompt = call.head.prompt
    if prompt is None:
        return Demand(body_bytes=len(call.body))
    target = call.route.target
    return Demand(
        is_prompt=True,
        tokens=prompt.tokens,
        shared_tokens=sum(part.tokens for part in prompt.shared),
        output_tokens=prompt.output_tokens,
        start_target_ms=target.first_token_ms,
        gap_target_ms=target.token_gap_ms,
        body_bytes=len(call.body),
    )


def list_weighed(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> list[PoolEndpoint]:
    """List the endpoints that a call is weighed at.

    :param state: what the gateway knows.
    :param call: the call.
    :param pool: name of its pool.
    :param avoided: endpoints that it was sent to before.
    :returns: some of a large pool, none if there is no endpoint left.
    """
    is_out = state.knowledge.health.is_out
    is_held = _held_endpoints(state, call, pool)
    find_sound = functools.partial(
        list_sound,
        avoided=avoided,
        is_out=lambda name: is_out(name) or is_held(name),
    )
    usable = _narrow_to_group(state, call, pool, find_sound)
    prompt = call.head.prompt
    drawn = count_drawn(prompt.tokens if prompt else 0)
    if not is_weighed_whole(usable, drawn):
        caching = _endpoints_that_cache(state, call, usable)
        sound = find_sound(shorten(usable, caching, drawn))
        if sound:
            return sound
    free = [each for each in usable if not is_held(each.name)]
    return prefer_sound(free, avoided, is_out)


def list_open(state: GatewayState, call: Call, pool: str) -> list[PoolEndpoint]:
    """List all endpoints of a pool that a call may go to.

    :param state: what the gateway knows.
    :param call: the call, which was sent nowhere yet.
    :param pool: name of its pool.
    :returns: those that are neither left out nor held.
    """
    is_out = state.knowledge.health.is_out
    is_held = _held_endpoints(state, call, pool)
    find_sound = functools.partial(
        list_sound,
        avoided=(),
        is_out=lambda name: is_out(name) or is_held(name),
    )
    return find_sound(_narrow_to_group(state, call, pool, find_sound))


def _narrow_to_group(
    state: GatewayState,
    call: Call,
    pool: str,
    find_sound: Callable[[list[PoolEndpoint]], list[PoolEndpoint]],
) -> list[PoolEndpoint]:
    listed = state.knowledge.table.usable(pool)
    if call.head.prompt is None or state.routes is None:
        return listed
    if not state.knowledge.is_large(pool):
        return listed
    demand = describe_demand(call)
    group = state.kept_engines.narrow(state.routes, demand, listed)
    # Where none of them can be used, the others serve the call.
    return group if group is listed or find_sound(group) else listed


def _held_endpoints(
    state: GatewayState,
    call: Call,
    pool: str,
) -> Callable[[str], bool]:
    spared = state.held_calls.gives_way(
        pool,
        call.priority,
        state.clock.now_ms(),
    )
    return functools.partial(state.gate.is_held, spared=spared)


def _endpoints_that_cache(
    state: GatewayState,
    call: Call,
    usable: list[PoolEndpoint],
) -> list[PoolEndpoint]:
    prompt = call.head.prompt
    if prompt is None:
        return []
    names = state.knowledge.caches.engines_with(prompt)
    return [endpoint for endpoint in usable if endpoint.name in names]
