"""What a caller gets: the endpoint's answer or a refusal."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING, Any, Callable, Final, final

import orjson
from bottle import HTTPResponse
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.errors import Refusal, RunState
from wingfall.router.event_holder import EventHolder
from wingfall.router.refusals import caller_left

if TYPE_CHECKING:
    from collections.abc import Iterator

    from returns.result import Result

    from wingfall.router.answer import Answer

_EVENT_STREAM: Final = 'text/event-stream'


class AnswerCutError(Exception):
    """Ends a connection whose answer can't be completed."""


@final
class Reply:
    """Passes an answer on, whole or as a stream.

    A short answer is collected first, so that a fault still gives a plain
    error. A long one is passed on as it comes; a fault then ends an event
    stream by an error event, if that can stand by itself, and any other by
    breaking the connection, which no client takes for a whole answer.
    """

    __slots__ = ('_answer', '_collect_bytes', '_done', '_ended', '_request_id')

    def __init__(
        self,
        *,
        answer: Answer,
        request_id: str,
        collect_bytes: int,
        ended: Callable[[int, RunState, Refusal | None], None],
    ) -> None:
        """Prepare to pass an answer on.

        :param answer: the answer, its head already there.
        :param request_id: id of the request.
        :param collect_bytes: largest answer that is collected.
        :param ended: told how it ended: status, run state and fault.
        """
        self._answer = answer
        self._request_id = request_id
        self._collect_bytes = collect_bytes
        self._ended = ended
        self._done = False

    def render(self) -> HTTPResponse:
        """Make the response.

        :returns: the response, its body streamed where it is long.
        """
        pieces = self._answer.pieces()
        if self._is_event_stream():
            return self._respond(self._events(pieces))
        collected: list[bytes] = []
        size = 0
        for piece in pieces:
            if not isinstance(piece, Success):
                self._finish(piece.failure())
                return render_refusal(piece.failure(), self._request_id)
            collected.append(piece.unwrap())
            size += len(collected[-1])
            if size > self._collect_bytes:
                return self._respond(self._rest(collected, pieces))
        self._finish(None)
        return self._respond(b''.join(collected))

    def _is_event_stream(self) -> bool:
        head = self._answer.head
        kind = head.headers.get('content-type', '') if head else ''
        return kind.startswith(_EVENT_STREAM)

    def _respond(self, body: Any) -> HTTPResponse:
        head = self._answer.head
        if head is None:
            raise ValueError('an answer without a head can not be passed on')
        headers = run_headers(self._request_id, RunState.ran)
        headers['Wingfall-Endpoint'] = self._answer.endpoint
        headers.update(
            (name.title(), text) for name, text in head.headers.items()
        )
        return HTTPResponse(body, head.status, headers)

    def _events(
        self,
        pieces: Iterator[Result[bytes, Refusal]],
    ) -> Iterator[bytes]:
        holder = EventHolder()
        whole = self._until_fault(
            _hold_events(holder, pieces),
            functools.partial(_break_off, holder),
        )
        try:
            yield from filter(None, whole)
        finally:
            self._finish(caller_left(RunState.ran))

    def _rest(
        self,
        collected: list[bytes],
        pieces: Iterator[Result[bytes, Refusal]],
    ) -> Iterator[bytes]:
        try:
            yield b''.join(collected)
            yield from self._until_fault(pieces, _cut)
        finally:
            self._finish(caller_left(RunState.ran))

    def _until_fault(
        self,
        pieces: Iterator[Result[bytes, Refusal]],
        say_fault: Callable[[Refusal], bytes],
    ) -> Iterator[bytes]:
        for piece in pieces:
            if not isinstance(piece, Success):
                self._finish(piece.failure())
                yield say_fault(piece.failure())
                return
            yield piece.unwrap()
        self._finish(None)

    def _finish(self, fault: Refusal | None) -> None:
        # The first ending counts: a body that is closed early has no other.
        if self._done:
            return
        self._done = True
        head = self._answer.head
        answered = head.status if head else 0
        self._answer.close()
        self._ended(
            fault.status if fault else answered,
            RunState.ran,
            fault,
        )


def render_refusal(refusal: Refusal, request_id: str = '') -> HTTPResponse:
    """Make the response of a refusal.

    :param refusal: the refusal.
    :param request_id: id of the request, if it has one yet.
    :returns: the response with the error as JSON.
    """
    headers = run_headers(request_id, refusal.run)
    headers['Content-Type'] = 'application/json'
    if refusal.retry_after_ms is not None:
        seconds = math.ceil(refusal.retry_after_ms / MS_PER_S)
        headers['Retry-After'] = str(seconds)
    return HTTPResponse(_error_body(refusal), refusal.status, headers)


def run_headers(request_id: str, run: RunState) -> dict[str, str]:
    """Make the headers that each answer carries.

    :param request_id: id of the request, empty if it has none.
    :param run: whether the call ran.
    :returns: the headers.
    """
    headers = {'Wingfall-Run': str(run)}
    if request_id:
        headers['Wingfall-Request-Id'] = request_id
    return headers


def _error_body(refusal: Refusal) -> bytes:
    return orjson.dumps(
        {
            'error': {
                'type': refusal.kind,
                'code': refusal.code,
                'message': refusal.message,
                'run': str(refusal.run),
            },
        }
    )


def _hold_events(
    holder: EventHolder,
    pieces: Iterator[Result[bytes, Refusal]],
) -> Iterator[Result[bytes, Refusal]]:
    for piece in pieces:
        yield piece.map(holder.feed)
    yield Success(holder.take_rest())


def _break_off(holder: EventHolder, refusal: Refusal) -> bytes:
    if holder.is_split:
        return _cut(refusal)
    return b'event: error\ndata: %s\n\n' % _error_body(refusal)


def _cut(refusal: Refusal) -> bytes:
    raise AnswerCutError(refusal.message)
