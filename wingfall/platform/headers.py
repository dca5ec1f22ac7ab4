"""The platform's headers on requests and answers.

The only place that knows their names: read into a call's head and the meaning
of an answer, written for endpoints and callers. What a caller may not set is
dropped.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Final

from wingfall.gateway.model.binding import AnswerHead
from wingfall.gateway.model.call import CallHead
from wingfall.gateway.model.prompt import Prompt, PromptPart
from wingfall.platform.answer_signals import read_signals

if TYPE_CHECKING:
    from wingfall.gateway.model.binding import AttemptRequest
    from wingfall.gateway.model.call import Call, Headers
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

_CALL_ID: Final = b'x-attempt-id'
_DEADLINE: Final = b'x-deadline-ms'
_EXPECT: Final = b'X-Expect-Instance'
_CUSTOMER: Final = b'X-Tenant'
_PRIORITY: Final = b'X-Request-Priority'
_LAST_EVENT: Final = b'last-event-id'
_RESUMES: Final = b'resumes'
_TOKENS: Final = b'x-token-count'
_PARTS: Final = b'x-prompt-prefix'
_LENGTH_HINT: Final = b'x-length-hint'
_NOT_RUN: Final = b'x-not-executed'
# They promise a caller that its request has not run and never will. From an
# endpoint that is proof only beside the header above.
_REFUSALS: Final = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
_KEY_SCHEME: Final = 'token '
# The greatest number of a priority that is sent to engines.
_MAX_PRIORITY: Final = 9

# They speak of one connection only, or are the system's own to set.
_CONNECTION_ONLY: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    ),
)
_SYSTEM_ONLY: Final = frozenset(
    (
        b'authorization',
        _DEADLINE,
        _EXPECT.lower(),
        _CUSTOMER.lower(),
        _PRIORITY.lower(),
        b'x-expect-version',
        b'x-hold',
        b'x-pin-ms',
        b'kv-fetch',
        b'kv-from',
        b'x-kv-backup',
    ),
)


def read_call(method: bytes, target: bytes, headers: Headers) -> CallHead:
    """Read the head of a caller's request.

    :param method: its method.
    :param target: its path and query.
    :param headers: its headers with their names as sent.
    :returns: what it says; what can't be read counts as not there.
    """
    first = _first_values(headers)
    left_ms = _number(first.get(_DEADLINE))
    host = first.get(b'host', b'').decode('latin-1')
    return CallHead(
        method=method,
        target=target,
        host=host.rpartition(':')[0] if _has_port(host) else host,
        headers=_passed_on(headers, first),
        call_id=_text(first.get(_CALL_ID)),
        api_key=_read_key(first.get(b'authorization')),
        time_left_ms=left_ms,
        last_event_id=_text(first.get(_LAST_EVENT)) or None,
        prompt=_read_prompt(first),
        resumed_call_id=_text(first.get(_RESUMES)) or None,
    )


def endpoint_headers(call: Call, sending: AttemptRequest) -> Headers:
    """Write the headers of a request to an endpoint.

    :param call: the request.
    :param sending: where it goes, and what the attempt adds.
    :returns: the headers without those that frame the body.
    """
    headers = [
        pair for pair in call.head.headers if pair[0].lower() != _LAST_EVENT
    ]
    headers.append((b'X-Deadline-Ms', b'%d' % sending.time_left_ms))
    headers.append((_EXPECT, sending.endpoint.instance.encode()))
    if call.customer is not None:
        headers.append((_CUSTOMER, call.customer.name.encode()))
    if call.head.prompt is not None:
        headers.append((_PRIORITY, b'%d' % min(call.priority, _MAX_PRIORITY)))
    if sending.last_event_id is not None:
        last_event_id = sending.last_event_id.encode('latin-1')
        headers.append((b'Last-Event-Id', last_event_id))
    if sending.source is not None:
        headers.append((b'Kv-Fetch', _address(sending.source)))
    if sending.backup is not None:
        headers.append((b'X-Kv-Backup', _address(sending.backup)))
    if sending.continues:
        # The engine finds its copy of a run by the id of the request.
        run_id = call.call_id.encode('latin-1')
        copy = b'%b/%b' % (_address(sending.endpoint), run_id)
        headers.append((b'Kv-From', copy))
    return headers


def memory_headers(endpoint: PoolEndpoint) -> Headers:
    """Write the headers of the question what an engine keeps.

    :param endpoint: the engine.
    :returns: the headers.
    """
    return [
        (b'Host', _address(endpoint)),
        (_EXPECT, endpoint.instance.encode()),
    ]


def read_answer(status: int, headers: Headers) -> AnswerHead:
    """Read the head of an endpoint's answer.

    :param status: its status.
    :param headers: its headers.
    :returns: what it means.
    """
    first = _first_values(headers)
    foreign = status == http.HTTPStatus.MISDIRECTED_REQUEST
    not_run = foreign or _NOT_RUN in first
    is_unproved = status in _REFUSALS and not not_run
    is_failure = status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
    return AnswerHead(
        call_id=_text(first.get(_CALL_ID)),
        not_run=not_run,
        valid=b'content-encoding' not in first,
        retry_elsewhere=is_failure or is_unproved,
        is_relayable=not is_unproved,
        signals=read_signals(status, headers),
    )


def caller_headers(headers: Headers) -> Headers:
    """Choose the headers of an answer that the caller shall see.

    :param headers: the headers of the endpoint's answer.
    :returns: them without those that speak of its connection.
    """
    return _without(headers, _CONNECTION_ONLY | _named_in(headers))


def refusal_headers(head: CallHead) -> Headers:
    """Write the headers of an answer that is the gateway's own.

    :param head: the request that it answers.
    :returns: the headers.
    """
    if not head.call_id:
        return []
    return [(b'X-Attempt-Id', head.call_id.encode('latin-1'))]


def _address(endpoint: PoolEndpoint) -> bytes:
    return endpoint.address.encode()


def _passed_on(headers: Headers, first: dict[bytes, bytes]) -> Headers:
    dropped = _CONNECTION_ONLY | _SYSTEM_ONLY | _named_in(headers)
    return _without(headers, dropped)


def _named_in(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        word.strip().lower()
        for name, text in headers
        if name.lower() == b'connection'
        for word in text.split(b',')
    )


def _without(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    return [pair for pair in headers if pair[0].lower() not in dropped]


def _first_values(headers: Headers) -> dict[bytes, bytes]:
    first: dict[bytes, bytes] = {}
    for name, text in headers:
        first.setdefault(name.lower(), text)
    return first


def _has_port(host: str) -> bool:
    return host.rpartition(':')[2].isdigit() and ':' in host


def _read_key(text: bytes | None) -> str | None:
    if text is None:
        return None
    words = text.decode('latin-1')
    if not words.lower().startswith(_KEY_SCHEME):
        return None
    return words[len(_KEY_SCHEME) :].strip()


def _read_prompt(first: dict[bytes, bytes]) -> Prompt | None:
    if _PARTS not in first and _TOKENS not in first:
        return None
    counts = _text(first.get(_TOKENS)).split(',')
    most = _number(counts[-1].encode()) or 0
    hint = _number(first.get(_LENGTH_HINT))
    parts = _read_parts(first.get(_PARTS, b''))
    if not parts:
        whole = _number(counts[0].encode()) or 0
        parts = (PromptPart(part_id='', tokens=whole),)
    return Prompt(
        parts=parts,
        output_tokens=most if hint is None else min(hint, most or hint),
    )


def _read_parts(text: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.decode('latin-1').split(','):
        part_id, _colon, tokens = entry.strip().partition(':')
        length = _number(tokens.encode())
        if part_id and length is not None:
            parts.append(PromptPart(part_id=part_id, tokens=length))
    return tuple(parts)


def _text(text: bytes | None) -> str:
    return '' if text is None else text.decode('latin-1').strip()


def _number(text: bytes | None) -> int | None:
    if text is None:
        return None
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        return None
