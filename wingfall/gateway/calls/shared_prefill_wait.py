"""Delay of a prompt while its engine prefills a prompt part that it shares.

:mod:`wingfall.gateway.rules.placement.shared_read` decides on the longest
delay; the wait ends as soon as the prefill of the part has ended.
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

# Short compared with the prefill of a thousand tokens, which takes some 40 ms.
_POLL_INTERVAL_MS: Final = 5


def await_shared_prefill(
    state: GatewayState, call: Call, destination: Destination
) -> bool:
    """Wait until an engine has prefilled a shared part for another prompt.

    :param state: state of the gateway.
    :param call: the call.
    :param destination: the destination of the call.
    :returns: whether the call waited, so that the destination is outdated.
    """
    prompt = call.head.prompt
    if prompt is None:
        return False
    began_ms = state.clock.now_ms()
    cache = state.knowledge.caches.find(destination.endpoint.name)
    pending = cache.pending_prefill(prompt.shared_parts, began_ms)
    wait_ms = state.policies.shared_read(pending, call.deadline_ms - began_ms)
    if not wait_ms:
        return False
    until_ms = began_ms + wait_ms
    while state.clock.now_ms() < until_ms:
        gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        if not cache.pending_prefill(prompt.shared_parts, began_ms).tokens:
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
