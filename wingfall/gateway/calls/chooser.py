"""Collects what is known of a pool's endpoints and has one chosen."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.endpoints.load import EndpointLoad
from wingfall.gateway.rules.cache_transfer import MOST_FAILING, copied_tokens
from wingfall.gateway.rules.placement import Candidate, Demand
from wingfall.gateway.rules.stream_backup import RunLength

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.prompt import Prompt
    from wingfall.gateway.state import GatewayState

# Pools up to this size are considered whole.
_MOST_CONSIDERED: Final = 64
_DRAWN: Final = 24
# What peers sent an engine in the last tenths of a second is not known yet.
# Gateways that all took the same engine for the best sent to it at once: of
# 255 late first events at 30 gateways, 254 had other prompts beside them that
# their gateway had not heard of. A guess drawn for each engine parts them:
# worth 0.708 -> 0.720 there with 3,000 tokens, 0.726 with 8,000 (a day at high
# load, two seeds). About the length of a long read.
_UNSEEN_TOKENS: Final = 5000


@final
class Choice:
    """A chosen endpoint and what decided it."""

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
        """Keep a choice.

        :param endpoint: the endpoint.
        :param candidate: what was known of it.
        :param load: the work that the request brings there.
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


def choose_endpoint(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> Choice | None:
    """Choose where a request goes.

    :param state: what the gateway knows.
    :param call: the request.
    :param pool: name of its pool.
    :param avoided: endpoints that it was sent to before.
    :returns: the choice, None if the pool has no endpoint left.
    """
    usable = state.endpoints.usable(pool)
    narrowed = _narrow(state, call, usable)
    considered = _acceptable(state, narrowed, avoided)
    if not considered and len(narrowed) < len(usable):
        considered = _acceptable(state, usable, avoided)
    if not considered:
        return None
    listed = {each.name: each for each in considered}
    demand = describe_demand(call)
    candidates = [describe(state, call, each) for each in considered]
    holder = _offer_copies(state, call, pool, candidates)
    chosen = state.placement(demand, candidates)
    candidates.remove(chosen)
    backup = _choose_backup(state, call, pool, demand, candidates)
    return Choice(
        endpoint=listed[chosen.name],
        candidate=chosen,
        load=added_load(call.head.prompt, demand, chosen),
        source=listed[holder.name] if holder and chosen.copied_tokens else None,
        backup=listed[backup.name] if backup else None,
    )


def _choose_backup(
    state: GatewayState,
    call: Call,
    pool: str,
    demand: Demand,
    candidates: list[Candidate],
) -> Candidate | None:
    known = state.routes.pools.get(pool) if state.routes else None
    if known is None or not known.backs_up or not call.route.streaming:
        return None
    sound = [each for each in candidates if each.failing < MOST_FAILING]
    length = RunLength(
        prompt_tokens=demand.tokens,
        output_tokens=demand.output_tokens,
    )
    if not sound or not state.stream_backup(length, call.route.resumable):
        return None
    return state.placement(demand, sound)


def _offer_copies(
    state: GatewayState,
    call: Call,
    pool: str,
    candidates: list[Candidate],
) -> Candidate | None:
    known = state.routes.pools.get(pool) if state.routes else None
    if known is None or call.head.prompt is None:
        return None
    rate = state.speeds.average(pool).tokens_per_ms
    speed = known.copy_tokens_per_ms / rate
    holder = state.cache_transfer(candidates, speed)
    for candidate in candidates:
        candidate.copied_tokens = copied_tokens(candidate, holder)
    return holder


def _acceptable(
    state: GatewayState,
    endpoints: list[PoolEndpoint],
    avoided: set[str],
) -> list[PoolEndpoint]:
    fresh = [each for each in endpoints if each.name not in avoided]
    known = [each for each in fresh if not state.health.is_out(each.name)]
    return known or fresh


def _narrow(
    state: GatewayState,
    call: Call,
    endpoints: list[PoolEndpoint],
) -> list[PoolEndpoint]:
    # In a large pool: those that keep part of the prompt, and some drawn.
    if len(endpoints) <= _MOST_CONSIDERED:
        return endpoints
    drawn = random.sample(endpoints, _DRAWN)
    prompt = call.head.prompt
    if prompt is None:
        return drawn
    keeping = [
        endpoint
        for endpoint in map(state.endpoints.find, state.caches.keepers(prompt))
        if endpoint is not None
        and endpoint.pool == endpoints[0].pool
        and not endpoint.draining
    ]
    if len(keeping) > _DRAWN:
        keeping = random.sample(keeping, _DRAWN)
    return list({each.name: each for each in (*keeping, *drawn)}.values())


def describe(
    state: GatewayState,
    call: Call,
    endpoint: PoolEndpoint,
) -> Candidate:
    """Collect what is known of an endpoint.

    :param state: what the gateway knows.
    :param call: the request.
    :param endpoint: the endpoint.
    :returns: the inputs of the decision.
    """
    load = state.load.total(endpoint.name)
    prompt = call.head.prompt
    cached, kept, memory_tokens = 0, 0, 0
    if prompt is not None:
        cache = state.caches.find(endpoint.name)
        cached = cache.cached_tokens(prompt.shared)
        kept = cache.tokens
        pool = state.routes.pools.get(endpoint.pool) if state.routes else None
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
        kept_tokens=kept,
        streams=load.streams,
        speed=state.speed(endpoint.name),
        recent_reads=state.reads.tokens(endpoint.name),
        unseen_tokens=random.uniform(0, _UNSEEN_TOKENS),  # noqa: S311
        failing=state.health.failing(endpoint.name),
    )


def describe_demand(call: Call) -> Demand:
    """Collect what a request asks of an endpoint.

    :param call: the request.
    :returns: the inputs of the decision.
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
    """Tell what work a request brings to an endpoint.

    :param prompt: its prompt, if any.
    :param demand: what it asks.
    :param candidate: what is known of the endpoint.
    :returns: the work.
    """
    if prompt is None:
        return EndpointLoad(running=1)
    unread = demand.tokens - candidate.cached_tokens
    return EndpointLoad(
        running=1,
        reading_tokens=unread - candidate.copied_tokens,
        memory_used=unread + demand.output_tokens,
        streams={demand.gap_target_ms: 1} if demand.gap_target_ms else {},
    )
