"""``wingfall status``: the accepted version, and where it is in force."""

from __future__ import annotations

from typing import Any

import orjson
import urllib3
from returns.result import Success

from wingfall.answer_head import make_pool_manager
from wingfall.cmd.operator import EXIT_DONE, EXIT_REFUSED, open_platform, say

_TIMEOUT_S = 5


def run(*routers: str, platform: str | None = None) -> int:
    """Show the accepted version and the routers where it is in force.

    :param routers: admin addresses (host:port) of routers.
    :param platform: base URL of the platform.
    :returns: the exit code: 0 only if it is in force at all of them.
    """
    accepted = _accepted(platform)
    say(f'accepted: version {accepted or "unknown, the platform is away"}')
    states = {address: _read_status(address) for address in routers}
    in_force = 0
    for address, state in states.items():
        if state is None:
            say(f'{address}: no answer')
            continue
        version = state['config_version']
        in_force += accepted is not None and version >= accepted
        faults = len(state['config_faults'])
        say(f'{address}: {state["name"]}, version {version}, {faults} faults')
    say(f'in force at {in_force} of {len(states)} routers')
    return EXIT_DONE if in_force == len(states) else EXIT_REFUSED


def _accepted(platform: str | None) -> int | None:
    listed = open_platform(platform).bind(
        lambda api: api.list_objects().alt(str),
    )
    return listed.unwrap().version if isinstance(listed, Success) else None


def _read_status(address: str) -> dict[str, Any] | None:
    try:
        response = make_pool_manager(retries=False).request(
            'GET',
            f'http://{address}/status',
            timeout=_TIMEOUT_S,
        )
        return dict(orjson.loads(response.data))
    except (urllib3.exceptions.HTTPError, orjson.JSONDecodeError, ValueError):
        return None
