"""Holds calls off for what endpoints have said of themselves."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

from wingfall.clock import MS_PER_S
from wingfall.gateway.calls.attempt_outcome import AttemptOutcome
from wingfall.gateway.model.attempt_end import AttemptEnd
from wingfall.gateway.model.held import Held
from wingfall.gateway.rules.admission.held_calls import Opening
from wingfall.gateway.rules.admission.refusals import refuse_held
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState

# Endpoints that a log line names.
_MOST_SHOWN: Final = 8


def hold_off(state: GatewayState, call: Call, pool: str) -> Refusal | None:
    """Refuse a call at once for what the pool's endpoints have said.

    :param state: what the gateway knows.
    :param call: the call, which has not run.
    :param pool: name of its pool.
    :returns: the refusal, None if no endpoint holds calls off.
    """
    holding = _list_holding(state, pool)
    if not holding:
        return None
    opening = _describe_opening(state, holding)
    reasons = {name: state.gate.why_held(name) for name in holding}
    now_ms = state.clock.now_ms()
    retry_ms = state.held_calls.hold(pool, call.priority, opening, now_ms)
    log_event(
        'held',
        'No endpoint of the pool takes a call now.',
        call=call.call_id,
        pool=pool,
        tier=call.priority,
        endpoints=dict(itertools.islice(reasons.items(), _MOST_SHOWN)),
        holding=len(reasons),
        first_ms=int(opening.first_ms),
        every_ms=int(opening.every_ms),
        gateways=len(state.gate.gateways),
    )
    resting = set(reasons.values()) == {Held.resting}
    return refuse_held(retry_ms, resting=resting)


def hold_attempt(
    state: GatewayState,
    call: Call,
    destination: Destination,
) -> AttemptOutcome | None:
    """Tell whether an attempt is over before it begins.

    What an endpoint says may have come since the call was placed, while it
    waited for a shared part.

    :param state: what the gateway knows.
    :param call: the call.
    :param destination: where it is to go.
    :returns: how the attempt ends, None if it may begin.
    """
    name = destination.endpoint.name
    held = state.gate.why_held(name)
    if held is None:
        return None
    log_event(
        'held',
        'An endpoint takes no call now.',
        call=call.call_id,
        endpoint=name,
        reason=held,
    )
    return AttemptOutcome(end=AttemptEnd.held, reason=held)


def pool_is_held(state: GatewayState, pool: str) -> bool:
    """Tell whether no endpoint of a pool takes a request now.

    :param state: what the gateway knows.
    :param pool: name of the pool.
    :returns: whether each holds calls off.
    """
    usable = state.knowledge.table.usable(pool)
    return bool(usable) and all(
        state.gate.is_held(each.name, spared=False) for each in usable
    )


def _list_holding(state: GatewayState, pool: str) -> list[str]:
    return [
        each.name
        for each in state.knowledge.table.usable(pool)
        if state.gate.is_held(each.name, spared=True)
        # One that is leaving takes no more at any time.
        and state.gate.why_held(each.name) is not Held.leaving
    ]


def _describe_opening(state: GatewayState, holding: list[str]) -> Opening:
    gate = state.gate
    rate = sum(gate.rate_of_all(name) for name in holding)
    every_ms = MS_PER_S * len(gate.gateways) / rate
    # What is open now is kept for a more urgent call.
    first_ms = min(gate.opens_in_ms(name) for name in holding) or every_ms
    return Opening(first_ms=first_ms, every_ms=every_ms)
