"""Choice of the endpoint of a pool that serves a request, by least cost.

The cost of an engine is in prefill tokens: uncached tokens of this request,
pending prefill tokens ahead of it, and a penalty for each stream that the
choice would likely make late: of this request, or of another one delayed by a
long prefill. The rules are pure functions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final

from wingfall.gateway.knowledge.engine_speed import late_probability
from wingfall.gateway.knowledge.long_reads import SHORT_PREFILL_TOKENS
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.rules.placement.candidate import Candidate, Demand

# Weight of the tokens of a shared part that are copied from another engine:
# they occupy memory on both engines.
_COPIED_WEIGHT: Final = 5
# Weight of the tokens of a shared part that are prefilled although another
# engine caches them: higher than for a copy, so that copies are preferred.
_RECOMPUTED_WEIGHT: Final = 6
# Cost of each running request, so that equal engines are loaded evenly.
_RUNNING_COST_TOKENS: Final = 150
# Cost of each body byte sent to another availability zone. A body of 18 kB
# counts as 2,700 tokens.
_TOKENS_PER_REMOTE_BYTE: Final = 0.15
# Cost of each token that an engine caches, so that new parts are spread over
# the engines.
_CACHED_TOKEN_WEIGHT: Final = 0.01
# Cost of an engine whose slots or memory are full, where a prompt waits for
# others to end. More than can be prefilled within any target.
_FULL_COST_TOKENS: Final = 40_000
# Cost of an engine whose requests all fail, scaled by the failure rate, so that
# a failing engine is used only if the others are full.
_FAILING_COST_TOKENS: Final = 30_000
# Fraction of an engine's memory that may be filled; the rest allows answers a
# tenth longer than expected.
_MEMORY_FRACTION: Final = 0.9
# Cost of each stream whose token gap would likely exceed its bound: about what
# an engine prefills within the token gaps that short answers allow.
_LATE_GAP_COST_TOKENS: Final = 6500
# Cost of a first event that would likely be late.
_LATE_START_COST_TOKENS: Final = 10_000
# Costs for plain services, in running requests: a request leaves its
# availability zone only if one more request runs here, and a full or failing
# endpoint is used only if there is no other.
_REMOTE_COST_REQUESTS: Final = 0.4
_FULL_COST_REQUESTS: Final = 100
_FAILING_COST_REQUESTS: Final = 20


Placement = Callable[['Demand', 'Sequence[Candidate]'], 'Candidate']
placements: Final[Registry[Placement]] = Registry(kind='placement')


def expected_late_streams(
    demand: Demand,
    candidate: Candidate,
    uncached: int,
) -> float:
    """Estimate how many more streams would exceed their token gap bound.

    :param demand: the request.
    :param candidate: the engine.
    :param uncached: tokens that the engine would prefill for the request.
    :returns: the expected number of streams, the request itself included.
    """
    speed = candidate.speed
    long_prefill = max(0, uncached - SHORT_PREFILL_TOKENS)
    late = sum(
        speed.prefill_gap_share(long_prefill, gap_ms) * count
        for gap_ms, count in candidate.streams.items()
        if not candidate.meets_gap_bound(gap_ms)
    )
    gap_bound_ms = demand.gap_target_ms
    if gap_bound_ms and not candidate.meets_gap_bound(gap_bound_ms):
        # Long prefills are assumed to continue at the recent rate.
        expected_tokens = candidate.long_reads
        late += speed.prefill_gap_share(expected_tokens, gap_bound_ms)
    return late


def late_start_probability(
    demand: Demand, candidate: Candidate, uncached: int
) -> float:
    """Estimate the probability of a late first event at an engine.

    :param demand: the request.
    :param candidate: the engine.
    :param uncached: tokens that the engine would prefill for the request.
    :returns: the probability, 0 without a target.
    """
    if not demand.start_target_ms:
        return 0
    start_ms = candidate.speed.prefill_ms(candidate.prefill_tokens + uncached)
    return late_probability(start_ms, demand.start_target_ms)


def prompt_cost(demand: Demand, candidate: Candidate) -> float:
    """Return the cost of running a prompt on an engine.

    :param demand: the request.
    :param candidate: the engine.
    :returns: the cost in prefill tokens.
    """
    reused = candidate.cached_tokens + candidate.copied_tokens
    uncached_shared = demand.shared_tokens - reused
    uncached = demand.tokens - reused
    cost = uncached_shared * _RECOMPUTED_WEIGHT
    cost += candidate.copied_tokens * _COPIED_WEIGHT
    cost += candidate.prefill_tokens + candidate.unreported_tokens
    cost += candidate.running * _RUNNING_COST_TOKENS
    cost += (
        expected_late_streams(demand, candidate, uncached)
        * _LATE_GAP_COST_TOKENS
    )
    cost += (
        late_start_probability(demand, candidate, uncached)
        * _LATE_START_COST_TOKENS
    )
    cost += candidate.total_cached_tokens * _CACHED_TOKEN_WEIGHT
    cost += candidate.failure_rate * _FAILING_COST_TOKENS
    if candidate.remote:
        cost += demand.body_bytes * _TOKENS_PER_REMOTE_BYTE
    if candidate.running >= candidate.slots or _lacks_memory(demand, candidate):
        cost += _FULL_COST_TOKENS
    return cost


def plain_request_cost(candidate: Candidate) -> float:
    """Return the cost of running a plain request on an endpoint.

    :param candidate: the endpoint.
    :returns: the cost in running requests.
    """
    cost = candidate.running + candidate.failure_rate * _FAILING_COST_REQUESTS
    if candidate.remote:
        cost += _REMOTE_COST_REQUESTS
    if candidate.running >= candidate.slots:
        cost += _FULL_COST_REQUESTS
    return cost


@placements.register('least_read')
def place_by_cost(
    demand: Demand,
    candidates: Sequence[Candidate],
) -> Candidate:
    """Choose the endpoint with the least cost.

    :param demand: the request.
    :param candidates: the endpoints, at least one.
    :returns: the chosen endpoint.
    """
    if demand.is_prompt:
        return min(candidates, key=lambda each: prompt_cost(demand, each))
    return min(candidates, key=plain_request_cost)


@placements.register('least_running')
def place_by_running_requests(
    demand: Demand,
    candidates: Sequence[Candidate],
) -> Candidate:
    """Choose the endpoint with the fewest running requests, as the baseline.

    :param demand: the request, ignored.
    :param candidates: the endpoints, at least one.
    :returns: the chosen endpoint.
    """
    return min(candidates, key=lambda each: each.running)


def _lacks_memory(demand: Demand, candidate: Candidate) -> bool:
    if not candidate.memory_tokens:
        return False
    needed = demand.tokens - candidate.cached_tokens + demand.output_tokens
    free = candidate.memory_tokens * _MEMORY_FRACTION - candidate.memory_used
    return needed > free
