"""What the head and the body of a caller's HTTP request say to a router."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, final

import orjson
from returns.result import Failure, Result, Success

from wingfall.decision.affinity import hash_prefixes, prompt_text
from wingfall.errors import Refusal

if TYPE_CHECKING:
    from bottle import BaseRequest

    from wingfall.objects.request_class import RequestClass

_PRIVATE_HEADERS: Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


@final
class PromptHead:
    """What the body of a model request says to a router."""

    __slots__ = ('model', 'prefixes')

    def __init__(self, *, model: str, prefixes: list[bytes]) -> None:
        """Keep it.

        :param model: the model.
        :param prefixes: hashes of the beginning of the prompt.
        """
        self.model = model
        self.prefixes = prefixes


def read_model(body: bytes) -> Result[PromptHead, Refusal]:
    """Read the body of a request to a model.

    :param body: the body.
    :returns: the model and the beginning of the prompt, or the refusal.
    """
    try:
        parsed: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        reason = f'the body is not JSON: {error}'
        return Failure(bad_request('bad_json', reason))
    model = parsed.get('model') if isinstance(parsed, dict) else None
    if isinstance(model, str) and model:
        prefixes = hash_prefixes(prompt_text(parsed))
        return Success(PromptHead(model=model, prefixes=prefixes))
    return Failure(bad_request('no_model', "the body has no text 'model'"))


def read_timeout(
    http: BaseRequest,
    terms: RequestClass,
) -> Result[int, Refusal]:
    """Read how long a caller waits.

    :param http: the HTTP request.
    :param terms: its class.
    :returns: milliseconds, at most those of the class, or the refusal.
    """
    text = http.get_header('Wingfall-Timeout-Ms')
    if text is None:
        return Success(terms.timeout_ms)
    if text.isascii() and text.isdigit() and int(text):
        return Success(min(int(text), terms.timeout_ms))
    return Failure(
        bad_request(
            'bad_timeout',
            'Wingfall-Timeout-Ms is not a positive whole number',
        ),
    )


def is_repeatable(http: BaseRequest, terms: RequestClass) -> bool:
    """Tell whether a second run of a request does no harm.

    :param http: the HTTP request.
    :param terms: its class.
    :returns: whether the class and the caller say so.
    """
    said = http.get_header('Wingfall-Repeatable', '').strip().lower()
    return terms.repeatable and said != 'no'


def endpoint_headers(
    http: BaseRequest,
    request_id: str,
    terms: RequestClass,
) -> dict[str, str]:
    """Choose the headers that go to the endpoint.

    :param http: the HTTP request.
    :param request_id: its id.
    :param terms: its class.
    :returns: the headers.
    """
    headers = {
        name: text
        for name, text in http.headers.items()
        if not _is_private(name.lower())
    }
    headers['X-Request-Id'] = request_id
    headers['X-Request-Priority'] = str(terms.tier)
    return headers


def _is_private(name: str) -> bool:
    return name in _PRIVATE_HEADERS or name.startswith('wingfall-')


def bad_request(code: str, message: str) -> Refusal:
    """Refuse a request that is wrong in itself.

    :param code: what is wrong, in one word.
    :param message: what is wrong, in a sentence.
    :returns: the refusal.
    """
    return Refusal(
        status=HTTPStatus.BAD_REQUEST,
        kind='invalid_request_error',
        code=code,
        message=message,
    )
