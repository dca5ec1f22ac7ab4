"""HTTP connection from a gateway to an endpoint.

A connection owns its socket and the HTTP state of one request at a time. The
type of an error says whether nothing was sent, the answer is broken or late.
"""

from __future__ import annotations

import enum
import http
import socket
from typing import TYPE_CHECKING, Callable, Final, final

import gevent
import h11

from wingfall.answer_status import is_final_status
from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.request_writer import RequestWriter
from wingfall.tcp import (
    SocketState,
    is_readable,
    peek_state,
    reset,
    silence_options,
)

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.request_writer import IncompleteRequest
    from wingfall.gateway.model.call import Headers
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.memory_portion import Reservation

# Maximum bytes of one read: the content of a socket buffer.
_READ_BYTES: Final = 65_536
# Maximum bytes of the first read of an answer: a long answer may have to wait
# for memory after it, on many connections at once.
_FIRST_READ_BYTES: Final = 16_384
# Maximum bytes of the head of an answer, of its trailers and of a line between
# its chunks.
_MAX_HEAD_BYTES: Final = 16_384
# Maximum informational answers before an answer, to bound the processor time of
# a request.
_MAX_INTERIM_ANSWERS: Final = 16
# Events of an answer after which other greenlets run, even if more bytes are
# ready to be read.
_MAX_EVENTS_IN_A_ROW: Final = 64
# What h11 hints at if a head exceeds its bound.
_TOO_LARGE: Final = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
# After each wait for bytes the clock is read again, since timers stop while the
# machine is suspended. A call that times out during a suspension gets its final
# answer up to this much later.
_MAX_WAIT_MS: Final = 1000
# Requests up to this size fit into the buffer of a new socket, so that they are
# written without a separate greenlet.
_MAX_INLINE_WRITE_BYTES: Final = 4096
# Several round trips between availability zones, but short enough not to wait
# for one lost packet.
_CONNECT_TIMEOUT_MS: Final = 300
# Keep-alive time of endpoints that send none.
_DEFAULT_KEEP_ALIVE_MS: Final = 1000
# Only this fraction of the keep-alive time is used, since the endpoint closes
# the connection by its own clock.
_KEEP_ALIVE_FRACTION: Final = 0.5
# This many keep-alive probes in a row without an answer end a connection. One
# probe may be lost.
_MAX_UNANSWERED_PROBES: Final = 2


class NotConnectedError(Exception):
    """The connection could not be established, so nothing was sent."""


class EndpointWithheldError(NotConnectedError):
    """The endpoint takes no request of this gateway now; nothing was sent."""


class BrokenAnswerError(Exception):
    """The answer is incomplete or violates the protocol."""


class AnswerPart(enum.StrEnum):
    """Parts of an answer that have a bound, as named in logs and metrics."""

    body = 'body'  # The body of an answer that is no stream.
    head = 'head'  # The head, the trailers, or a line between chunks.
    interim = 'interim'  # Informational answers before the answer.
    memory = 'memory'  # A body or an event, together with those of others.
    stream = 'stream'  # An event, or what comes between two events.


@final
class EndlessAnswerError(BrokenAnswerError):
    """The answer exceeds a bound and may never end.

    Says nothing about the end of the endpoint, which was still sending.
    """

    def __init__(self, *, part: AnswerPart, received_bytes: int) -> None:
        """Describe the answer.

        :param part: what exceeds its bound.
        :param received_bytes: bytes that were received of it.
        """
        super().__init__(f'endless: {received_bytes} bytes of the {part}')
        self.part = part
        self.received_bytes = received_bytes


class AnswerTimeoutError(Exception):
    """No bytes were received within the timeout."""


@final
class EndpointConnection:
    """Sends one request at a time and reads its answer as h11 events."""

    __slots__ = (
        '__weakref__',
        '_answer_bytes',
        '_clock',
        '_events_in_a_row',
        '_failure',
        '_http',
        '_idle_since_ms',
        '_is_early_answer',
        '_keep_alive_ms',
        '_socket',
        '_writer',
    )

    def __init__(self, *, sock: socket.socket, clock: Clock) -> None:
        """Create a connection that owns a socket.

        :param sock: connected socket.
        :param clock: clock of this gateway.
        """
        for option in silence_options(_MAX_UNANSWERED_PROBES):
            sock.setsockopt(*option)
        self._socket = sock
        self._clock = clock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        # Bytes received since the request was sent.
        self._answer_bytes = 0
        # Why the connection has failed, if its state has shown that.
        self._failure = ''
        # Writes a long request; None for a short one, which is written at once.
        self._writer: RequestWriter | None = None
        self._events_in_a_row = 0
        # Whether the answer began before the request was delivered.
        self._is_early_answer = False
        self._idle_since_ms = 0
        self._keep_alive_ms = _DEFAULT_KEEP_ALIVE_MS

    @property
    def is_reusable(self) -> bool:
        """Whether the endpoint has certainly not closed the connection."""
        idle_ms = self._clock.now_ms() - self._idle_since_ms
        return (
            idle_ms < self._keep_alive_ms * _KEEP_ALIVE_FRACTION
            and not is_readable(self._socket)
        )

    @property
    def state(self) -> SocketState:
        """What the connection shows of the endpoint's end."""
        try:
            return peek_state(self._socket)
        except OSError as error:
            self._failure = str(error)
            return SocketState.ended

    @property
    def is_request_delivered(self) -> bool:
        """Whether the endpoint's VM has received the whole request."""
        return self._writer is None or self._writer.check()

    @property
    def delivery_ms(self) -> int:
        """Milliseconds in which the request was delivered so far."""
        if self._writer is None:
            return 0
        self._writer.check()
        return self._writer.delivery_ms

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        *,
        deadline_ms: int,
        on_incomplete: Callable[[IncompleteRequest], None] | None = None,
        memory: Reservation | None = None,
    ) -> None:
        """Send a request; a long body is written while the answer is read.

        :param method: HTTP method.
        :param target: path and query.
        :param headers: headers without those that frame the body.
        :param body: complete body.
        :param deadline_ms: time of the clock in milliseconds at which the
            write is given up.
        :param on_incomplete: called if the endpoint won't receive the whole
            request, None if nobody needs to know.
        :param memory: memory of the body, None if none is reserved.
        :raises BrokenAnswerError: if the request can't be sent completely.
        """
        self._answer_bytes = 0
        framed = list(headers)
        if body or method not in {b'GET', b'HEAD', b'DELETE', b'OPTIONS'}:
            framed.append((b'Content-Length', b'%d' % len(body)))
        try:
            head = self._encode_head(method, target, framed, body)
        except h11.LocalProtocolError as error:
            raise BrokenAnswerError(str(error)) from error
        if len(head) + len(body) > _MAX_INLINE_WRITE_BYTES:
            self._writer = RequestWriter(
                sock=self._socket,
                clock=self._clock,
                head=head,
                body=body,
                deadline_ms=deadline_ms,
                on_incomplete=on_incomplete,
                memory=memory,
            )
        elif not self._write(head + body):
            raise BrokenAnswerError('the request could not be written')

    def receive(self, timeout_ms: int) -> h11.Event:
        """Read the next event of the answer.

        :param timeout_ms: maximum milliseconds to wait for bytes, without the
            time in which more of the request is delivered.
        :returns: a response, data or the end of the message.
        :raises BrokenAnswerError: if the answer ends early, is invalid or
            exceeds a bound.
        :raises AnswerTimeoutError: if no bytes arrive in time.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        event = self._receive_event(deadline_ms)
        interim_count = 0
        while isinstance(event, h11.InformationalResponse):
            interim_count += 1
            if interim_count > _MAX_INTERIM_ANSWERS:
                raise self._make_endless(AnswerPart.interim)
            event = self._receive_event(deadline_ms)
        if isinstance(event, h11.ConnectionClosed):
            raise BrokenAnswerError('closed without an answer')
        if isinstance(event, h11.Response):
            if not is_final_status(event.status_code):
                raise BrokenAnswerError(f'status {event.status_code}')
            self._is_early_answer = not self.is_request_delivered
        return event

    def release(self) -> bool:
        """Prepare for another request after a complete answer.

        :returns: whether the connection can take another request.
        """
        # The endpoint may still have to read the rest of the request, and
        # the next request would wait behind it.
        if self._is_early_answer:
            return False
        trailing, closed = self._http.trailing_data
        if trailing or closed or is_readable(self._socket):
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._stop_writer()
        self._idle_since_ms = self._clock.now_ms()
        return True

    def note_keep_alive(self, seconds: int) -> None:
        """Record how long the endpoint keeps an idle connection.

        :param seconds: keep-alive time that the endpoint sent.
        """
        self._keep_alive_ms = seconds * MS_PER_S

    def close(self) -> None:
        """Close the connection at once, so that the endpoint stops its work.

        An endpoint that reads slowly would notice the end of the connection
        only after the rest of the request, so that is dropped.
        """
        if self._stop_writer():
            self._socket.close()
        else:
            reset(self._socket)

    def close_when_delivered(self) -> None:
        """Close the connection after an answer that it can't be reused for.

        The endpoint may have answered before it has read the request; it gets
        the rest until the deadline of the call.
        """
        if self.is_request_delivered:
            self.close()
        elif self._writer is not None:
            self._writer.close_when_delivered()

    def _encode_head(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> bytes:
        request = h11.Request(method=method, target=target, headers=headers)
        head = self._http.send(request) or b''
        # A body with a length goes out as it is.
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        return head

    def _stop_writer(self) -> bool:
        writer = self._writer
        if writer is None:
            return True
        self._writer = None
        writer.stop('the attempt has ended')
        return writer.is_delivered

    def _write(self, encoded: bytes) -> bool:
        try:
            self._socket.sendall(encoded)
        except OSError:
            return False
        return True

    def _receive_event(self, deadline_ms: int) -> h11.Event:
        self._events_in_a_row += 1
        if self._events_in_a_row >= _MAX_EVENTS_IN_A_ROW:
            self._events_in_a_row = 0
            gevent.sleep(0)
        event = self._next_event()
        while event is h11.NEED_DATA:
            self._read(deadline_ms - self._clock.now_ms())
            event = self._next_event()
        return event

    def _next_event(self) -> h11.Event:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _TOO_LARGE:
                raise self._make_endless(AnswerPart.head) from error
            raise BrokenAnswerError(str(error)) from error

    def _make_endless(self, part: AnswerPart) -> EndlessAnswerError:
        return EndlessAnswerError(part=part, received_bytes=self._answer_bytes)

    def _read(self, timeout_ms: int) -> None:
        until_ms = self._clock.now_ms() + timeout_ms - self.delivery_ms
        received = None
        while received is None:
            remaining_ms = self._extend(until_ms) - self._clock.now_ms()
            if remaining_ms <= 0:
                raise AnswerTimeoutError
            received = self._receive_within(min(remaining_ms, _MAX_WAIT_MS))
        # The kernel reports a reset once. After something else has got it, the
        # end of the connection looks like that of an answer without a length.
        failure = self._failure or (self._writer and self._writer.failure)
        if not received and failure:
            raise BrokenAnswerError(failure)
        self._answer_bytes += len(received)
        try:
            self._http.receive_data(received)
        except h11.RemoteProtocolError as error:
            raise BrokenAnswerError(str(error)) from error

    def _extend(self, until_ms: int) -> int:
        writer = self._writer
        if writer is None:
            return until_ms
        return min(until_ms + self.delivery_ms, writer.deadline_ms)

    def _receive_within(self, timeout_ms: int) -> bytes | None:
        self._socket.settimeout(timeout_ms / MS_PER_S)
        try:
            return self._socket.recv(
                _READ_BYTES if self._answer_bytes else _FIRST_READ_BYTES
            )
        except TimeoutError as error:
            # An errno means that the kernel found the machine unresponsive.
            if error.errno:
                raise BrokenAnswerError(str(error)) from error
            return None
        except OSError as error:
            raise BrokenAnswerError(str(error)) from error


def connect(
    endpoint: PoolEndpoint,
    clock: Clock,
    timeout_ms: int,
) -> EndpointConnection:
    """Open a connection to an endpoint.

    :param endpoint: endpoint to connect to.
    :param clock: clock of this gateway.
    :param timeout_ms: maximum milliseconds for the connect.
    :returns: the new connection.
    :raises NotConnectedError: if the connection can't be established.
    """
    bounded_ms = max(1, min(timeout_ms, _CONNECT_TIMEOUT_MS))
    try:
        sock = socket.create_connection(
            (endpoint.host, endpoint.port),
            timeout=bounded_ms / MS_PER_S,
        )
    # The last two are of a host or port that no socket takes.
    except (OSError, ValueError, OverflowError) as error:
        raise NotConnectedError(str(error)) from error
    try:
        return EndpointConnection(sock=sock, clock=clock)
    except OSError as error:
        sock.close()
        raise NotConnectedError(str(error)) from error
