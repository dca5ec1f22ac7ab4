"""Which endpoints of a pool are weighed when a call is placed.

Answers a crowd at many gateways: what each knows of the others' work is some
tenths of a second old, so that all would find the same endpoint the best, and
send to it at once. Where each weighs a few that it draws, they choose unlike.
Engines that cache the prompt are weighed as well; what they spare is known.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Callable, Final

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Endpoints of a pool that is weighed whole. A deployment with so few has few
# gateways, whose news is 0.1 s old: of 5 gateways and engines under the crowd
# below all prompts were on time, whether 3 or all engines were weighed.
_MOST_WEIGHED: Final = 8
# Endpoints that are drawn of a larger pool. In a replay of a crowd of long and
# short prompts (the pattern herd.yaml, three seeds) 39 long and 84 short ones
# began late at 53 gateways and 60 engines, 577 and 392 when all were weighed;
# at 25 gateways and 23 engines 1 and 6, instead of 29 and 44. With 2 more are
# refused, with 6 or 10 more are late.
_DRAWN: Final = 4
# Endpoints that cache a part of the prompt: few for the same reason, since many
# engines may cache a part that is asked for often. Not measured by itself.
_MOST_CACHING: Final = 6


def shorten(
    endpoints: list[PoolEndpoint],
    caching: list[PoolEndpoint],
) -> list[PoolEndpoint]:
    """Shorten the list of a large pool.

    :param endpoints: endpoints of the pool that take new work.
    :param caching: endpoints that cache the most of the prompt, of any pool.
    :returns: those to be weighed, all of a small pool.
    """
    if len(endpoints) <= _MOST_WEIGHED:
        return endpoints
    drawn = random.sample(endpoints, _DRAWN)
    pool = endpoints[0].pool
    useful = [
        each for each in caching if each.pool == pool and not each.draining
    ]
    if len(useful) > _MOST_CACHING:
        useful = random.sample(useful, _MOST_CACHING)
    return list({each.name: each for each in (*useful, *drawn)}.values())


def is_long(endpoints: list[PoolEndpoint]) -> bool:
    """Tell whether a pool's list is shortened.

    :param endpoints: endpoints of the pool that take new work.
    :returns: whether some of them will not be weighed.
    """
    return len(endpoints) > _MOST_WEIGHED


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
