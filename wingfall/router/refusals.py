"""The refusals that a dispatch can end in."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final

from wingfall.errors import Refusal, RunState
from wingfall.wire.call_messages import End
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from wingfall.router.attempt import Attempt
    from wingfall.wire.offer_messages import Refused

_CALLER_LEFT = 499
_RETRY_MS = 1000

KEY_REASONS: Final = {
    RefusalReason.key_in_use: 'the first request of this key still runs',
    RefusalReason.key_mismatch: 'this key stands for another request',
    RefusalReason.key_not_held: 'this key may have run, its answer is not held',
}


def no_endpoint(*, configured: bool) -> Refusal:
    """Refuse a request that no endpoint can take now.

    :param configured: whether there is one that could if it were up.
    :returns: the refusal.
    """
    if configured:
        return Refusal(
            status=http.HTTPStatus.SERVICE_UNAVAILABLE,
            kind='capacity_error',
            code='no_endpoint_up',
            message='no endpoint that may serve this request is up',
            retry_after_ms=_RETRY_MS,
        )
    return Refusal(
        status=http.HTTPStatus.NOT_FOUND,
        kind='invalid_request_error',
        code='no_endpoint',
        message='no endpoint serves this model or service for this class',
    )


def no_capacity(refused: Refused | None) -> Refusal:
    """Refuse a request that the agents have no room for.

    :param refused: the last agent's refusal.
    :returns: the refusal, with the time the agent estimated.
    """
    reason = refused.reason if refused else 'busy'
    retry_after_ms = refused.retry_after_ms if refused else _RETRY_MS
    return Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        kind='capacity_error',
        code=reason,
        message=f'there is no room for this request now: {reason}',
        retry_after_ms=max(_RETRY_MS, retry_after_ms),
    )


def gave_up(attempt: Attempt, run: RunState) -> Refusal:
    """Refuse a request whose time is over or whose caller has left.

    :param attempt: the attempt.
    :param run: what is known about its run.
    :returns: the refusal.
    """
    if attempt.caller_left:
        return caller_left(run)
    return Refusal(
        status=http.HTTPStatus.GATEWAY_TIMEOUT,
        kind='timeout_error',
        code='timed_out',
        message='there was no answer in time',
        run=run,
        retry_after_ms=_RETRY_MS,
    )


def key_home_down() -> Refusal:
    """Refuse a request whose key can't be looked up now.

    :returns: the refusal; an earlier try of the key may have run.
    """
    return Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        kind='capacity_error',
        code='key_home_down',
        message='the endpoint that knows this Idempotency-Key is not up',
        run=RunState.unknown,
        retry_after_ms=_RETRY_MS,
    )


def key_refused(refused: Refused) -> Refusal:
    """Refuse a request because of its key.

    :param refused: the refusal of the key's home.
    :returns: the refusal.
    """
    return Refusal(
        status=http.HTTPStatus.CONFLICT,
        kind='idempotency_error',
        code=refused.reason,
        message=KEY_REASONS[RefusalReason(refused.reason)],
        run=RunState.unknown,
        retry_after_ms=(
            _RETRY_MS if refused.reason == RefusalReason.key_in_use else None
        ),
    )


def caller_left(run: RunState) -> Refusal:
    """Note that nobody is there to get the answer.

    :param run: what is known about the run.
    :returns: the refusal, for logs and metrics.
    """
    return Refusal(
        status=_CALLER_LEFT,
        kind='caller_error',
        code='caller_left',
        message='the caller left',
        run=run,
    )


def run_failed(ending: Refused | End) -> Refusal:
    """Refuse a request whose run failed and may not be repeated.

    :param ending: how the run ended.
    :returns: the refusal.
    """
    message = 'the endpoint was lost while it had the request'
    if isinstance(ending, End):
        message = ending.fault
    return Refusal(
        status=http.HTTPStatus.BAD_GATEWAY,
        kind='endpoint_error',
        code='endpoint_lost',
        message=message,
        run=run_state(ending),
    )


def run_state(ending: Refused | End) -> RunState:
    """Tell what is known about a run that gave no head.

    :param ending: how it ended.
    :returns: the state; ``not_run`` never comes of a run that was sent.
    """
    if isinstance(ending, End):
        return RunState(ending.run)
    return RunState.unknown
