"""One attempt: a request sent to one endpoint, and its answer read.

Owns the connection while it runs; gives it back after a whole answer and closes
it otherwise, so that the endpoint stops working. Events of a stream pass on as
soon as they are whole.
"""

from __future__ import annotations

import http
import re
from typing import TYPE_CHECKING, Callable, Final, final

import h11

from wingfall.gateway.calls.attempt_outcome import (
    AttemptLimits,
    AttemptOutcome,
    WholeAnswer,
)
from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerBrokenError,
    AnswerLateError,
    HeldError,
    NotConnectedError,
)
from wingfall.gateway.endpoints.event_stream import EventSplitter
from wingfall.gateway.model.attempt_end import AttemptEnd
from wingfall.gateway.model.binding import Sending

if TYPE_CHECKING:
    from wingfall.gateway.calls.destination import Destination
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndpointConnection,
    )
    from wingfall.gateway.endpoints.kept_connections import KeptConnections
    from wingfall.gateway.model.answer_signals import AnswerSignals
    from wingfall.gateway.model.binding import AnswerHead, Binding
    from wingfall.gateway.model.call import Call, Headers

_EVENT_STREAM: Final = b'text/event-stream'
_KEEP_ALIVE: Final = re.compile(rb'timeout=(\d+)')
# Bytes of an answer that is held whole, so that one can't fill the memory.
# Twice the largest request body.
_MAX_WHOLE_BYTES: Final = 8_388_608


@final
class Attempt:
    """Sends a call to an endpoint and reads the answer."""

    __slots__ = (
        '_binding',
        '_call',
        '_connection',
        '_connections',
        '_destination',
        '_now_ms',
        '_on_output',
        '_on_signals',
        '_reply',
        '_sent_ms',
    )

    def __init__(
        self,
        *,
        call: Call,
        destination: Destination,
        reply: Reply,
        binding: Binding,
        connections: KeptConnections,
        now_ms: Callable[[], int],
        on_output: Callable[[], None],
        on_signals: Callable[[AnswerSignals, int], None],
    ) -> None:
        """Prepare a sending.

        :param call: the request.
        :param destination: where it goes, and what goes with it.
        :param reply: takes the events of a stream.
        :param binding: translates the platform's headers.
        :param connections: connections to endpoints.
        :param now_ms: reads the clock.
        :param on_output: called whenever events of a stream have come.
        :param on_signals: called with what an answer says of its endpoint,
            and when its request was sent.
        """
        self._call = call
        self._destination = destination
        self._reply = reply
        self._binding = binding
        self._connections = connections
        self._now_ms = now_ms
        self._on_output = on_output
        self._on_signals = on_signals
        self._sent_ms = 0
        self._connection: EndpointConnection | None = None

    def run(self, limits: AttemptLimits) -> AttemptOutcome:
        """Send the request and read its answer.

        :param limits: how long it may take.
        :returns: how it ended; the connection is kept or closed by then.
        """
        try:
            return self._exchange(limits)
        except NotConnectedError as error:
            held = isinstance(error, HeldError)
            end = AttemptEnd.held if held else AttemptEnd.not_sent
            return AttemptOutcome(end=end, reason=str(error))
        except AnswerBrokenError as error:
            return AttemptOutcome(end=self._broken(), reason=str(error))
        except AnswerLateError:
            return AttemptOutcome(end=self._late(), reason='no bytes in time')
        finally:
            if self._connection is not None:
                self._connection.close()

    def _exchange(self, limits: AttemptLimits) -> AttemptOutcome:
        call = self._call
        connection = self._connections.take(
            self._destination.endpoint,
            timeout_ms=limits.first_byte_ms - self._now_ms(),
            kept=call.idempotent,
        )
        self._connection = connection
        self._sent_ms = self._now_ms()
        connection.send(
            call.head.method,
            call.head.target,
            self._binding.endpoint_headers(call, self._sending(limits)),
            call.body,
        )
        response = connection.receive(limits.first_byte_ms - self._now_ms())
        return self._read_response(response, limits)

    def _sending(self, limits: AttemptLimits) -> Sending:
        last_event_id = self._reply.last_event_id
        return Sending(
            endpoint=self._destination.endpoint,
            time_left_ms=limits.deadline_ms - self._now_ms(),
            last_event_id=last_event_id or self._call.head.last_event_id,
            source=self._destination.source,
            backup=self._destination.backup,
            continues=self._destination.continues,
        )

    def _read_response(
        self,
        response: h11.Response,
        limits: AttemptLimits,
    ) -> AttemptOutcome:
        headers = response.headers.raw_items()
        head = self._binding.read_answer(response.status_code, headers)
        if head.call_id != self._call.call_id and not head.not_run:
            raise AnswerBrokenError('an answer to another request')
        if not head.valid:
            raise AnswerBrokenError('an answer in an unknown encoding')
        # Whatever becomes of the answer: an endpoint in need may say so in any
        # of them, and all gateways must hear it.
        self._on_signals(head.signals, self._sent_ms)
        self._note_keep_alive(headers)
        if _is_stream(response):
            return self._read_stream(response, limits)
        if self._reply.started:
            # A stream can't go on with anything but a stream.
            end = AttemptEnd.not_run if head.not_run else AttemptEnd.cut
            return AttemptOutcome(end=end, reason=str(response.status_code))
        return self._read_whole(response, head, limits)

    def _read_whole(
        self,
        response: h11.Response,
        head: AnswerHead,
        limits: AttemptLimits,
    ) -> AttemptOutcome:
        pieces: list[bytes] = []
        size = 0
        while True:
            event = self._receive(limits)
            if isinstance(event, h11.EndOfMessage):
                break
            pieces.append(bytes(event.data))
            size += len(event.data)
            if size > _MAX_WHOLE_BYTES:
                raise AnswerBrokenError('an answer beyond all bounds')
        self._give_back()
        answer = WholeAnswer(
            status=response.status_code,
            headers=self._binding.caller_headers(response.headers.raw_items()),
            body=b''.join(pieces),
        )
        return AttemptOutcome(
            end=_classify(head),
            answer=answer,
            reason=str(response.status_code),
        )

    def _read_stream(
        self,
        response: h11.Response,
        limits: AttemptLimits,
    ) -> AttemptOutcome:
        splitter = EventSplitter(last_event_id=self._reply.last_event_id)
        while True:
            event = self._receive(limits)
            if isinstance(event, h11.EndOfMessage):
                break
            events = splitter.feed(bytes(event.data))
            if events:
                self._pass_on(response, events, splitter.last_event_id)
        if splitter.torn or not self._reply.started:
            raise AnswerBrokenError('the stream ended inside an event')
        self._give_back()
        return AttemptOutcome(end=AttemptEnd.answered, reason='stream')

    def _pass_on(
        self,
        response: h11.Response,
        events: bytes,
        last_event_id: str | None,
    ) -> None:
        self._on_output()
        if not self._reply.started:
            headers = response.headers.raw_items()
            self._reply.start_stream(
                response.status_code,
                self._binding.caller_headers(headers),
            )
        self._reply.send_events(events, last_event_id)

    def _receive(self, limits: AttemptLimits) -> h11.Event:
        if self._connection is None:
            raise AnswerBrokenError('there is no connection')
        until_ms = limits.deadline_ms
        if self._call.route.streaming and not self._reply.started:
            until_ms = limits.first_byte_ms
        return self._connection.receive(until_ms - self._now_ms())

    def _give_back(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            self._connections.give_back(self._destination.endpoint, connection)

    def _note_keep_alive(self, headers: Headers) -> None:
        for name, text in headers:
            told = _KEEP_ALIVE.search(text)
            if name.lower() == b'keep-alive' and told and self._connection:
                self._connection.note_keep_alive(int(told.group(1)))

    def _broken(self) -> AttemptEnd:
        return AttemptEnd.cut if self._reply.started else AttemptEnd.lost

    def _late(self) -> AttemptEnd:
        return AttemptEnd.cut if self._reply.started else AttemptEnd.late


def _is_stream(response: h11.Response) -> bool:
    kinds = [text for name, text in response.headers if name == b'content-type']
    return response.status_code == http.HTTPStatus.OK and any(
        kind.startswith(_EVENT_STREAM) for kind in kinds
    )


def _classify(head: AnswerHead) -> AttemptEnd:
    if head.not_run:
        return AttemptEnd.not_run
    if head.retry_elsewhere:
        return AttemptEnd.failed
    return AttemptEnd.answered
