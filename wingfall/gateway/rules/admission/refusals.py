"""Refusals, the final answers that a gateway creates itself.

429 and 503 promise that the request has not run and never will. If it may have
run, the status is 502 or 504.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final

from wingfall.errors import Refusal, RunState
from wingfall.gateway.model.attempt_end import AttemptEnd
from wingfall.gateway.model.fingerprint import make_part_fingerprint
from wingfall.gateway.rules.admission.retry_after import retry_after_unknown_ms

if TYPE_CHECKING:
    from wingfall.gateway.model.prompt import PromptPart

# Characters of the id of a prompt part in a message; callers choose the ids.
_MAX_PART_ID: Final = 64


def refuse_after(end: AttemptEnd, run: RunState, left_ms: int) -> Refusal:
    """Return the refusal of a call that is abandoned.

    :param end: how its last attempt ended; ``late`` if its time is over,
        ``not_sent`` if there is no endpoint left.
    :param run: whether the call may have run.
    :param left_ms: milliseconds that its caller still waits.
    :returns: the refusal.
    """
    if run is RunState.not_run:
        return _refuse_not_run(end, left_ms)
    if end is AttemptEnd.late:
        return Refusal(
            status=http.HTTPStatus.GATEWAY_TIMEOUT,
            kind='timeout',
            code='out_of_time',
            message='No answer came in time.',
            run=run,
        )
    return Refusal(
        status=http.HTTPStatus.BAD_GATEWAY,
        kind='endpoint',
        code='answer_lost',
        message='The answer of the endpoint was lost.',
        run=run,
    )


def refuse_failed_run() -> Refusal:
    """Return the refusal of a call whose endpoint refused it without proof.

    :returns: the refusal; its run state is unknown.
    """
    return Refusal(
        status=http.HTTPStatus.BAD_GATEWAY,
        kind='endpoint',
        code='endpoint_failed',
        message='The endpoint failed; the request may have run.',
        run=RunState.unknown,
    )


def refuse_stopping(run: RunState) -> Refusal:
    """Return the refusal of a call that a planned stop ends or does not begin.

    :param run: whether the call may have run.
    :returns: the refusal; other gateways serve a call that has not run.
    """
    not_run = run is RunState.not_run
    return Refusal(
        status=(
            http.HTTPStatus.SERVICE_UNAVAILABLE
            if not_run
            else http.HTTPStatus.BAD_GATEWAY
        ),
        kind='gateway',
        code='stopping',
        message='The gateway is stopping.',
        run=run,
        retry_after_ms=0 if not_run else None,
    )


def refuse_fault() -> Refusal:
    """Return the refusal of a call that an internal fault ended.

    :returns: the refusal; its run state is unknown.
    """
    return Refusal(
        status=http.HTTPStatus.BAD_GATEWAY,
        kind='gateway',
        code='internal_fault',
        message='The gateway failed.',
        run=RunState.unknown,
    )


def refuse_early(retry_after_ms: int) -> Refusal:
    """Return the refusal of a call that would start too late.

    :param retry_after_ms: milliseconds after which the caller may retry.
    :returns: the refusal.
    """
    return Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        kind='capacity',
        code='too_late',
        message='The endpoints are too far behind.',
        retry_after_ms=retry_after_ms,
    )


def refuse_withheld(retry_after_ms: int, *, resting: bool) -> Refusal:
    """Return the refusal of a call whose endpoints are all withheld.

    :param retry_after_ms: milliseconds after which the caller may retry.
    :param resting: whether all endpoints asked for rest and none named a limit.
    :returns: the refusal.
    """
    return Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        kind='capacity',
        code='endpoints_resting' if resting else 'endpoints_limited',
        message='The endpoints take no more requests for now.',
        retry_after_ms=retry_after_ms,
    )


def refuse_blocked(
    run: RunState,
    retry_after_ms: int,
    part: PromptPart | None = None,
) -> Refusal:
    """Return the refusal of a request that crashes endpoints.

    :param run: whether this call of the request may have run.
    :param retry_after_ms: milliseconds after which the request may be retried.
    :param part: the part of its prompt that does so, None if it is the request.
    :returns: the refusal.
    """
    not_run = run is RunState.not_run
    code = 'request_crashes_endpoints'
    message = 'Endpoints crash when they run this request.'
    if part is not None:
        code = 'prompt_part_crashes_endpoints'
        message = (
            'Endpoints crash when they run a prompt with the part'
            f' {part.part_id[:_MAX_PART_ID]}.'
        )
    return Refusal(
        status=(
            http.HTTPStatus.SERVICE_UNAVAILABLE
            if not_run
            else http.HTTPStatus.BAD_GATEWAY
        ),
        kind='endpoint',
        code=code,
        message=message,
        run=run,
        retry_after_ms=retry_after_ms if not_run else None,
        cause=part and make_part_fingerprint(part).hex(),
    )


def refuse_unknown_stream(left_ms: int) -> Refusal:
    """Return the refusal of a stream whose origin nobody knows.

    :param left_ms: milliseconds that its caller still waits.
    :returns: the refusal.
    """
    message = (
        'The software version that began the stream is unknown.'
        ' Request it without Last-Event-Id to begin anew.'
    )
    return _unavailable('stream_version_unknown', message, left_ms)


def refuse_moved_stream(left_ms: int) -> Refusal:
    """Return the refusal of a stream whose route has another pool now.

    :param left_ms: milliseconds that its caller still waits.
    :returns: the refusal.
    """
    message = (
        'The route no longer leads to the pool that began the stream.'
        ' Request it without Last-Event-Id to begin anew.'
    )
    return _unavailable('stream_pool_changed', message, left_ms)


def refuse_stream_without_endpoint(left_ms: int) -> Refusal:
    """Return the refusal of a stream if no endpoint has its version.

    :param left_ms: milliseconds that its caller still waits.
    :returns: the refusal.
    """
    message = (
        'No endpoint of the version that began the stream can be reached.'
        ' Request it without Last-Event-Id to begin anew.'
    )
    return _unavailable('stream_version_gone', message, left_ms)


def refuse_no_routes(left_ms: int) -> Refusal:
    """Return the refusal of a call that arrives before any configuration.

    :param left_ms: milliseconds that its caller still waits.
    :returns: the refusal.
    """
    message = 'There is no configuration yet.'
    return _unavailable('no_configuration', message, left_ms)


def refuse_short_memory(left_ms: int) -> Refusal:
    """Return the refusal of a call whose body has no room.

    :param left_ms: milliseconds that its caller still waits.
    :returns: the refusal.
    """
    message = 'The gateway has no memory for the body now.'
    return _unavailable('memory_short', message, left_ms)


def refuse_large_body() -> Refusal:
    """Return the refusal of a call whose body is too large.

    :returns: the refusal.
    """
    return refuse_request(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'body_too_large',
        'The body is too large.',
    )


def refuse_slow_body() -> Refusal:
    """Return the refusal of a call whose body makes others wait for memory.

    :returns: the refusal.
    """
    return refuse_request(
        http.HTTPStatus.REQUEST_TIMEOUT,
        'body_too_slow',
        'The body arrives too slowly while others wait for memory.',
    )


def refuse_request(status: int, code: str, message: str) -> Refusal:
    """Return the refusal of an invalid request.

    :param status: HTTP status.
    :param code: stable machine-readable error code.
    :param message: human-readable error message.
    :returns: the refusal.
    """
    return Refusal(
        status=status,
        kind='invalid_request',
        code=code,
        message=message,
    )


def _refuse_not_run(end: AttemptEnd, left_ms: int) -> Refusal:
    if end is AttemptEnd.not_sent:
        message = 'No endpoint can be reached.'
        return _unavailable('no_endpoint', message, left_ms)
    return _unavailable('no_capacity', 'The endpoints are full.', left_ms)


def _unavailable(code: str, message: str, left_ms: int) -> Refusal:
    return Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        kind='capacity',
        code=code,
        message=message,
        retry_after_ms=retry_after_unknown_ms(left_ms),
    )
