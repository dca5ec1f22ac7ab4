"""Copying of cached prompt parts between engines instead of prefilling them.

Prompts share parts. An engine that doesn't cache a part may copy it from an
engine that does, where the link between the pool's engines is much faster than
prefill. Then a prompt can move away from an engine with a long queue without
a second prefill of its shared parts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.rules.placement.candidate import Candidate

# Fewer tokens are prefilled instead: a copy has a fixed cost of about the
# prefill of some hundred tokens.
_MIN_COPY_TOKENS: Final = 512
# Minimum ratio of the copy rate to the prefill rate.
_MIN_SPEEDUP: Final = 4
# Engines with at least this fraction of failed requests are excluded from
# copying, as source or target. Above the failures of a day without faults.
MAX_FAILURE_RATE: Final = 0.3

CacheTransfer = Callable[['Sequence[Candidate]', float], 'Candidate | None']
cache_transfers: Final[Registry[CacheTransfer]] = Registry(
    kind='cache transfer',
)


@cache_transfers.register('most_kept')
def copy_from_largest_cache(
    candidates: Sequence[Candidate],
    speedup: float,
) -> Candidate | None:
    """Return the engine that caches the most tokens of a prompt.

    :param candidates: the engines, at least one.
    :param speedup: ratio of the copy rate to the prefill rate.
    :returns: the source engine, None if nothing is to be copied.
    """
    usable = [
        each
        for each in candidates
        if each.failure_rate < MAX_FAILURE_RATE
        and each.cached_tokens >= _MIN_COPY_TOKENS
    ]
    if speedup < _MIN_SPEEDUP:
        usable.clear()
    return max(usable, key=_source_rank, default=None)


@cache_transfers.register('none')
def copy_nothing(
    candidates: Sequence[Candidate],
    speedup: float,
) -> Candidate | None:
    """Copy nothing, so that engines prefill uncached parts: the baseline.

    :param candidates: the engines, ignored.
    :param speedup: ratio of the copy rate to the prefill rate, ignored.
    """


def copied_tokens(candidate: Candidate, source: Candidate | None) -> int:
    """Count the prompt tokens that an engine would copy.

    :param candidate: the engine that copies.
    :param source: the engine that is copied from, None if there is none.
    :returns: tokens, 0 if prefilling them costs no more.
    """
    if source is None:
        return 0
    tokens = source.cached_tokens - candidate.cached_tokens
    return tokens if tokens >= _MIN_COPY_TOKENS else 0


def _source_rank(candidate: Candidate) -> tuple[int, int]:
    return (candidate.cached_tokens, -candidate.running)
