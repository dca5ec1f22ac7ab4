"""How many descriptors this process may open, and how they are shared out."""

from __future__ import annotations

import resource
from typing import Final

from wingfall.log import log_event

# More than the connections of any process need.
_MAX_DESCRIPTORS: Final = 65_536
# Kept from callers' connections: two small ports of 64 connections each, and 64
# for other gateways, the store, probes of endpoints, listeners and files.
_RESERVE: Final = 192
# A caller's connection and, for a call in progress, one to an endpoint.
_PER_CALLER: Final = 2
# Callers that are served even if a limit leaves no room for more.
_MIN_CALLERS: Final = 16


def raise_descriptor_limit() -> None:
    """Raise the limit of descriptors as far as this process may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = _cap(hard)
    if _cap(soft) >= wanted:
        return
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError) as error:
        log_event('descriptors', 'The limit can not be raised.', error=error)
        return
    log_event('descriptors', 'The limit is raised.', before=soft, limit=wanted)


def fit_callers(connections: int) -> int:
    """Return how many callers' connections leave descriptors to the rest.

    :param connections: the largest number.
    :returns: the same, or fewer if the limit of descriptors is low.
    """
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    fitting = (_cap(soft) - _RESERVE) // _PER_CALLER
    return min(connections, max(fitting, _MIN_CALLERS))


def _cap(limit: int) -> int:
    if limit == resource.RLIM_INFINITY:
        return _MAX_DESCRIPTORS
    return min(limit, _MAX_DESCRIPTORS)
