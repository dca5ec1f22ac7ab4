"""Which endpoints of a pool are weighed when a call is placed.

Answers a crowd at many gateways: what each knows of the others' work is some
tenths of a second old, so that all would find the same endpoint the best, and
send to it at once. Where each weighs a few that it draws, they choose unlike.
That matters for what takes long; a short prompt does little where many meet,
and finds an engine that reads nothing long among more of them. Engines that
cache the prompt are weighed as well; what they spare is known.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Callable, Final

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Endpoints of a pool that is weighed whole. A deployment with so few has few
# gateways, whose news is 0.1 s old: of 5 gateways and engines under a crowd all
# prompts were on time, whether 3 or all engines were weighed.
_MOST_WEIGHED: Final = 8
# Tokens of a prompt that is short: about two pieces that an engine reads at
# once, so that it holds nothing up for long.
SHORT_PROMPT_TOKENS: Final = 4096
# Endpoints that are drawn for a long prompt, and for a short one or a plain
# request.
_DRAWN_LONG: Final = 6
_DRAWN_SHORT: Final = 24
# Endpoints that cache a part of the prompt: few for the same reason, since many
# engines may cache a part that is asked for often.
_MOST_CACHING: Final = 6


def count_drawn(prompt_tokens: int) -> int:
    """Tell how many endpoints of a large pool are drawn for a call.

    :param prompt_tokens: length of its prompt, 0 without one.
    :returns: how many.
    """
    long = prompt_tokens > SHORT_PROMPT_TOKENS
    return _DRAWN_LONG if long else _DRAWN_SHORT


def is_weighed_whole(endpoints: list[PoolEndpoint], drawn: int) -> bool:
    """Tell whether all endpoints of a pool are weighed.

    :param endpoints: endpoints of the pool that take new work.
    :param drawn: how many would be drawn of a larger pool.
    :returns: whether none is left out.
    """
    return len(endpoints) <= max(drawn, _MOST_WEIGHED)


def shorten(
    endpoints: list[PoolEndpoint],
    caching: list[PoolEndpoint],
    drawn: int,
) -> list[PoolEndpoint]:
    """Shorten the list of a large pool.

    :param endpoints: endpoints of the pool that take new work.
    :param caching: endpoints that cache the most of the prompt, of any pool.
    :param drawn: how many are drawn.
    :returns: those to be weighed, all of a small pool.
    """
    if is_weighed_whole(endpoints, drawn):
        return endpoints
    chosen = random.sample(endpoints, drawn)
    pool = endpoints[0].pool
    useful = [
        each for each in caching if each.pool == pool and not each.draining
    ]
    if len(useful) > _MOST_CACHING:
        useful = random.sample(useful, _MOST_CACHING)
    return list({each.name: each for each in (*useful, *chosen)}.values())


def prefer_sound(
    endpoints: list[PoolEndpoint],
    avoided: Collection[str],
    is_out: Callable[[str], bool],
) -> list[PoolEndpoint]:
    """Leave out endpoints that a call should not go to.

    :param endpoints: the endpoints.
    :param avoided: names of those that the call was sent to before.
    :param is_out: whether an endpoint is left out for a while.
    :returns: those not tried and not left out; where none is, those not tried.
    """
    sound = list_sound(endpoints, avoided, is_out)
    return sound or [each for each in endpoints if each.name not in avoided]


def list_sound(
    endpoints: list[PoolEndpoint],
    avoided: Collection[str],
    is_out: Callable[[str], bool],
) -> list[PoolEndpoint]:
    """List the endpoints that a call may go to without a doubt.

    :param endpoints: the endpoints.
    :param avoided: names of those that the call was sent to before.
    :param is_out: whether an endpoint is left out for a while.
    :returns: those not tried and not left out.
    """
    return [
        each
        for each in endpoints
        if each.name not in avoided and not is_out(each.name)
    ]
