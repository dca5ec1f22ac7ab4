"""Holds a prompt back while its engine reads a part that it shares.

How long is decided by
:mod:`wingfall.gateway.rules.placement.shared_read`; here is only the wait,
which ends as soon as the part has been read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState

# Milliseconds between two looks. Short beside a read of a thousand tokens, some
# 40 ms.
_POLL_MS: Final = 5


def await_shared_read(
    state: GatewayState, call: Call, destination: Destination
) -> bool:
    """Wait until the chosen engine has read a part for another prompt.

    :param state: what the gateway knows.
    :param call: the request.
    :param destination: where it is to go.
    :returns: whether it waited, so that the destination is old.
    """
    prompt = call.head.prompt
    if prompt is None:
        return False
    began_ms = state.clock.now_ms()
    cache = state.knowledge.caches.find(destination.endpoint.name)
    pending = cache.pending_read(prompt.shared, began_ms)
    wait_ms = state.policies.shared_read(pending, call.deadline_ms - began_ms)
    if not wait_ms:
        return False
    until_ms = began_ms + wait_ms
    while state.clock.now_ms() < until_ms:
        gevent.sleep(_POLL_MS / MS_PER_S)
        if not cache.pending_read(prompt.shared, began_ms).tokens:
            break
    log_event(
        'dispatch',
        'A prompt waited for a shared part.',
        call=call.call_id,
        endpoint=destination.endpoint.name,
        tokens=pending.tokens,
        estimate_ms=wait_ms,
        waited_ms=state.clock.now_ms() - began_ms,
    )
    return True
