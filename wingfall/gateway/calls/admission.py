"""Admission of prompts: refuses a prompt that would start too late."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from wingfall.gateway.calls.pool_capacity import (
    PoolCapacity,
    choose_timely_engine,
    estimate_start,
    find_capacity,
)
from wingfall.gateway.knowledge.customer_work import Work, prompt_work
from wingfall.gateway.rules.admission.early_refusal import (
    MAX_RELATIVE_USE,
    admissions,
    refusal_reason,
    start_margin,
)
from wingfall.gateway.rules.admission.refusals import refuse_early
from wingfall.gateway.rules.admission.retry_after import jittered_ms
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.rules.admission.early_refusal import (
        Admission,
        StartEstimate,
    )
    from wingfall.gateway.state import GatewayState


def admit_prompt(
    state: GatewayState,
    call: Call,
    pool: str,
    destination: Destination,
) -> Result[Destination, Refusal]:
    """Admit or refuse a prompt that was not sent to any engine yet.

    :param state: state of the gateway.
    :param call: the call; a call without a prompt is always admitted.
    :param pool: name of the call's pool.
    :param destination: the destination that placement chose.
    :returns: the destination to use, or the refusal to answer with.
    """
    if call.head.prompt is None or state.routes is None:
        return Success(destination)
    admission = _choose_admission(state, pool)
    if admission.is_pool_wide:
        _record_requested_work(state, call, destination)
        return _admit_pool_wide(state, call, pool, destination)
    estimate = estimate_start(state, call, destination)
    admitted = admission(estimate)
    if isinstance(admitted, Success):
        return Success(destination)
    _log_refusal(call, destination, estimate)
    return Failure(refuse_early(admitted.failure()))


def note_given_work(
    state: GatewayState, call: Call, destination: Destination
) -> None:
    """Record the work of a prompt that is sent as given to its customer.

    :param state: state of the gateway.
    :param call: the call.
    :param destination: the destination that the call is sent to.
    """
    pool = destination.endpoint.pool
    if _choose_admission(state, pool).is_pool_wide:
        given = Work(given=_call_work(call, destination))
        state.knowledge.customer_work.note(pool, call.customer_name, given)


def _choose_admission(state: GatewayState, pool: str) -> Admission:
    # A small pool has hardly any other engine to search.
    chosen = state.policies.admission
    if chosen.is_pool_wide and not state.knowledge.shares_estimates(pool):
        return admissions.find('target').unwrap()
    return chosen


def _admit_pool_wide(
    state: GatewayState,
    call: Call,
    pool: str,
    chosen: Destination,
) -> Result[Destination, Refusal]:
    error = state.knowledge.start_estimates.error(pool, call.priority)
    estimate = functools.partial(
        estimate_start, state, call, margin=start_margin(error)
    )
    # A start in time for customers far above their shares is so for all.
    if _is_in_time(state, estimate(chosen, MAX_RELATIVE_USE)):
        return Success(chosen)
    relative_use = state.fair_shares.find(pool).relative_use(call.customer_name)
    if _is_in_time(state, estimate(chosen, relative_use)):
        return Success(chosen)
    capacity = find_capacity(
        state,
        call,
        chosen,
        lambda each: _is_in_time(state, estimate(each, relative_use)),
    )
    if not capacity.in_time:
        return Failure(
            _refuse(
                state, call, estimate(capacity.earliest, relative_use), capacity
            )
        )
    # The customer's share decides about admission, not about the engine: the
    # chosen engine may cache the prompt.
    if _is_in_time(state, estimate(chosen)):
        return Success(chosen)
    _count_decision(state, 'other_engine')
    return Success(choose_timely_engine(state, call, pool, capacity))


def _is_in_time(state: GatewayState, estimate: StartEstimate) -> bool:
    return isinstance(state.policies.admission(estimate), Success)


def _refuse(
    state: GatewayState,
    call: Call,
    estimate: StartEstimate,
    capacity: PoolCapacity,
) -> Refusal:
    pool = capacity.earliest.endpoint.pool
    reason = refusal_reason(estimate)
    _count_decision(state, reason)
    shares = state.fair_shares.find(pool)
    _log_refusal(
        call,
        capacity.earliest,
        estimate,
        pool=pool,
        reason=reason,
        use=round(estimate.use, 2),
        margin=round(estimate.margin, 2),
        share_age_ms=state.clock.now_ms() - shares.computed_ms,
        estimate_age_ms=state.knowledge.first_event_age_ms(pool),
        engines=capacity.engine_count,
    )
    retry_ms = state.policies.admission(estimate).swap().value_or(0)
    draw = random.random()  # noqa: S311
    return refuse_early(jittered_ms(retry_ms, estimate.left_ms, draw))


def _record_requested_work(
    state: GatewayState, call: Call, destination: Destination
) -> None:
    if call.asked:
        return
    call.asked = True
    requested = Work(asked=_call_work(call, destination))
    state.knowledge.customer_work.note(
        destination.endpoint.pool, call.customer_name, requested
    )


def _call_work(call: Call, destination: Destination) -> float:
    prompt = call.head.prompt
    output_tokens = prompt.output_tokens if prompt else 0
    return prompt_work(destination.load.prefill_tokens, output_tokens)


def _count_decision(state: GatewayState, reason: str) -> None:
    state.metrics.decisions.inc({'part': 'admission', 'reason': reason})


def _log_refusal(
    call: Call,
    destination: Destination,
    estimate: StartEstimate,
    **fields: Any,
) -> None:
    log_event(
        'admission',
        'A prompt would start too late.',
        call=call.call_id,
        customer=call.customer.name if call.customer else None,
        endpoint=destination.endpoint.name,
        reading=destination.candidate.prefill_tokens,
        start_ms=int(estimate.start_ms),
        target_ms=estimate.target_ms,
        left_ms=estimate.left_ms,
        **fields,
    )
