"""Deferral of calls whose endpoints report that they take no call now."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

from wingfall.clock import MS_PER_S
from wingfall.gateway.calls.attempt_outcome import AttemptOutcome
from wingfall.gateway.calls.stream_endpoints import list_usable
from wingfall.gateway.model.attempt_end import AttemptEnd
from wingfall.gateway.model.held import WithholdReason
from wingfall.gateway.rules.admission.held_calls import AdmissionSlots
from wingfall.gateway.rules.admission.refusals import refuse_withheld
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState

# Number of endpoints in a log line.
_MAX_LOGGED_ENDPOINTS: Final = 8


def defer_call(state: GatewayState, call: Call, pool: str) -> Refusal | None:
    """Defer a call if endpoints of its pool are withheld.

    :param state: state of the gateway.
    :param call: the call, which has not run.
    :param pool: name of the call's pool.
    :returns: the refusal, None if no endpoint is withheld.
    """
    withheld = _list_withheld(state, call, pool)
    if not withheld:
        return None
    slots = _describe_slots(state, withheld)
    reasons = {name: state.gate.withheld_reason(name) for name in withheld}
    now_ms = state.clock.now_ms()
    retry_ms = state.deferred_calls.defer(pool, call.priority, slots, now_ms)
    log_event(
        'held',
        'No endpoint of the pool takes a call now.',
        call=call.call_id,
        pool=pool,
        tier=call.priority,
        endpoints=dict(
            itertools.islice(reasons.items(), _MAX_LOGGED_ENDPOINTS)
        ),
        holding=len(reasons),
        first_ms=int(slots.first_ms),
        every_ms=int(slots.interval_ms),
        gateways=len(state.gate.gateways),
    )
    resting = set(reasons.values()) == {WithholdReason.resting}
    return refuse_withheld(retry_ms, resting=resting)


def defer_attempt(
    state: GatewayState,
    call: Call,
    destination: Destination,
) -> AttemptOutcome | None:
    """Defer an attempt if its endpoint is withheld.

    The endpoint may have been withheld after it was chosen, while the call
    waited for the prefill of a shared part.

    :param state: state of the gateway.
    :param call: the call.
    :param destination: destination of the attempt.
    :returns: outcome of the attempt, None if it may start.
    """
    name = destination.endpoint.name
    reason = state.gate.withheld_reason(name)
    if reason is None:
        return None
    log_event(
        'held',
        'An endpoint takes no call now.',
        call=call.call_id,
        endpoint=name,
        reason=reason,
    )
    return AttemptOutcome(end=AttemptEnd.held, reason=reason)


def is_pool_withheld(state: GatewayState, call: Call, pool: str) -> bool:
    """Check if all usable endpoints of a pool are withheld.

    :param state: state of the gateway.
    :param call: the call.
    :param pool: name of the pool.
    :returns: whether there are usable endpoints and each is withheld.
    """
    usable = list_usable(state, call, pool)
    return bool(usable) and all(
        state.gate.is_withheld(each.name, exclude_limited=False)
        for each in usable
    )


def _list_withheld(state: GatewayState, call: Call, pool: str) -> list[str]:
    return [
        each.name
        for each in list_usable(state, call, pool)
        if state.gate.is_withheld(each.name, exclude_limited=True)
        # A leaving endpoint takes no more requests.
        and state.gate.withheld_reason(each.name) is not WithholdReason.leaving
    ]


def _describe_slots(state: GatewayState, withheld: list[str]) -> AdmissionSlots:
    gate = state.gate
    rate = sum(gate.total_rate(name) for name in withheld)
    interval_ms = MS_PER_S * len(gate.gateways) / rate
    # Capacity that is free now is reserved for a more urgent call.
    first_ms = min(gate.ready_in_ms(name) for name in withheld) or interval_ms
    return AdmissionSlots(first_ms=first_ms, interval_ms=interval_ms)
