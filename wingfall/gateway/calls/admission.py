"""Admits a prompt, or refuses it since it would start too late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from wingfall.gateway.rules.admission.early_refusal import StartEstimate
from wingfall.gateway.rules.admission.refusals import refuse_early
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState


def admit_prompt(
    state: GatewayState,
    call: Call,
    pool: str,
    destination: Destination,
) -> Result[Destination, Refusal]:
    """Admit a prompt that was sent nowhere yet.

    :param state: what the gateway knows.
    :param call: the call; one without a prompt is admitted.
    :param pool: name of its pool.
    :param destination: where it is to go.
    :returns: where it goes, or the refusal that answers it.
    """
    routes = state.routes
    if call.head.prompt is None or routes is None:
        return Success(destination)
    estimate = StartEstimate(
        start_ms=state.knowledge.starts.expected_ms(
            pool, call.priority, destination.start_ms
        ),
        target_ms=call.route.target_ms,
        left_ms=call.deadline_ms - state.clock.now_ms(),
        urgent=call.route.tier <= routes.most_urgent(pool),
    )
    admitted = state.policies.admission(estimate)
    if isinstance(admitted, Success):
        return Success(destination)
    log_event(
        'admission',
        'A prompt would start too late.',
        call=call.call_id,
        customer=call.customer.name if call.customer else None,
        endpoint=destination.endpoint.name,
        reading=destination.candidate.reading_tokens,
        start_ms=int(estimate.start_ms),
        target_ms=estimate.target_ms,
        left_ms=estimate.left_ms,
    )
    return Failure(refuse_early(admitted.failure()))
