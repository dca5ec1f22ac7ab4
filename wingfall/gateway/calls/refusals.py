"""The answers of a gateway that are not an endpoint's.

429 and 503 promise that the request has not run and never will; where it may
have run the status is 502 or 504.
"""

from __future__ import annotations

from typing import Final

from wingfall.errors import Refusal, RunState

BAD_REQUEST: Final = 400
UNAUTHORIZED: Final = 401
NOT_FOUND: Final = 404
TOO_LARGE: Final = 413
UNAVAILABLE: Final = 503
_BAD_GATEWAY: Final = 502
_GATEWAY_TIMEOUT: Final = 504

# Callers wait at most a third of the time that they have left.
_USABLE_PART: Final = 4
_MIN_RETRY_MS: Final = 50
_MAX_RETRY_MS: Final = 1000


def refuse_late(run: RunState, left_ms: int) -> Refusal:
    """Refuse a call whose time is over.

    :param run: whether it may have run.
    :param left_ms: time that the caller has left.
    :returns: the refusal.
    """
    if run is RunState.not_run:
        return refuse_not_run(run, left_ms)
    return Refusal(
        status=_GATEWAY_TIMEOUT,
        kind='timeout',
        code='out_of_time',
        message='No answer came in time.',
        run=run,
    )


def refuse_lost(run: RunState, left_ms: int) -> Refusal:
    """Refuse a call whose answer was lost.

    :param run: whether it may have run.
    :param left_ms: time that the caller has left.
    :returns: the refusal.
    """
    if run is RunState.not_run:
        return refuse_not_run(run, left_ms)
    return Refusal(
        status=_BAD_GATEWAY,
        kind='endpoint',
        code='answer_lost',
        message='The answer of the endpoint was lost.',
        run=run,
    )


def refuse_fault() -> Refusal:
    """Refuse a call that a fault of the program ended.

    :returns: the refusal, which doesn't tell whether it has run.
    """
    return Refusal(
        status=_BAD_GATEWAY,
        kind='gateway',
        code='internal_fault',
        message='The gateway failed.',
        run=RunState.unknown,
    )


def refuse_no_endpoint(run: RunState, left_ms: int) -> Refusal:
    """Refuse a call for which no endpoint is left.

    :param run: whether it may have run.
    :param left_ms: time that the caller has left.
    :returns: the refusal.
    """
    if run is not RunState.not_run:
        return refuse_lost(run, left_ms)
    return _unavailable('no_endpoint', 'No endpoint can be reached.', left_ms)


def refuse_not_run(run: RunState, left_ms: int) -> Refusal:
    """Refuse a call that endpoints turned away.

    :param run: whether it may have run.
    :param left_ms: time that the caller has left.
    :returns: the refusal.
    """
    if run is not RunState.not_run:
        return refuse_lost(run, left_ms)
    return _unavailable('no_capacity', 'The endpoints are full.', left_ms)


def refuse_early(retry_after_ms: int) -> Refusal:
    """Refuse a call that would start too late.

    :param retry_after_ms: when its caller may come back.
    :returns: the refusal.
    """
    return Refusal(
        status=UNAVAILABLE,
        kind='capacity',
        code='too_late',
        message='The endpoints are too far behind.',
        retry_after_ms=retry_after_ms,
    )


def refuse_no_routes(left_ms: int) -> Refusal:
    """Refuse a call before there is a configuration.

    :param left_ms: time that the caller has left.
    :returns: the refusal.
    """
    message = 'There is no configuration yet.'
    return _unavailable('no_configuration', message, left_ms)


def refuse_request(status: int, code: str, message: str) -> Refusal:
    """Refuse a request that can't be served as it is.

    :param status: the HTTP status.
    :param code: stable word for programs.
    :param message: sentence for people.
    :returns: the refusal.
    """
    return Refusal(
        status=status,
        kind='invalid_request',
        code=code,
        message=message,
    )


def _unavailable(code: str, message: str, left_ms: int) -> Refusal:
    retry_ms = min(_MAX_RETRY_MS, left_ms // _USABLE_PART)
    return Refusal(
        status=UNAVAILABLE,
        kind='capacity',
        code=code,
        message=message,
        retry_after_ms=max(_MIN_RETRY_MS, retry_ms),
    )
