"""Choice of the destination of a call.

Collects the inputs of the placement rules; :mod:`wingfall.gateway.rules`
decides.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.calls.open_endpoints import (
    describe_demand,
    list_candidates,
)
from wingfall.gateway.knowledge.load import EndpointLoad
from wingfall.gateway.model.stream_origin import StreamOrigin
from wingfall.gateway.rules.placement.cache_transfer import copied_tokens
from wingfall.gateway.rules.placement.candidate import Candidate
from wingfall.gateway.rules.placement.stream_backup import choose_backup

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.prompt import Prompt
    from wingfall.gateway.model.routes import Pool
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.state import GatewayState

# Prompts that peers sent in the last tenths of a second are not reported yet,
# so gateways that rate the same engine best would all send to it at once. A
# random estimate for each engine, up to a long prefill, spreads their choices.
_UNREPORTED_TOKENS: Final = 5000


@final
class Destination:
    """The endpoint of the next attempt, and the inputs of that choice."""

    __slots__ = (
        'backup',
        'candidate',
        'is_continuation',
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
        is_continuation: bool = False,
    ) -> None:
        """Create a destination.

        :param endpoint: the endpoint that the call is sent to.
        :param candidate: the properties that the choice was based on.
        :param load: the load that the call adds to the endpoint.
        :param source: the engine to copy cached prompt parts from.
        :param backup: the engine that keeps a copy of the run.
        :param is_continuation: whether the endpoint already holds such a copy.
        """
        self.endpoint = endpoint
        self.candidate = candidate
        self.load = load
        self.source = source
        self.backup = backup
        self.is_continuation = is_continuation

    @property
    def start_ms(self) -> float:
        """Milliseconds of prefill until the answer starts."""
        pending_tokens = (
            self.candidate.prefill_tokens + self.load.prefill_tokens
        )
        return self.candidate.speed.prefill_ms(pending_tokens)


def choose_destination(
    state: GatewayState,
    call: Call,
    pool: str,
    avoided: set[str],
) -> Destination | None:
    """Choose the destination of a call.

    :param state: state of the gateway.
    :param call: the call.
    :param pool: name of the call's pool.
    :param avoided: names of the endpoints of earlier attempts.
    :returns: the destination, None if the pool has no endpoint left.
    """
    endpoints = list_candidates(state, call, pool, avoided)
    return choose_among(state, call, pool, endpoints) if endpoints else None


def choose_among(
    state: GatewayState,
    call: Call,
    pool: str,
    endpoints: list[PoolEndpoint],
    sources: Sequence[PoolEndpoint] = (),
) -> Destination:
    """Choose one of the given endpoints.

    :param state: state of the gateway.
    :param call: the call.
    :param pool: name of the call's pool.
    :param endpoints: the endpoints to choose from, at least one.
    :param sources: further engines to copy cached prompt parts from.
    :returns: the destination.
    """
    endpoints_by_name = {each.name: each for each in (*endpoints, *sources)}
    demand = describe_demand(call)
    described = [
        describe_endpoint(state, call, each)
        for each in endpoints_by_name.values()
    ]
    sources_by_version = _set_copied_tokens(
        state, call, pool, described, endpoints_by_name
    )
    candidates = described[: len(endpoints)]
    chosen = state.policies.placement(demand, candidates)
    candidates.remove(chosen)
    backup = _choose_backup(
        state,
        call,
        pool,
        demand,
        _list_same_version(endpoints_by_name, chosen, candidates),
    )
    source = sources_by_version.get(endpoints_by_name[chosen.name].version)
    copies = source is not None and chosen.copied_tokens
    return Destination(
        endpoint=endpoints_by_name[chosen.name],
        candidate=chosen,
        load=added_load(call.head.prompt, demand, chosen),
        source=endpoints_by_name[source.name] if source and copies else None,
        backup=endpoints_by_name[backup.name] if backup else None,
    )


def describe_endpoint(
    state: GatewayState,
    call: Call,
    endpoint: PoolEndpoint,
) -> Candidate:
    """Collect the properties of an endpoint for a call.

    :param state: state of the gateway.
    :param call: the call.
    :param endpoint: the endpoint.
    :returns: the inputs of the placement rules.
    """
    knowledge, prompt = state.knowledge, call.head.prompt
    load = knowledge.load.total(endpoint.name)
    cached, all_cached, memory_tokens = 0, 0, 0
    if prompt is not None:
        cache = knowledge.caches.find(endpoint.name)
        cached = cache.cached_tokens(prompt.shared_parts)
        all_cached = cache.tokens
        pool = _find_pool(state, endpoint.pool)
        memory_tokens = pool.memory_tokens if pool else 0
    return Candidate(
        name=endpoint.name,
        remote=endpoint.zone != state.zone,
        slots=endpoint.slots,
        running=load.running,
        prefill_tokens=load.prefill_tokens,
        memory_used=load.memory_used,
        memory_tokens=memory_tokens,
        cached_tokens=cached,
        total_cached_tokens=all_cached,
        streams=load.streams,
        speed=knowledge.speed(endpoint.name),
        long_reads=knowledge.long_reads.tokens(endpoint.name),
        unreported_tokens=random.uniform(0, _UNREPORTED_TOKENS),  # noqa: S311
        failure_rate=knowledge.health.failure_rate(endpoint.name),
        safe_gap_ms=state.reserved_engines.safe_gap_ms(
            endpoint.pool, endpoint.name
        ),
    )


def added_load(
    prompt: Prompt | None,
    demand: Demand,
    candidate: Candidate,
) -> EndpointLoad:
    """Return the load that a call adds to an endpoint.

    :param prompt: prompt of the call, None for a plain request.
    :param demand: what the call requires.
    :param candidate: properties of the endpoint.
    :returns: the added load.
    """
    if prompt is None:
        return EndpointLoad(running=1)
    uncached = demand.tokens - candidate.cached_tokens
    return EndpointLoad(
        running=1,
        prefill_tokens=uncached - candidate.copied_tokens,
        memory_used=uncached + demand.output_tokens,
        streams={demand.gap_target_ms: 1} if demand.gap_target_ms else {},
    )


def _list_same_version(
    endpoints: Mapping[str, PoolEndpoint],
    chosen: Candidate,
    candidates: Sequence[Candidate],
) -> list[Candidate]:
    # Memory of a run that another version wrote can't be continued.
    origin = StreamOrigin(
        pool=endpoints[chosen.name].pool,
        version=endpoints[chosen.name].version,
        is_only_version=_has_no_versions(endpoints.values()),
    )
    return [each for each in candidates if origin.allows(endpoints[each.name])]


def _has_no_versions(endpoints: Iterable[PoolEndpoint]) -> bool:
    # A platform that names no version at all is taken to have one.
    return all(each.version is None for each in endpoints)


def _set_copied_tokens(
    state: GatewayState,
    call: Call,
    pool: str,
    candidates: list[Candidate],
    endpoints: Mapping[str, PoolEndpoint],
) -> dict[str | None, Candidate | None]:
    known_pool = _find_pool(state, pool)
    if known_pool is None or call.head.prompt is None:
        return {}
    rate = state.knowledge.speeds.pool_rate(pool).tokens_per_ms
    speedup = known_pool.copy_tokens_per_ms / rate
    sources: dict[str | None, Candidate | None] = {}
    # An engine reads only memory that its own version wrote.
    for version, members in _group_by_version(candidates, endpoints).items():
        source = state.policies.cache_transfer(members, speedup)
        sources[version] = source
        for candidate in members:
            candidate.copied_tokens = copied_tokens(candidate, source)
    return sources


def _group_by_version(
    candidates: Sequence[Candidate],
    endpoints: Mapping[str, PoolEndpoint],
) -> dict[str | None, list[Candidate]]:
    groups: dict[str | None, list[Candidate]] = {}
    for candidate in candidates:
        version = endpoints[candidate.name].version
        groups.setdefault(version, []).append(candidate)
    if len(groups) > 1:
        # Engines that name no version may be of different ones.
        groups.pop(None, None)
    return groups


def _choose_backup(
    state: GatewayState,
    call: Call,
    pool: str,
    demand: Demand,
    candidates: list[Candidate],
) -> Candidate | None:
    known_pool = _find_pool(state, pool)
    if (
        known_pool is None
        or not known_pool.backs_up
        or not call.route.streaming
    ):
        return None
    return choose_backup(
        candidates,
        demand,
        resumable=call.route.resumable,
        should_back_up=state.policies.stream_backup,
        place=state.policies.placement,
    )


def _find_pool(state: GatewayState, pool: str) -> Pool | None:
    return state.routes.pools.get(pool) if state.routes else None
