"""Which endpoint of a pool serves a request: pure rules over a cost.

The cost is in prompt tokens that an engine would have to read: what is read
for this request and not kept there, what waits to be read before it, and the
harm that a long read does to streams that run beside it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

# A shared part copied from another engine takes memory twice.
_COPY_AGAIN: Final = 5
# A shared part read twice costs time and memory at a second engine as well.
_READ_AGAIN: Final = 6
_RUNNING_TOKENS: Final = 150
_TOKENS_PER_REMOTE_BYTE: Final = 0.15
_KEPT_SHARE: Final = 0.01
_FULL_TOKENS: Final = 40_000
_FAILING_TOKENS: Final = 30_000
_MEMORY_SHARE: Final = 0.9
# Reads up to this length fit between the tokens of running streams.
_SHORT_READ_TOKENS: Final = 1024
# Plain services: a request in another zone against one more running here.
_REMOTE_RUNNING: Final = 0.4
_FULL_RUNNING: Final = 100
_FAILING_RUNNING: Final = 20


@final
class Candidate:
    """What is known of an endpoint when a request is placed."""

    __slots__ = (
        'cached_tokens',
        'copied_tokens',
        'failing',
        'kept_tokens',
        'memory_tokens',
        'memory_used',
        'name',
        'reading_tokens',
        'recent_reads',
        'remote',
        'running',
        'slots',
        'tight',
    )

    def __init__(
        self,
        *,
        name: str,
        remote: bool = False,
        slots: int = 1,
        running: int = 0,
        reading_tokens: int = 0,
        memory_used: int = 0,
        memory_tokens: int = 0,
        cached_tokens: int = 0,
        copied_tokens: int = 0,
        kept_tokens: int = 0,
        tight: float = 0,
        recent_reads: float = 0,
        failing: float = 0,
    ) -> None:
        """Describe an endpoint.

        :param name: its name.
        :param remote: whether it is in another availability zone.
        :param slots: requests it runs at once.
        :param running: requests that run or wait there, of all routers.
        :param reading_tokens: prompt tokens still to be read there.
        :param memory_used: tokens that running requests hold there.
        :param memory_tokens: tokens it can hold, 0 if unknown.
        :param cached_tokens: tokens of this prompt that it keeps.
        :param copied_tokens: tokens of this prompt that it would copy from
            another engine.
        :param kept_tokens: tokens of all prompts that it keeps.
        :param tight: running streams there, weighed by how short a pause
            each of them bears.
        :param recent_reads: tokens of long reads sent there lately.
        :param failing: share of its requests that fail, 0 to 1.
        """
        self.name = name
        self.remote = remote
        self.slots = slots
        self.running = running
        self.reading_tokens = reading_tokens
        self.memory_used = memory_used
        self.memory_tokens = memory_tokens
        self.cached_tokens = cached_tokens
        self.copied_tokens = copied_tokens
        self.kept_tokens = kept_tokens
        self.tight = tight
        self.recent_reads = recent_reads
        self.failing = failing


@final
class Demand:
    """What a request asks of an endpoint."""

    __slots__ = (
        'body_bytes',
        'is_prompt',
        'output_tokens',
        'shared_tokens',
        'tightness',
        'tokens',
    )

    def __init__(
        self,
        *,
        is_prompt: bool = False,
        tokens: int = 0,
        shared_tokens: int = 0,
        output_tokens: int = 0,
        tightness: float = 0,
        body_bytes: int = 0,
    ) -> None:
        """Describe a request.

        :param is_prompt: whether a model engine reads a prompt for it.
        :param tokens: length of the prompt.
        :param shared_tokens: tokens of it that other prompts share.
        :param output_tokens: likely length of the answer.
        :param tightness: how short a pause its stream bears, 0 to 1.
        :param body_bytes: bytes that travel to the endpoint.
        """
        self.is_prompt = is_prompt
        self.tokens = tokens
        self.shared_tokens = shared_tokens
        self.output_tokens = output_tokens
        self.tightness = tightness
        self.body_bytes = body_bytes


Placement = Callable[[Demand, 'Sequence[Candidate]'], Candidate]
placements: Final[Registry[Placement]] = Registry(kind='placement')

_TIGHT_GAP_MS: Final = 300


def gap_tightness(gap_ms: int | None) -> float:
    """Weigh how much a stream suffers from a long read beside it.

    :param gap_ms: the longest pause it bears, None if any.
    :returns: 0 for any pause, 1 for the shortest ones.
    """
    if not gap_ms:
        return 0
    return min(1.0, _TIGHT_GAP_MS / gap_ms) ** 2


def read_cost(demand: Demand, candidate: Candidate) -> float:
    """Weigh a prompt at an engine.

    :param demand: the request.
    :param candidate: the engine.
    :returns: the cost in tokens read.
    """
    at_hand = candidate.cached_tokens + candidate.copied_tokens
    unread_shared = demand.shared_tokens - at_hand
    unread = demand.tokens - at_hand
    long_read = max(0, unread - _SHORT_READ_TOKENS)
    cost = unread_shared * _READ_AGAIN
    cost += candidate.copied_tokens * _COPY_AGAIN
    cost += candidate.reading_tokens
    cost += candidate.running * _RUNNING_TOKENS
    # A read holds up each stream beside it, now or later, for its length.
    cost += long_read * candidate.tight * (1 - demand.tightness)
    cost += candidate.recent_reads * demand.tightness
    cost += candidate.kept_tokens * _KEPT_SHARE
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
    room = candidate.memory_tokens * _MEMORY_SHARE - candidate.memory_used
    return wanted > room
