"""A caller that keeps what it needs to judge each answer."""

from __future__ import annotations

import hashlib
import time
from typing import Any, Final, final

import orjson
import urllib3

from wingfall.answer_head import make_pool_manager

_OK: Final = 200
_MS: Final = 1000
_READ_BYTES: Final = 65_536
_DONE: Final = b'data: [DONE]\n\n'
_ERROR: Final = b'event: error\n'


@final
class Outcome:
    """What came of one request."""

    __slots__ = (
        'asked',
        'body',
        'code',
        'first_ms',
        'request_id',
        'run',
        'status',
        'total_ms',
        'whole',
    )

    def __init__(self, *, asked: Ask) -> None:
        """Start with nothing received.

        :param asked: the request.
        """
        self.asked = asked
        self.status = 0
        self.code = ''
        self.run = ''
        self.request_id = ''
        self.body = b''
        self.whole = False
        self.first_ms = float()
        self.total_ms = float()

    @property
    def sha256(self) -> str:
        """SHA-256 of the body in hex."""
        return hashlib.sha256(self.body).hexdigest()

    @property
    def on_time(self) -> bool:
        """Whether it was whole and met the target of its class."""
        target = self.asked.target
        if not self.whole:
            return False
        if self.first_ms > target.get('first_token_ms', self.first_ms):
            return False
        return self.total_ms <= target.get('complete_ms', self.total_ms)


@final
class Ask:
    """One request to send."""

    __slots__ = (
        'class_name',
        'headers',
        'payload',
        'streamed',
        'target',
        'url',
    )

    def __init__(
        self,
        *,
        url: str,
        key: str,
        class_name: str,
        payload: dict[str, Any],
        target: dict[str, int],
        headers: dict[str, str] | None = None,
    ) -> None:
        """Describe a request.

        :param url: the whole URL.
        :param key: API key.
        :param class_name: its class.
        :param payload: the body as JSON.
        :param target: target of the class in milliseconds.
        :param headers: headers besides the key, class and type.
        """
        self.url = url
        self.class_name = class_name
        self.payload = payload
        self.target = target
        self.streamed = bool(payload.get('stream'))
        self.headers = {
            'Authorization': f'Bearer {key}',
            'Wingfall-Class': class_name,
            'Content-Type': 'application/json',
            **(headers or {}),
        }


@final
class Caller:
    """Sends requests over kept connections."""

    __slots__ = ('_pool',)

    def __init__(self, *, connections: int) -> None:
        """Set up the pool.

        :param connections: connections to keep.
        """
        self._pool = make_pool_manager(maxsize=connections, retries=False)

    def send(self, ask: Ask) -> Outcome:
        """Send a request and read its answer to the end.

        :param ask: the request.
        :returns: what came of it.
        """
        outcome = Outcome(asked=ask)
        started = time.perf_counter()
        try:
            self._read(ask, outcome, started)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            outcome.code = type(error).__name__
        outcome.total_ms = (time.perf_counter() - started) * _MS
        return outcome

    def _read(self, ask: Ask, outcome: Outcome, started: float) -> None:
        response = self._pool.request(
            'POST',
            ask.url,
            body=orjson.dumps(ask.payload),
            headers=ask.headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=5, read=60),
        )
        outcome.status = response.status
        outcome.run = response.headers.get('Wingfall-Run', '')
        outcome.request_id = response.headers.get('Wingfall-Request-Id', '')
        pieces: list[bytes] = []
        chunked = getattr(response, 'chunked', False)
        stream = response.stream(None if chunked else _READ_BYTES)
        for piece in stream:
            if not pieces:
                outcome.first_ms = (time.perf_counter() - started) * _MS
            pieces.append(piece)
        outcome.body = b''.join(pieces)
        response.release_conn()
        outcome.whole = _is_whole(outcome)
        if outcome.status != _OK:
            outcome.code = _error_code(outcome.body)


def _is_whole(outcome: Outcome) -> bool:
    if outcome.status != _OK or _ERROR in outcome.body:
        return False
    return not outcome.asked.streamed or outcome.body.endswith(_DONE)


def _error_code(body: bytes) -> str:
    try:
        return str(orjson.loads(body)['error']['code'])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return 'not an error body'
