"""One attempt: sends a request to an endpoint and reads the answer.

Owns the connection during the attempt. Returns the connection for reuse after a
complete answer and closes it otherwise, so that the endpoint stops the run.
Forwards each event of a stream as soon as it is complete.
"""

from __future__ import annotations

import re
import traceback
from typing import TYPE_CHECKING, Callable, Final, final

import h11

from wingfall.gateway.calls.attempt_outcome import (
    AttemptLimits,
    AttemptOutcome,
    BufferedAnswer,
)
from wingfall.gateway.endpoints.answer_framing import (
    ends_with_connection,
    find_body_length,
    is_stream,
)
from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerTimeoutError,
    BrokenAnswerError,
    EndlessAnswerError,
    EndpointWithheldError,
    NotConnectedError,
)
from wingfall.gateway.endpoints.event_stream import (
    EventSplitter,
    list_event_ids,
)
from wingfall.gateway.endpoints.event_time import EventTime
from wingfall.gateway.model.attempt_end import AttemptEnd, CallEndError
from wingfall.gateway.model.binding import AttemptRequest
from wingfall.log import log_event

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from wingfall.gateway.calls.attempt_outcome import CallAnswers
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.endpoints.answer_buffer import AnswerMemory
    from wingfall.gateway.endpoints.connection_cache import ConnectionCache
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndpointConnection,
    )
    from wingfall.gateway.endpoints.request_writer import IncompleteRequest
    from wingfall.gateway.model.answer_signals import AnswerSignals
    from wingfall.gateway.model.binding import AnswerHead, Binding
    from wingfall.gateway.model.call import Call, Headers
    from wingfall.gateway.rules.streams.event_order import EventOrder

# Seconds of nine digits are decades, so that further digits change nothing.
_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb'timeout=(\d{1,9})')


class DisorderedStreamError(BrokenAnswerError):
    """The endpoint's events don't continue the stream."""


@final
class Attempt:
    """A call sent to an endpoint, and the reading of its answer."""

    __slots__ = (
        '_answers',
        '_binding',
        '_call',
        '_connection',
        '_connections',
        '_destination',
        '_is_sending',
        '_is_whole',
        '_may_send',
        '_memory',
        '_now_ms',
        '_on_incomplete',
        '_on_output',
        '_on_signals',
        '_order',
        '_reply',
        '_sent_ms',
        '_watch_leaving',
    )

    def __init__(
        self,
        *,
        call: Call,
        destination: Destination,
        reply: Reply,
        order: EventOrder,
        binding: Binding,
        connections: ConnectionCache,
        now_ms: Callable[[], int],
        on_output: Callable[[], None],
        on_signals: Callable[[AnswerSignals, int], None],
        on_incomplete: Callable[[IncompleteRequest], None],
        may_send: Callable[[], bool],
        watch_leaving: Callable[[], AbstractContextManager[None]],
        is_whole: Callable[[], bool],
        memory: AnswerMemory,
        answers: CallAnswers,
    ) -> None:
        """Create an attempt that is not sent yet.

        :param call: the call to send.
        :param destination: endpoint, cache source and backup of the call.
        :param reply: receives the events of a stream.
        :param order: checks the ids of the stream's events.
        :param binding: translates the platform's headers.
        :param connections: connections to endpoints.
        :param now_ms: returns the time in milliseconds.
        :param on_output: called whenever events of a stream arrive.
        :param on_signals: called with the endpoint's signals in an answer and
            the time in milliseconds at which the request was sent.
        :param on_incomplete: called if the endpoint won't receive the whole
            request.
        :param may_send: checks if the endpoint may serve the call now.
        :param watch_leaving: watches the endpoint while an answer is read that
            ends with its connection.
        :param is_whole: checks if an answer is complete that has ended with its
            connection.
        :param memory: memory that the answers of all attempts share.
        :param answers: holds the answer until it was sent to the caller.
        """
        self._call = call
        self._destination = destination
        self._reply = reply
        self._order = order
        self._binding = binding
        self._connections = connections
        self._now_ms = now_ms
        self._on_output = on_output
        self._on_signals = on_signals
        self._on_incomplete = on_incomplete
        self._may_send = may_send
        self._watch_leaving = watch_leaving
        self._is_whole = is_whole
        self._answers = answers
        self._memory = memory
        self._sent_ms = 0
        # Whether bytes of the request may have been sent.
        self._is_sending = False
        self._connection: EndpointConnection | None = None

    def run(self, limits: AttemptLimits) -> AttemptOutcome:
        """Send the request and read its answer.

        :param limits: the time limits of the attempt.
        :returns: the outcome; the connection is already released or closed.
        """
        try:
            return self._exchange(limits)
        except CallEndError:
            raise
        except Exception as error:
            return self._describe_error(error)
        finally:
            if self._connection is not None:
                self._connection.close()

    @property
    def _last_event_id(self) -> str | None:
        # Of the last event that the caller has, if it has one.
        return self._reply.last_event_id or self._call.head.last_event_id

    def _exchange(self, limits: AttemptLimits) -> AttemptOutcome:
        call = self._call
        connection = self._connections.acquire(
            self._destination.endpoint,
            timeout_ms=limits.first_byte_ms - self._now_ms(),
            allow_reuse=call.idempotent,
        )
        self._connection = connection
        # The endpoint may have changed since it was chosen.
        if not self._may_send():
            raise EndpointWithheldError('not the version of the stream')
        self._sent_ms = self._now_ms()
        headers = self._binding.endpoint_headers(
            call, self._make_sending(limits)
        )
        self._is_sending = True
        connection.send(
            call.head.method,
            call.head.target,
            headers,
            call.body,
            deadline_ms=limits.deadline_ms,
            on_incomplete=self._on_incomplete,
            memory=call.memory,
        )
        response = connection.receive(limits.first_byte_ms - self._now_ms())
        return self._read_response(response, limits)

    def _make_sending(self, limits: AttemptLimits) -> AttemptRequest:
        return AttemptRequest(
            endpoint=self._destination.endpoint,
            time_left_ms=limits.deadline_ms - self._now_ms(),
            last_event_id=self._last_event_id,
            source=self._destination.source,
            backup=self._destination.backup,
            continues=self._destination.is_continuation,
        )

    def _read_response(
        self,
        response: h11.Response,
        limits: AttemptLimits,
    ) -> AttemptOutcome:
        headers = response.headers.raw_items()
        head = self._binding.read_answer(response.status_code, headers)
        if head.call_id != self._call.call_id and not head.not_run:
            raise BrokenAnswerError(
                'the answer has the call id of another request'
            )
        if not head.valid:
            raise BrokenAnswerError('the answer has an unknown encoding')
        # Reported whether or not the answer is used: an endpoint may signal in
        # any answer that it needs relief, and all gateways must receive that.
        self._on_signals(head.signals, self._sent_ms)
        self._note_keep_alive(headers)
        if not ends_with_connection(self._call.head.method, response):
            return self._read_answer(response, head, limits)
        with self._watch_leaving():
            return self._read_answer(response, head, limits)

    def _read_answer(
        self,
        response: h11.Response,
        head: AnswerHead,
        limits: AttemptLimits,
    ) -> AttemptOutcome:
        if is_stream(response):
            return self._read_stream(response, limits)
        if self._reply.started:
            # A started stream can only be continued by another stream.
            end = AttemptEnd.not_run if head.not_run else AttemptEnd.cut
            return AttemptOutcome(end=end, reason=str(response.status_code))
        return self._buffer_answer(response, head, limits)

    def _buffer_answer(
        self,
        response: h11.Response,
        head: AnswerHead,
        limits: AttemptLimits,
    ) -> AttemptOutcome:
        body = self._read_body(response, limits)
        self._check_end(response)
        self._release_connection(is_rest_needed=not head.not_run)
        headers = self._binding.caller_headers(response.headers.raw_items())
        answer = BufferedAnswer(
            status=response.status_code,
            headers=headers,
            body=body,
        )
        return AttemptOutcome(
            end=_classify_answer(head),
            answer=answer if head.is_relayable else None,
            reason=str(response.status_code),
        )

    def _read_body(
        self, response: h11.Response, limits: AttemptLimits
    ) -> bytes:
        buffer = self._answers.make_buffer(self._memory)
        buffer.expect(find_body_length(self._call.head.method, response))
        event = self._receive(limits)
        while not isinstance(event, h11.EndOfMessage):
            buffer.add(event.data)
            event = self._receive(limits)
        return buffer.read()

    def _read_stream(
        self,
        response: h11.Response,
        limits: AttemptLimits,
    ) -> AttemptOutcome:
        splitter = EventSplitter(
            last_event_id=self._reply.last_event_id, memory=self._memory
        )
        try:
            has_events = self._read_events(response, splitter, limits)
        finally:
            splitter.close()
        if splitter.has_partial_event:
            raise BrokenAnswerError('the stream ended inside an event')
        if not has_events:
            self._check_empty()
        self._check_end(response)
        if not self._reply.started:
            self._start_stream(response)
        self._release_connection(is_rest_needed=True)
        return AttemptOutcome(
            end=AttemptEnd.answered,
            reason='stream',
            is_empty_stream=not has_events,
        )

    def _read_events(
        self,
        response: h11.Response,
        splitter: EventSplitter,
        limits: AttemptLimits,
    ) -> bool:
        has_events = False
        event_time = EventTime(splitter=splitter)
        while True:
            event = self._receive(limits)
            if isinstance(event, h11.EndOfMessage):
                return has_events
            events = splitter.feed(bytes(event.data))
            if events:
                self._check_version(is_first=not has_events)
                has_events = True
                self._check_order(events)
                self._forward_events(response, events, splitter.last_event_id)
                splitter.release()
            event_time.check(self._now_ms(), self._find_end_ms(limits))

    def _check_end(self, response: h11.Response) -> None:
        # Without a length or chunks, an answer that the end of its endpoint cut
        # off looks like a whole one.
        method = self._call.head.method
        if ends_with_connection(method, response) and not self._is_whole():
            raise BrokenAnswerError(
                'nothing shows that the endpoint outlives its answer'
            )

    def _check_empty(self) -> None:
        # Only a stream that has events may have none left to send.
        if self._last_event_id is None:
            raise BrokenAnswerError('the stream ended without an event')
        self._check_version(is_first=True)

    def _check_version(self, *, is_first: bool) -> None:
        # The endpoint may have started again as another version under its id
        # before it received the request.
        if is_first and not self._may_send():
            raise BrokenAnswerError('not the version of the stream')

    def _check_order(self, events: bytes) -> None:
        if not self._order.admits(list_event_ids(events)):
            raise DisorderedStreamError(
                f'event {self._order.event_id}: {self._order.verdict}'
            )

    def _forward_events(
        self,
        response: h11.Response,
        events: bytes,
        last_event_id: str | None,
    ) -> None:
        self._on_output()
        if not self._reply.started:
            self._start_stream(response)
        self._reply.send_events(events, last_event_id)

    def _start_stream(self, response: h11.Response) -> None:
        headers = response.headers.raw_items()
        self._reply.start_stream(
            response.status_code, self._binding.caller_headers(headers)
        )

    def _receive(self, limits: AttemptLimits) -> h11.Event:
        if self._connection is None:
            raise BrokenAnswerError('the attempt has no connection')
        return self._connection.receive(
            self._find_end_ms(limits) - self._now_ms()
        )

    def _find_end_ms(self, limits: AttemptLimits) -> int:
        is_started = self._reply.started or not self._call.route.streaming
        if is_started or self._connection is None:
            return limits.deadline_ms
        return limits.first_byte_ms + self._connection.delivery_ms

    def _release_connection(self, *, is_rest_needed: bool) -> None:
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if is_rest_needed or connection.is_request_delivered:
            self._connections.release(self._destination.endpoint, connection)
        else:
            connection.close()

    def _note_keep_alive(self, headers: Headers) -> None:
        for name, text in headers:
            match = _KEEP_ALIVE_TIMEOUT.search(text)
            if name.lower() == b'keep-alive' and match and self._connection:
                self._connection.note_keep_alive(int(match.group(1)))

    def _broken_end(self) -> AttemptEnd:
        return AttemptEnd.cut if self._reply.started else AttemptEnd.lost

    def _describe_error(self, error: Exception) -> AttemptOutcome:
        match error:
            case NotConnectedError():
                is_withheld = isinstance(error, EndpointWithheldError)
                end = AttemptEnd.held if is_withheld else AttemptEnd.not_sent
                return AttemptOutcome(end=end, reason=str(error))
            case BrokenAnswerError():
                is_endless = isinstance(error, EndlessAnswerError)
                return AttemptOutcome(
                    end=self._broken_end(),
                    reason=str(error),
                    is_abandoned=isinstance(error, DisorderedStreamError),
                    endless=error if is_endless else None,
                )
            case AnswerTimeoutError():
                return AttemptOutcome(
                    end=self._late_end(), reason='no bytes in time'
                )
        return self._describe_fault(error)

    def _describe_fault(self, error: Exception) -> AttemptOutcome:
        log_event(
            'dispatch',
            'A fault of the program ended an attempt.',
            call=self._call.call_id,
            endpoint=self._destination.endpoint.name,
            trace=traceback.format_exc(),
        )
        return AttemptOutcome(
            end=self._broken_end() if self._is_sending else AttemptEnd.not_sent,
            reason=f'a fault of the program: {error!r}',
            is_abandoned=True,
            is_fault=self._connection is not None,
        )

    def _late_end(self) -> AttemptEnd:
        return AttemptEnd.cut if self._reply.started else AttemptEnd.late


def _classify_answer(head: AnswerHead) -> AttemptEnd:
    if head.not_run:
        return AttemptEnd.not_run
    if head.retry_elsewhere:
        return AttemptEnd.failed
    return AttemptEnd.answered
