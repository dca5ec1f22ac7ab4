"""Where a call goes: what is known of a pool's endpoints, put to the rules.

Relies on :mod:`wingfall.gateway.rules` for each decision and only collects
their inputs.
"""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.calls.engine_group import narrow_to_group
from wingfall.gateway.knowledge.load import EndpointLoad
from wingfall.gateway.rules.placement.cache_transfer import copied_tokens
from wingfall.gateway.rules.placement.candidate import Candidate, Demand
from wingfall.gateway.rules.placement.shortlist import (
    count_drawn,
    is_weighed_whole,
    list_sound,
    prefer_sound,
    shorten,
)
from wingfall.gateway.rules.placement.stream_backup import choose_backup

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.prompt import Prompt
    from wingfall.gateway.model.routes import Pool
    from wingfall.gateway.state import GatewayState

# What peers sent an engine in the last tenths of a second is not known yet, so
# that gateways that all take the same engine for the best send to it at once. A
# guess drawn for each engine parts them: up to the length of a long read.
_UNSEEN_TOKENS: Final = 5000


@final
class Destination:
    """Where a call goes next, and what decided it."""

    __slots__ = (
        'backup',
        'candidate',
        'continues',
        'endpoint',
        'load',
        'source',
    )

    def __init__(
        self,
        *,
        endpoint: PoolEndpoint,
        candidate: Candidate,
        load: EndpointLoad,
        source: PoolEndpoint | None = None,
        backup: PoolEndpoint | None = None,
        continues: bool = False,
    ) -> None:
        """Keep a decision.

        :param endpoint: the endpoint.
        :param candidate: what was known of it.
        :param load: the work that the call adds there.
        :param source: the engine that it copies parts of the prompt from.
        :param backup: the engine that keeps a copy of the run.
        :param continues: whether the endpoint holds such a copy already.
        """
        self.endpoint = endpoint
        self.candidate = candidate
        self.load = load
        self.source = source
        self.backup = backup
        self.continues = continues

    @property
    def start_ms(self) -> float:
        """Milliseconds until the answer begins, by what was to be read."""
        waiting = self.candidate.reading_tokens + self.load.reading_tokens
        return self.candidate.speed.read_ms(waiting)


def choose_destination(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> Destination | None:
    """Choose where a call goes.

    :param state: what the gateway knows.
    :param call: the call.
    :param pool: name of its pool.
    :param avoided: endpoints that it was sent to before.
    :returns: the destination, None if the pool has no endpoint left.
    """
    weighed = _endpoints_to_weigh(state, call, pool, avoided)
    if not weighed:
        return None
    listed = {each.name: each for each in weighed}
    demand = describe_demand(call)
    candidates = [describe_endpoint(state, call, each) for each in weighed]
    source = _offer_copies(state, call, pool, candidates)
    chosen = state.policies.placement(demand, candidates)
    candidates.remove(chosen)
    backup = _choose_backup(state, call, pool, demand, candidates)
    copies = source is not None and chosen.copied_tokens
    return Destination(
        endpoint=listed[chosen.name],
        candidate=chosen,
        load=added_load(call.head.prompt, demand, chosen),
        source=listed[source.name] if source and copies else None,
        backup=listed[backup.name] if backup else None,
    )


def describe_endpoint(
    state: GatewayState,
    call: Call,
    endpoint: PoolEndpoint,
) -> Candidate:
    """Collect what is known of an endpoint.

    :param state: what the gateway knows.
    :param call: the call.
    :param endpoint: the endpoint.
    :returns: the inputs of the rules.
    """
    known, prompt = state.knowledge, call.head.prompt
    load = known.load.total(endpoint.name)
    cached, all_cached, memory_tokens = 0, 0, 0
    if prompt is not None:
        cache = known.caches.find(endpoint.name)
        cached = cache.cached_tokens(prompt.shared)
        all_cached = cache.tokens
        pool = _find_pool(state, endpoint.pool)
        memory_tokens = pool.memory_tokens if pool else 0
    return Candidate(
        name=endpoint.name,
        remote=endpoint.zone != state.zone,
        slots=endpoint.slots,
        running=load.running,
        reading_tokens=load.reading_tokens,
        memory_used=load.memory_used,
        memory_tokens=memory_tokens,
        cached_tokens=cached,
        all_cached_tokens=all_cached,
        streams=load.streams,
        speed=known.speed(endpoint.name),
        long_reads=known.long_reads.tokens(endpoint.name),
        unseen_tokens=random.uniform(0, _UNSEEN_TOKENS),  # noqa: S311
        failing=known.health.failing(endpoint.name),
        safe_gap_ms=state.kept_engines.safe_gap_ms(
            endpoint.pool, endpoint.name
        ),
    )


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


def added_load(
    prompt: Prompt | None,
    demand: Demand,
    candidate: Candidate,
) -> EndpointLoad:
    """Tell what work a call adds at an endpoint.

    :param prompt: its prompt, if any.
    :param demand: what it asks.
    :param candidate: what is known of the endpoint.
    :returns: the work.
    """
    if prompt is None:
        return EndpointLoad(running=1)
    uncached = demand.tokens - candidate.cached_tokens
    return EndpointLoad(
        running=1,
        reading_tokens=uncached - candidate.copied_tokens,
        memory_used=uncached + demand.output_tokens,
        streams={demand.gap_target_ms: 1} if demand.gap_target_ms else {},
    )


def _endpoints_to_weigh(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> list[PoolEndpoint]:
    is_out = state.knowledge.health.is_out
    is_held = _held_endpoints(state, call, pool)
    usable = narrow_to_group(
        state,
        describe_demand(call),
        state.knowledge.table.usable(pool),
        lambda name: not (name in avoided or is_out(name) or is_held(name)),
    )
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


def _offer_copies(
    state: GatewayState,
    call: Call,
    pool: str,
    candidates: list[Candidate],
) -> Candidate | None:
    known = _find_pool(state, pool)
    if known is None or call.head.prompt is None:
        return None
    rate = state.knowledge.speeds.average(pool).tokens_per_ms
    source = state.policies.cache_transfer(
        candidates,
        known.copy_tokens_per_ms / rate,
    )
    for candidate in candidates:
        candidate.copied_tokens = copied_tokens(candidate, source)
    return source


def _choose_backup(
    state: GatewayState,
    call: Call,
    pool: str,
    demand: Demand,
    candidates: list[Candidate],
) -> Candidate | None:
    known = _find_pool(state, pool)
    if known is None or not known.backs_up or not call.route.streaming:
        return None
    return choose_backup(
        candidates,
        demand,
        resumable=call.route.resumable,
        is_worth_it=state.policies.stream_backup,
        place=state.policies.placement,
    )


def _find_pool(state: GatewayState, pool: str) -> Pool | None:
    return state.routes.pools.get(pool) if state.routes else None
