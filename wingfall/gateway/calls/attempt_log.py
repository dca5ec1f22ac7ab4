"""The log line of an attempt: its end, and the inputs that placed it.

``wingfall losses`` and ``wingfall trace`` read this line; its sentence and the
names of its fields are fixed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.gateway.calls.attempt_outcome import AttemptOutcome
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.calls.token_gap_watch import TokenGapWatch
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.rules.placement.candidate import Candidate


def log_attempt(
    *,
    call: Call,
    destination: Destination,
    outcome: AttemptOutcome,
    gaps: TokenGapWatch,
    number: int,
    started_ms: int,
    now_ms: int,
    estimate_ms: float,
    first_byte_ms: int | None,
) -> None:
    """Log the end of an attempt.

    :param call: the call.
    :param destination: where it was sent, and why.
    :param outcome: how the attempt ended.
    :param gaps: the token gaps of its stream.
    :param number: which attempt it was, from 1.
    :param started_ms: when it began, by the clock.
    :param now_ms: when it ended.
    :param estimate_ms: milliseconds to its first event by what was to be read.
    :param first_byte_ms: when the caller got the first byte, None if never.
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
        route=call.route.name,
        customer=call.customer.name if call.customer else None,
        tier=call.priority,
        attempt=number,
        endpoint=destination.endpoint.name,
        end=outcome.end,
        reason=outcome.reason,
        ms=now_ms - started_ms,
        left_ms=call.deadline_ms - now_ms,
        first_ms=first_ms,
        gap_ms=gaps.longest_ms,
        gap_reading=gaps.longest_reading_tokens,
        **_show_work(destination.candidate),
        unread=destination.load.reading_tokens,
        start_ms=int(estimate_ms),
        source=source.name if source else None,
        backup=backup.name if backup else None,
        continues=destination.continues,
        **_show_behaviour(destination.candidate),
    )


def _show_work(candidate: Candidate) -> dict[str, Any]:
    return {
        'running': candidate.running,
        'reading': candidate.reading_tokens,
        'cached': candidate.cached_tokens,
        'copied': candidate.copied_tokens,
    }


def _show_behaviour(candidate: Candidate) -> dict[str, Any]:
    speed = candidate.speed
    return {
        'recent': int(candidate.long_reads),
        'streams': candidate.streams,
        'idle_gap_ms': int(speed.idle_gap_ms),
        'full_gap_ms': int(speed.full_gap_ms or 0),
        'rate': round(speed.rate.tokens_per_ms, 1),
        'failing': round(candidate.failing, 2),
    }
