"""Selection of the endpoints of a pool that a call may be sent to.

Collects the inputs of :mod:`wingfall.gateway.rules.placement`.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Callable

from wingfall.gateway.calls.engine_group import narrow_to_group
from wingfall.gateway.calls.stream_endpoints import list_usable
from wingfall.gateway.rules.placement.candidate import Demand
from wingfall.gateway.rules.placement.shortlist import (
    choose_sample_size,
    fits_shortlist,
    list_available,
    make_shortlist,
    prefer_available,
)

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState


def describe_demand(call: Call) -> Demand:
    """Collect what a call requires of an endpoint.

    :param call: the call.
    :returns: the inputs of the placement rules.
    """
    prompt = call.head.prompt
    if prompt is None:
        return Demand(body_bytes=len(call.body))
    target = call.route.target
    return Demand(
        is_prompt=True,
        tokens=prompt.tokens,
        shared_tokens=sum(part.tokens for part in prompt.shared_parts),
        output_tokens=prompt.output_tokens,
        start_target_ms=target.first_token_ms,
        gap_target_ms=target.token_gap_ms,
        body_bytes=len(call.body),
    )


def list_candidates(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> list[PoolEndpoint]:
    """List the endpoints that placement considers for a call.

    :param state: state of the gateway.
    :param call: the call.
    :param pool: name of the call's pool.
    :param avoided: names of the endpoints of earlier attempts.
    :returns: a sample of a large pool; empty if no endpoint is left.
    """
    is_ejected = state.knowledge.health.is_ejected
    is_withheld = _withheld_check(state, call, pool)
    usable = _list_group_endpoints(state, call, pool, avoided)
    prompt = call.head.prompt
    sample_size = choose_sample_size(prompt.tokens if prompt else 0)
    if not fits_shortlist(usable, sample_size):
        caching = _list_caching(state, call, usable)
        available = list_available(
            make_shortlist(usable, caching, sample_size),
            avoided,
            lambda name: is_ejected(name) or is_withheld(name),
        )
        if available:
            return available
    accepting = [each for each in usable if not is_withheld(each.name)]
    return prefer_available(accepting, avoided, is_ejected)


def list_open_endpoints(
    state: GatewayState, call: Call, pool: str
) -> list[PoolEndpoint]:
    """List all endpoints of a pool that a call may be sent to.

    :param state: state of the gateway.
    :param call: the call, which was not sent to any endpoint yet.
    :param pool: name of the call's pool.
    :returns: endpoints that are neither ejected nor withheld.
    """
    is_ejected = state.knowledge.health.is_ejected
    is_withheld = _withheld_check(state, call, pool)
    return list_available(
        _list_group_endpoints(state, call, pool, set()),
        (),
        lambda name: is_ejected(name) or is_withheld(name),
    )


def _list_group_endpoints(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> list[PoolEndpoint]:
    is_ejected = state.knowledge.health.is_ejected
    is_withheld = _withheld_check(state, call, pool)
    return narrow_to_group(
        state,
        describe_demand(call),
        list_usable(state, call, pool),
        lambda name: (
            not (name in avoided or is_ejected(name) or is_withheld(name))
        ),
    )


def _withheld_check(
    state: GatewayState,
    call: Call,
    pool: str,
) -> Callable[[str], bool]:
    must_yield = state.deferred_calls.must_yield(
        pool,
        call.priority,
        state.clock.now_ms(),
    )
    return functools.partial(state.gate.is_withheld, exclude_limited=must_yield)


def _list_caching(
    state: GatewayState,
    call: Call,
    usable: list[PoolEndpoint],
) -> list[PoolEndpoint]:
    prompt = call.head.prompt
    if prompt is None:
        return []
    names = state.knowledge.caches.engines_with(prompt)
    return [endpoint for endpoint in usable if endpoint.name in names]
