"""Endpoints of a pool that are considered when a call is placed.

Prevents a burst from many gateways to one endpoint. What they know of each
other's load is some tenths of a second old, so all would rate the same endpoint
best; with small random samples they choose different ones. That matters for
long prompts. Short prompts add little load where many meet, and a larger sample
more likely has an engine without long prefills. Engines that cache the prompt
are added, since the tokens they save are known.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Callable, Final

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Pools of up to this size are considered whole. So small a deployment has few
# gateways, whose updates are 0.1 s old: with 5 gateways and engines in a burst
# all prompts were on time, whether 3 or all engines were considered.
_MAX_WHOLE_SIZE: Final = 8
# Maximum length of a short prompt: about two prefill chunks of an engine, so
# that it delays nothing for long.
SHORT_PROMPT_TOKENS: Final = 4096
# Sample size for a long prompt, and for a short prompt or a plain request.
_LONG_SAMPLE_SIZE: Final = 6
_SHORT_SAMPLE_SIZE: Final = 24
# Maximum number of added endpoints that cache a part of the prompt: few for the
# same reason as the sample, since many engines may cache a frequent part.
_MAX_CACHE_HOLDERS: Final = 6


def choose_sample_size(prompt_tokens: int) -> int:
    """Return the sample size for a call in a large pool.

    :param prompt_tokens: length of the prompt, 0 without one.
    :returns: number of endpoints.
    """
    is_long = prompt_tokens > SHORT_PROMPT_TOKENS
    return _LONG_SAMPLE_SIZE if is_long else _SHORT_SAMPLE_SIZE


def fits_shortlist(endpoints: list[PoolEndpoint], sample_size: int) -> bool:
    """Check if all endpoints of a pool are considered.

    :param endpoints: endpoints of the pool that accept new work.
    :param sample_size: sample size for a larger pool.
    :returns: whether no endpoint is left out.
    """
    return len(endpoints) <= max(sample_size, _MAX_WHOLE_SIZE)


def make_shortlist(
    endpoints: list[PoolEndpoint],
    caching: list[PoolEndpoint],
    sample_size: int,
) -> list[PoolEndpoint]:
    """Select a random sample of a large pool and endpoints with cached parts.

    :param endpoints: endpoints of the pool that accept new work.
    :param caching: endpoints of any pool that cache the most of the prompt.
    :param sample_size: number of endpoints to draw.
    :returns: the endpoints to consider, all of a small pool.
    """
    if fits_shortlist(endpoints, sample_size):
        return endpoints
    chosen = random.sample(endpoints, sample_size)
    pool = endpoints[0].pool
    holders = [
        each for each in caching if each.pool == pool and not each.draining
    ]
    if len(holders) > _MAX_CACHE_HOLDERS:
        holders = random.sample(holders, _MAX_CACHE_HOLDERS)
    return list({each.name: each for each in (*holders, *chosen)}.values())


def prefer_available(
    endpoints: list[PoolEndpoint],
    tried: Collection[str],
    is_excluded: Callable[[str], bool],
) -> list[PoolEndpoint]:
    """Return the available endpoints, or else all endpoints not yet tried.

    :param endpoints: the endpoints.
    :param tried: names of endpoints that the call was sent to.
    :param is_excluded: whether an endpoint is excluded for a while.
    :returns: untried endpoints, without excluded ones if possible.
    """
    available = list_available(endpoints, tried, is_excluded)
    return available or [each for each in endpoints if each.name not in tried]


def list_available(
    endpoints: list[PoolEndpoint],
    tried: Collection[str],
    is_excluded: Callable[[str], bool],
) -> list[PoolEndpoint]:
    """Return the endpoints that are neither tried nor excluded.

    :param endpoints: the endpoints.
    :param tried: names of endpoints that the call was sent to.
    :param is_excluded: whether an endpoint is excluded for a while.
    :returns: the available endpoints.
    """
    return [
        each
        for each in endpoints
        if each.name not in tried and not is_excluded(each.name)
    ]
