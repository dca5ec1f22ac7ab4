"""Estimates of when a prompt would start at the engines of a pool.

Only collects the engines, their queues and their speeds;
:mod:`wingfall.gateway.rules.admission.early_refusal` decides which start is in
time.
"""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.calls.destination import (
    Destination,
    added_load,
    choose_among,
    describe_endpoint,
)
from wingfall.gateway.calls.open_endpoints import (
    describe_demand,
    list_open_endpoints,
)
from wingfall.gateway.rules.admission.early_refusal import StartEstimate

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState

# Size of the random sample of engines in time that placement considers: small,
# so that gateways with the same estimates don't all send to the same engine.
_MAX_SAMPLED_ENGINES: Final = 6
# Number of engines with the most cached tokens of the prompt. Placement
# considers them if they are in time, otherwise it may copy from them.
_MAX_CACHING_ENGINES: Final = 3


@final
class PoolCapacity:
    """Destinations in a pool, divided by whether a prompt starts in time."""

    __slots__ = ('in_time', 'late')

    def __init__(
        self,
        *,
        in_time: list[Destination],
        late: list[Destination],
    ) -> None:
        """Initialize the destinations.

        :param in_time: destinations at which the prompt starts in time.
        :param late: all other destinations, at least one.
        """
        self.in_time = in_time
        self.late = late

    @property
    def engine_count(self) -> int:
        """Number of engines that accept prompts."""
        return len(self.in_time) + len(self.late)

    @property
    def earliest(self) -> Destination:
        """The destination with the earliest start."""
        return min((*self.in_time, *self.late), key=_start_ms)


def estimate_start(
    state: GatewayState,
    call: Call,
    destination: Destination,
    relative_use: float = 1,
    margin: float = 1,
) -> StartEstimate:
    """Estimate when a prompt would start at an engine.

    :param state: state of the gateway.
    :param call: the call, which has a prompt.
    :param destination: the engine's destination.
    :param relative_use: the customer's use as a multiple of its fair share.
    :param margin: factor by which most starts are later than estimated at
        most.
    :returns: the estimate.
    """
    pool, speed = destination.endpoint.pool, destination.candidate.speed
    expected_ms = functools.partial(
        state.knowledge.expected_start_ms, pool, call.priority
    )
    tiers = state.routes.find_tiers(pool) if state.routes else (0,)
    return StartEstimate(
        start_ms=expected_ms(destination.start_ms),
        target_ms=call.route.target_ms,
        left_ms=call.deadline_ms - state.clock.now_ms(),
        urgent=call.route.tier <= tiers[0],
        lowest=call.route.tier >= tiers[-1],
        empty_queue_start_ms=expected_ms(
            speed.prefill_ms(destination.load.prefill_tokens)
        ),
        stream_ms=_stream_ms(state, call, destination),
        use=relative_use,
        margin=margin,
    )


def find_capacity(
    state: GatewayState,
    call: Call,
    chosen: Destination,
    is_in_time: Callable[[Destination], bool],
) -> PoolCapacity:
    """Find the engines of a pool that would start a prompt in time.

    :param state: state of the gateway.
    :param call: the call, which was not sent to any engine yet.
    :param chosen: the destination that placement chose, which is too late.
    :param is_in_time: checks if a destination starts the prompt in time.
    :returns: the destinations in time and the late ones.
    """
    in_time: list[Destination] = []
    late = [chosen]
    for endpoint in list_open_endpoints(state, call, chosen.endpoint.pool):
        if endpoint.name == chosen.endpoint.name:
            continue
        destination = _describe_destination(state, call, endpoint)
        (in_time if is_in_time(destination) else late).append(destination)
    return PoolCapacity(in_time=in_time, late=late)


def choose_timely_engine(
    state: GatewayState, call: Call, pool: str, capacity: PoolCapacity
) -> Destination:
    """Choose an engine that starts a prompt in time.

    :param state: state of the gateway.
    :param call: the call.
    :param pool: name of the call's pool.
    :param capacity: destinations, at least one of them in time.
    :returns: the chosen destination.
    """
    caching = _list_caching(capacity.in_time)
    sample = capacity.in_time
    if len(sample) > _MAX_SAMPLED_ENGINES:
        sample = random.sample(sample, _MAX_SAMPLED_ENGINES)
    endpoints = {
        each.endpoint.name: each.endpoint for each in (*caching, *sample)
    }
    sources = _list_caching(capacity.late)
    return choose_among(
        state,
        call,
        pool,
        list(endpoints.values()),
        [each.endpoint for each in sources],
    )


def _list_caching(destinations: list[Destination]) -> list[Destination]:
    # Engines that cache nothing would be the same few at all gateways.
    caching = [each for each in destinations if _cached_tokens(each)]
    return sorted(caching, key=_cached_tokens)[-_MAX_CACHING_ENGINES:]


def _describe_destination(
    state: GatewayState, call: Call, endpoint: PoolEndpoint
) -> Destination:
    candidate = describe_endpoint(state, call, endpoint)
    demand = describe_demand(call)
    return Destination(
        endpoint=endpoint,
        candidate=candidate,
        load=added_load(call.head.prompt, demand, candidate),
    )


def _stream_ms(
    state: GatewayState, call: Call, destination: Destination
) -> float:
    pools = state.routes.pools if state.routes else {}
    pool, prompt = pools.get(destination.endpoint.pool), call.head.prompt
    if pool is None or prompt is None or not pool.event_tokens:
        return 0
    events = prompt.output_tokens / pool.event_tokens
    return events * destination.candidate.speed.idle_gap_ms


def _start_ms(destination: Destination) -> float:
    return destination.start_ms


def _cached_tokens(destination: Destination) -> int:
    return destination.candidate.cached_tokens
