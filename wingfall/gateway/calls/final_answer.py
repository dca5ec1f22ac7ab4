"""Response, log line and metrics of the final answer of a call.

``wingfall losses`` parses the log lines, so their sentences and field names
must not change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import orjson

from wingfall.clock import MS_PER_S
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.model.call import Call, CallHead, Headers
    from wingfall.gateway.state import GatewayState

_JSON_CONTENT_TYPE: Final = (b'Content-Type', b'application/json')


def send_refusal(
    state: GatewayState,
    reply: Reply,
    head: CallHead,
    refusal: Refusal,
    call: Call | None = None,
) -> None:
    """Send, log and count a refusal of a call that no endpoint answered.

    :param state: state of the gateway.
    :param reply: the answer to the caller.
    :param head: head of the request.
    :param refusal: the reason for the refusal, with its status and code.
    :param call: the call, None if it was not accepted.
    """
    _send(reply, refusal, state.binding.refusal_headers(head))
    log_event(
        'refusal',
        'A call was refused.',
        call=head.call_id,
        request=call.fingerprint.hex() if call else None,
        prompt_part=refusal.cause,
        route=call.route.name if call else None,
        customer=call.customer.name if call and call.customer else None,
        status=refusal.status,
        code=refusal.code,
        run=refusal.run,
        retry_ms=refusal.retry_after_ms,
        config=state.routes.version if state.routes else None,
        path=head.path,
    )
    _count(state, refusal)


def send_head_refusal(
    state: GatewayState, reply: Reply, refusal: Refusal
) -> None:
    """Send, log and count the refusal of a request without a whole head.

    :param state: state of the gateway.
    :param reply: the answer to the caller.
    :param refusal: the reason for the refusal.
    """
    _send(reply, refusal, [])
    log_event(
        'callers',
        'An unfinished head was refused.',
        status=refusal.status,
        code=refusal.code,
        run=refusal.run,
        retry_ms=refusal.retry_after_ms,
    )
    _count(state, refusal)


def send_malformed_request_error(reply: Reply, status: int) -> None:
    """Send an error response to bytes that are not an HTTP request.

    :param reply: the answer to the caller.
    :param status: the HTTP status.
    """
    body = {'error': {'message': 'Not a request.'}}
    reply.send_answer(status, [_JSON_CONTENT_TYPE], orjson.dumps(body))


def _send(reply: Reply, refusal: Refusal, more: Headers) -> None:
    headers = [_JSON_CONTENT_TYPE, *more]
    if refusal.retry_after_ms is not None:
        retry_after_s = refusal.retry_after_ms / MS_PER_S
        headers.append((b'Retry-After', b'%.3f' % retry_after_s))
    body = {
        'error': {
            'type': refusal.kind,
            'code': refusal.code,
            'message': refusal.message,
            'run': refusal.run,
        },
    }
    reply.send_answer(refusal.status, headers, orjson.dumps(body))


def _count(state: GatewayState, refusal: Refusal) -> None:
    state.metrics.decisions.inc({'part': 'refusal', 'reason': refusal.code})
    state.metrics.answers.inc(
        {'class': '', 'status': str(refusal.status), 'run': refusal.run},
    )


def note_answer(state: GatewayState, call: Call, reply: Reply) -> None:
    """Log and count a call that ended without a refusal.

    :param state: state of the gateway.
    :param call: the call.
    :param reply: the answer to the caller, as far as it was written.
    """
    elapsed_ms = state.clock.now_ms() - call.arrived_ms
    started = reply.started
    log_event(
        'answer',
        'A call ended.',
        call=call.call_id,
        route=call.route.name,
        customer=call.customer.name if call.customer else None,
        status=reply.status,
        whole=reply.finished,
        ms=elapsed_ms,
        first_ms=reply.first_byte_ms - call.arrived_ms if started else None,
        target_ms=call.route.target_ms,
        gap_ms=reply.longest_gap_ms,
        gap_target_ms=call.route.target.token_gap_ms,
    )
    state.metrics.answers.inc(
        {
            'class': call.route.name,
            'status': str(reply.status),
            'run': 'ran' if reply.finished else 'unknown',
        },
    )
    state.metrics.answer_ms.observe({'class': call.route.name}, elapsed_ms)
