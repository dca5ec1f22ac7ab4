"""Which endpoint of a pool serves a request: pure rules over a cost.

The cost is in prompt tokens that an engine would have to read: what is read
for this request and not kept there, what waits to be read before it, and a
number of tokens for each stream that would likely be late by the choice: this
request itself, or one that a long read holds up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final

from wingfall.gateway.knowledge.engine_speed import late_chance
from wingfall.gateway.knowledge.long_reads import SHORT_READ_TOKENS
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.rules.placement.candidate import Candidate, Demand

# Weight of a shared part's tokens that are copied from another engine: they
# take memory twice.
_COPIED_WEIGHT: Final = 5
# Weight of a shared part's tokens that are read although another engine caches
# them: more than a copy, so that copies are preferred.
_READ_AGAIN_WEIGHT: Final = 6
# Tokens for each request that runs there, so that equal engines are filled
# evenly.
_RUNNING_TOKENS: Final = 150
# Tokens for each byte of a body that goes to another availability zone. A body
# of 18 kB counts as 2,700 tokens.
_TOKENS_PER_REMOTE_BYTE: Final = 0.15
# Part of all tokens that an engine caches, so that new parts spread.
_ALL_CACHED_PART: Final = 0.01
# Tokens for an engine whose slots or memory are full, where a prompt waits for
# others to end. Above what is read within any target.
_FULL_TOKENS: Final = 40_000
# Tokens for an engine that fails always, less for one that fails at times, so
# that a failing engine is used only if the others are full.
_FAILING_TOKENS: Final = 30_000
# Part of an engine's memory that is filled before it counts as full, so that
# answers may be a tenth longer than expected.
_MEMORY_PART: Final = 0.9
# Tokens for each stream whose token gap would likely be too long: about what an
# engine reads within the gaps that short answers bear.
_LATE_GAP_TOKENS: Final = 6500
# Tokens for a first event that would likely be late.
_LATE_START_TOKENS: Final = 10_000
# Plain services, in running requests, so that a request leaves its zone only if
# one more runs here, and that a full or a failing endpoint is used only if
# there is no other.
_REMOTE_RUNNING: Final = 0.4
_FULL_RUNNING: Final = 100
_FAILING_RUNNING: Final = 20


Placement = Callable[['Demand', 'Sequence[Candidate]'], 'Candidate']
placements: Final[Registry[Placement]] = Registry(kind='placement')


def late_streams(
    demand: Demand,
    candidate: Candidate,
    unread: int,
) -> float:
    """Estimate how many more streams would have too long a gap.

    :param demand: the request.
    :param candidate: the engine.
    :param unread: tokens that the engine would read for it.
    :returns: the expected number, the request itself among them.
    """
    speed = candidate.speed
    long_read = max(0, unread - SHORT_READ_TOKENS)
    late = sum(
        speed.held_up_share(long_read, gap_ms) * count
        for gap_ms, count in candidate.streams.items()
        if not candidate.is_safe(gap_ms)
    )
    bears_ms = demand.gap_target_ms
    if bears_ms and not candidate.is_safe(bears_ms):
        # Reads are taken to go on coming as they did.
        to_come = candidate.long_reads
        late += speed.held_up_share(to_come, bears_ms)
    return late


def late_start(demand: Demand, candidate: Candidate, unread: int) -> float:
    """Estimate how likely a request is to start too late at an engine.

    :param demand: the request.
    :param candidate: the engine.
    :param unread: tokens that the engine would read for it.
    :returns: the probability.
    """
    if not demand.start_target_ms:
        return 0
    start_ms = candidate.speed.read_ms(candidate.reading_tokens + unread)
    return late_chance(start_ms, demand.start_target_ms)


def read_cost(demand: Demand, candidate: Candidate) -> float:
    """Weigh a prompt at an engine.

    :param demand: the request.
    :param candidate: the engine.
    :returns: the cost in tokens read.
    """
    at_hand = candidate.cached_tokens + candidate.copied_tokens
    unread_shared = demand.shared_tokens - at_hand
    unread = demand.tokens - at_hand
    cost = unread_shared * _READ_AGAIN_WEIGHT
    cost += candidate.copied_tokens * _COPIED_WEIGHT
    cost += candidate.reading_tokens + candidate.unseen_tokens
    cost += candidate.running * _RUNNING_TOKENS
    cost += late_streams(demand, candidate, unread) * _LATE_GAP_TOKENS
    cost += late_start(demand, candidate, unread) * _LATE_START_TOKENS
    cost += candidate.all_cached_tokens * _ALL_CACHED_PART
    cost += candidate.failing * _FAILING_TOKENS
    if candidate.remote:
        cost += demand.body_bytes * _TOKENS_PER_REMOTE_BYTE
    if candidate.running >= candidate.slots or _fills(demand, candidate):
        cost += _FULL_TOKENS
    return cost


def plain_cost(candidate: Candidate) -> float:
    """Weigh a plain request at an endpoint.

    :param candidate: the endpoint.
    :returns: the cost in running requests.
    """
    cost = candidate.running + candidate.failing * _FAILING_RUNNING
    if candidate.remote:
        cost += _REMOTE_RUNNING
    if candidate.running >= candidate.slots:
        cost += _FULL_RUNNING
    return cost


@placements.register('least_read')
def place_by_reading(
    demand: Demand,
    candidates: Sequence[Candidate],
) -> Candidate:
    """Choose the endpoint with the least cost.

    :param demand: the request.
    :param candidates: the endpoints, at least one.
    :returns: the choice.
    """
    if demand.is_prompt:
        return min(candidates, key=lambda each: read_cost(demand, each))
    return min(candidates, key=plain_cost)


@placements.register('least_running')
def place_by_running(
    demand: Demand,
    candidates: Sequence[Candidate],
) -> Candidate:
    """Choose the endpoint that runs least, as the baseline.

    :param demand: the request, which doesn't matter.
    :param candidates: the endpoints, at least one.
    :returns: the choice.
    """
    return min(candidates, key=lambda each: each.running)


def _fills(demand: Demand, candidate: Candidate) -> bool:
    if not candidate.memory_tokens:
        return False
    wanted = demand.tokens - candidate.cached_tokens + demand.output_tokens
    room = candidate.memory_tokens * _MEMORY_PART - candidate.memory_used
    return wanted > room
