"""The log lines of an attempt: its outcome and the inputs of its placement.

``wingfall losses`` and ``wingfall trace`` parse the line of its end, so the
sentence and field names of that must not change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.gateway.calls.attempt_outcome import AttemptOutcome
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.calls.token_gap_watch import TokenGapWatch
    from wingfall.gateway.endpoints.request_writer import IncompleteRequest
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.rules.placement.candidate import Candidate

# Parts of a prompt that are listed, so that a line stays short.
_MAX_LISTED_PARTS: Final = 16


def log_attempt(
    *,
    call: Call,
    destination: Destination,
    outcome: AttemptOutcome,
    gap_watch: TokenGapWatch,
    number: int,
    started_ms: int,
    now_ms: int,
    estimate_ms: float,
    first_byte_ms: int | None,
    after_event_id: str | None,
) -> None:
    """Log the end of an attempt.

    :param call: the call.
    :param destination: the endpoint and the inputs that decided it.
    :param outcome: the outcome of the attempt.
    :param gap_watch: the token gaps of the attempt's stream.
    :param number: number of the attempt in its call, from 1.
    :param started_ms: time in milliseconds at which the attempt began.
    :param now_ms: time in milliseconds at which it ended.
    :param estimate_ms: estimated prefill before the first event, milliseconds.
    :param first_byte_ms: time in milliseconds at which the first byte was sent
        to the caller, None if none was.
    :param after_event_id: id of the event after which the attempt was to
        continue the stream, None if it was to begin one.
    """
    first_ms = None
    if first_byte_ms is not None:
        first_ms = first_byte_ms - call.arrived_ms
    source, backup = destination.source, destination.backup
    log_event(
        'dispatch',
        'An attempt ended.',
        call=call.call_id,
        request=call.fingerprint.hex(),
        parts=_list_parts(call),
        route=call.route.name,
        customer=call.customer.name if call.customer else None,
        tier=call.priority,
        attempt=number,
        endpoint=destination.endpoint.name,
        version=destination.endpoint.version,
        end=outcome.end,
        reason=outcome.reason,
        ms=now_ms - started_ms,
        left_ms=call.deadline_ms - now_ms,
        first_ms=first_ms,
        gap_ms=gap_watch.longest_gap_ms,
        gap_reading=gap_watch.longest_gap_prefill_tokens,
        **_describe_load(destination.candidate),
        unread=destination.load.prefill_tokens,
        start_ms=int(estimate_ms),
        source=source.name if source else None,
        backup=backup.name if backup else None,
        continues=destination.is_continuation,
        after_event=after_event_id,
        resumes=call.head.resumed_call_id,
        **_describe_performance(destination.candidate),
    )


def log_incomplete(
    *,
    call: Call,
    endpoint: PoolEndpoint,
    number: int,
    request: IncompleteRequest,
) -> None:
    """Log a request that an endpoint did not receive whole.

    :param call: the call.
    :param endpoint: the endpoint.
    :param number: number of the attempt in its call, from 1.
    :param request: how much of it was delivered, and why not all.
    """
    log_event(
        'dispatch',
        'A request was not delivered whole.',
        call=call.call_id,
        attempt=number,
        endpoint=endpoint.name,
        confirmed_bytes=request.confirmed_bytes,
        total_bytes=request.total_bytes,
        ms=request.elapsed_ms,
        reason=request.reason,
    )


def _list_parts(call: Call) -> list[str]:
    listed = call.part_fingerprints[:_MAX_LISTED_PARTS]
    return [part.hex() for part in listed]


def _describe_load(candidate: Candidate) -> dict[str, Any]:
    return {
        'running': candidate.running,
        'reading': candidate.prefill_tokens,
        'cached': candidate.cached_tokens,
        'copied': candidate.copied_tokens,
    }


def _describe_performance(candidate: Candidate) -> dict[str, Any]:
    speed = candidate.speed
    return {
        'recent': int(candidate.long_reads),
        'streams': candidate.streams,
        'idle_gap_ms': int(speed.idle_gap_ms),
        'full_gap_ms': int(speed.full_gap_ms or 0),
        'rate': round(speed.rate.tokens_per_ms, 1),
        'failing': round(candidate.failure_rate, 2),
    }
