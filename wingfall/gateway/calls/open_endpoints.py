"""Which endpoints of a pool a call may go to.

Joins what is known of them with :mod:`wingfall.gateway.rules.placement`.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Callable

from wingfall.gateway.calls.engine_group import narrow_to_group
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
    usable = _list_group(state, call, pool, avoided)
    prompt = call.head.prompt
    drawn = count_drawn(prompt.tokens if prompt else 0)
    if not is_weighed_whole(usable, drawn):
        caching = _endpoints_that_cache(state, call, usable)
        sound = list_sound(
            shorten(usable, caching, drawn),
            avoided,
            lambda name: is_out(name) or is_held(name),
        )
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
    return list_sound(
        _list_group(state, call, pool, set()),
        (),
        lambda name: is_out(name) or is_held(name),
    )


def _list_group(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> list[PoolEndpoint]:
    is_out = state.knowledge.health.is_out
    is_held = _held_endpoints(state, call, pool)
    return narrow_to_group(
        state,
        describe_demand(call),
        state.knowledge.table.usable(pool),
        lambda name: not (name in avoided or is_out(name) or is_held(name)),
    )


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
