"""Whether an engine copies what another one caches, instead of reading it.

Prompts share parts. An engine that doesn't cache a part may copy it from one
that does, where the pool's engines are joined by a link that is much faster
than reading. Then a prompt can leave an engine that is far behind without
its shared parts being read twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.rules.placement.candidate import Candidate

# Fewer tokens are read: a copy has a cost of its own, about that of reading
# some hundred tokens.
_LEAST_TOKENS: Final = 512
# Copying has to be so many times as fast as reading.
_LEAST_SPEEDUP: Final = 4
# An engine that fails more often than this is not copied from or to. Above the
# failures of a day without trouble.
MOST_FAILING: Final = 0.3

CacheTransfer = Callable[['Sequence[Candidate]', float], 'Candidate | None']
cache_transfers: Final[Registry[CacheTransfer]] = Registry(
    kind='cache transfer',
)


@cache_transfers.register('most_kept')
def copy_from_most_kept(
    candidates: Sequence[Candidate],
    speed: float,
) -> Candidate | None:
    """Name the engine that caches the most of a prompt.

    :param candidates: the engines, at least one.
    :param speed: how many times as fast copying is as reading.
    :returns: the engine, None if nothing is to be copied.
    """
    usable = [
        each
        for each in candidates
        if each.failing < MOST_FAILING and each.cached_tokens >= _LEAST_TOKENS
    ]
    if speed < _LEAST_SPEEDUP:
        usable.clear()
    return max(usable, key=_cached, default=None)


@cache_transfers.register('none')
def copy_nothing(
    candidates: Sequence[Candidate],
    speed: float,
) -> Candidate | None:
    """Have each engine read what it doesn't cache, as the baseline.

    :param candidates: the engines, which don't matter.
    :param speed: how fast copying is, which doesn't matter.
    """


def copied_tokens(candidate: Candidate, source: Candidate | None) -> int:
    """Tell how much of a prompt an engine would copy.

    :param candidate: the engine.
    :param source: the engine that is copied from, None if there is none.
    :returns: tokens, 0 if reading them is as good.
    """
    if source is None:
        return 0
    tokens = source.cached_tokens - candidate.cached_tokens
    return tokens if tokens >= _LEAST_TOKENS else 0


def _cached(candidate: Candidate) -> tuple[int, int]:
    return (candidate.cached_tokens, -candidate.running)
