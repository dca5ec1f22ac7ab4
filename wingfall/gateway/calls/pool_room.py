"""When a prompt would start at the engines of a pool.

Only collects: which engines there are, what waits there and how fast they are;
:mod:`wingfall.gateway.rules.admission.early_refusal` tells which start is in
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
from wingfall.gateway.calls.open_endpoints import describe_demand, list_open
from wingfall.gateway.rules.admission.early_refusal import StartEstimate

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState

# Engines in time that are drawn to be weighed: few, so that gateways that find
# the same engines in time don't all send to the best of them.
_MOST_DRAWN: Final = 6
# Engines that cache the most of the prompt, which are weighed if they are in
# time, and else copied from.
_MOST_CACHING: Final = 3


@final
class PoolRoom:
    """Where in a pool a prompt could start, and when."""

    __slots__ = ('in_time', 'late')

    def __init__(
        self,
        *,
        in_time: list[Destination],
        late: list[Destination],
    ) -> None:
        """Keep what was found.

        :param in_time: where it would be admitted.
        :param late: where not, one at least.
        """
        self.in_time = in_time
        self.late = late

    @property
    def engines(self) -> int:
        """How many engines take prompts."""
        return len(self.in_time) + len(self.late)

    @property
    def soonest(self) -> Destination:
        """Where it would start first."""
        return min((*self.in_time, *self.late), key=_start_ms)


def estimate_start(
    state: GatewayState,
    call: Call,
    destination: Destination,
    use: float = 1,
    margin: float = 1,
) -> StartEstimate:
    """Estimate when a prompt would start at an engine.

    :param state: what the gateway knows.
    :param call: the call, which has a prompt.
    :param destination: where it would go.
    :param use: what its customer uses as a multiple of its fair share.
    :param margin: by how many times most starts are later than estimated at
        most.
    :returns: the estimate.
    """
    pool, speed = destination.endpoint.pool, destination.candidate.speed
    expected_ms = functools.partial(
        state.knowledge.expected_start_ms, pool, call.priority
    )
    tiers = state.routes.tiers_of(pool) if state.routes else (0,)
    return StartEstimate(
        start_ms=expected_ms(destination.start_ms),
        target_ms=call.route.target_ms,
        left_ms=call.deadline_ms - state.clock.now_ms(),
        urgent=call.route.tier <= tiers[0],
        lowest=call.route.tier >= tiers[-1],
        alone_ms=expected_ms(speed.read_ms(destination.load.reading_tokens)),
        stream_ms=_stream_ms(state, call, destination),
        use=use,
        margin=margin,
    )


def find_room(
    state: GatewayState,
    call: Call,
    chosen: Destination,
    judge: Callable[[Destination], bool],
) -> PoolRoom:
    """Look for room at all engines of a pool.

    :param state: what the gateway knows.
    :param call: the call, which was sent nowhere yet.
    :param chosen: where placement would send it, which is too late.
    :param judge: tells whether it would be in time at an engine.
    :returns: what was found.
    """
    in_time: list[Destination] = []
    late = [chosen]
    for endpoint in list_open(state, call, chosen.endpoint.pool):
        if endpoint.name == chosen.endpoint.name:
            continue
        destination = _describe_destination(state, call, endpoint)
        (in_time if judge(destination) else late).append(destination)
    return PoolRoom(in_time=in_time, late=late)


def take_room(
    state: GatewayState, call: Call, pool: str, room: PoolRoom
) -> Destination:
    """Choose an engine that starts a prompt in time.

    :param state: what the gateway knows.
    :param call: the call.
    :param pool: name of its pool.
    :param room: where there is room, at one engine at least.
    :returns: the destination.
    """
    caching = _list_caching(room.in_time)
    drawn = room.in_time
    if len(drawn) > _MOST_DRAWN:
        drawn = random.sample(drawn, _MOST_DRAWN)
    weighed = {each.endpoint.name: each.endpoint for each in (*caching, *drawn)}
    sources = _list_caching(room.late)
    return choose_among(
        state,
        call,
        pool,
        list(weighed.values()),
        [each.endpoint for each in sources],
    )


def _list_caching(destinations: list[Destination]) -> list[Destination]:
    # None that caches nothing: they would be the same few for all gateways.
    caching = [each for each in destinations if _cached_tokens(each)]
    return sorted(caching, key=_cached_tokens)[-_MOST_CACHING:]


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
