"""One HTTP connection from a gateway to an endpoint.

Owns the socket and its state of HTTP for one request at a time. Errors say what
they prove: nothing was sent, the answer is broken, or it is late.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final, final

import gevent
import h11

from wingfall.clock import MS_PER_S
from wingfall.tcp import is_readable, silence_options

if TYPE_CHECKING:
    from gevent import Greenlet

    from wingfall.clock import Clock
    from wingfall.gateway.model.call import Headers
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Bytes of one read: what a socket holds.
_READ_BYTES: Final = 65_536
# Milliseconds of one wait for bytes, after which the clock is read again, since
# timers stand still while the machine is suspended: a call whose time passed
# meanwhile has its final answer by so much later.
_WAIT_MS: Final = 1000
# Bytes of a request that are written without a greenlet of their own: they fit
# into the buffer of a new socket.
_DIRECT_BYTES: Final = 4096
# Milliseconds for a connect. Several ways there and back between availability
# zones, so that one lost packet isn't waited for.
_CONNECT_MS: Final = 300
# Milliseconds that an endpoint keeps an idle connection if it doesn't tell.
_DEFAULT_KEEP_MS: Final = 1000
# Part of that time that is used: the endpoint closes by its own clock.
_KEEP_PART: Final = 0.5
# Probes in a row without an answer that end a connection. One may be lost.
_UNANSWERED_PROBES: Final = 2


class NotConnectedError(Exception):
    """No connection came up, so nothing was sent."""


class HeldError(NotConnectedError):
    """The endpoint takes no request of this gateway now; none was sent."""


class AnswerBrokenError(Exception):
    """The answer ended before its end, or is no answer."""


class AnswerLateError(Exception):
    """Nothing came within the time that was given."""


@final
class EndpointConnection:
    """Sends one request at a time and reads its answer as events of h11."""

    __slots__ = (
        '_clock',
        '_http',
        '_idle_since_ms',
        '_keep_ms',
        '_socket',
        '_writer',
    )

    def __init__(self, *, sock: socket.socket, clock: Clock) -> None:
        """Take over a connected socket.

        :param sock: the socket.
        :param clock: the time.
        """
        for option in silence_options(_UNANSWERED_PROBES):
            sock.setsockopt(*option)
        self._socket = sock
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)
        self._writer: Greenlet | None = None
        self._idle_since_ms = 0
        self._keep_ms = _DEFAULT_KEEP_MS

    @property
    def is_reusable(self) -> bool:
        """Whether the endpoint has surely kept the connection."""
        idle_ms = self._clock.now_ms() - self._idle_since_ms
        return idle_ms < self._keep_ms * _KEEP_PART and not is_readable(
            self._socket
        )

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a request; a long body is written while the answer is read.

        :param method: its method.
        :param target: its path and query.
        :param headers: its headers without those that frame the body.
        :param body: its whole body.
        :raises AnswerBrokenError: if the request can't be sent whole.
        """
        framed = list(headers)
        if body or method not in {b'GET', b'HEAD', b'DELETE', b'OPTIONS'}:
            framed.append((b'Content-Length', b'%d' % len(body)))
        try:
            encoded = self._encode(method, target, framed, body)
        except h11.LocalProtocolError as error:
            raise AnswerBrokenError(str(error)) from error
        if len(encoded) > _DIRECT_BYTES:
            self._writer = gevent.spawn(self._write, encoded)
        elif not self._write(encoded):
            raise AnswerBrokenError('the request could not be written')

    def receive(self, timeout_ms: int) -> h11.Event:
        """Read the next event of the answer.

        :param timeout_ms: how long to wait for bytes.
        :returns: a response, data or the end of the message.
        :raises AnswerBrokenError: if the answer ends early or is none.
        :raises AnswerLateError: if nothing came in time.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        event = self._next_event()
        while event is h11.NEED_DATA or _is_interim(event):
            if event is h11.NEED_DATA:
                self._read(until_ms - self._clock.now_ms())
            event = self._next_event()
        if isinstance(event, h11.ConnectionClosed):
            raise AnswerBrokenError('closed without an answer')
        return event

    def release(self) -> bool:
        """Make ready for another request after a whole answer.

        :returns: whether the connection can take one.
        """
        written = self._writer is None or self._writer.ready()
        trailing, closed = self._http.trailing_data
        if not written or trailing or closed or is_readable(self._socket):
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self._idle_since_ms = self._clock.now_ms()
        return True

    def note_keep_alive(self, seconds: int) -> None:
        """Note how long the endpoint keeps an idle connection.

        :param seconds: what it told.
        """
        self._keep_ms = seconds * MS_PER_S

    def close(self) -> None:
        """End the connection at once, so that the endpoint stops working."""
        if self._writer is not None:
            self._writer.kill(block=False)
        self._socket.close()

    def _encode(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
    ) -> bytes:
        request = h11.Request(method=method, target=target, headers=headers)
        pieces = [self._http.send(request)]
        if body:
            pieces.append(self._http.send(h11.Data(data=body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        return b''.join(filter(None, pieces))

    def _write(self, encoded: bytes) -> bool:
        try:
            self._socket.sendall(encoded)
        except OSError:
            return False
        return True

    def _next_event(self) -> h11.Event:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise AnswerBrokenError(str(error)) from error

    def _read(self, timeout_ms: int) -> None:
        until_ms = self._clock.now_ms() + timeout_ms
        received = None
        while received is None:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                raise AnswerLateError
            received = self._receive_within(min(left_ms, _WAIT_MS))
        try:
            self._http.receive_data(received)
        except h11.RemoteProtocolError as error:
            raise AnswerBrokenError(str(error)) from error

    def _receive_within(self, timeout_ms: int) -> bytes | None:
        self._socket.settimeout(timeout_ms / MS_PER_S)
        try:
            return self._socket.recv(_READ_BYTES)
        except TimeoutError as error:
            # One with a number is the kernel's: the machine is silent.
            if error.errno:
                raise AnswerBrokenError(str(error)) from error
            return None
        except OSError as error:
            raise AnswerBrokenError(str(error)) from error


def _is_interim(event: h11.Event) -> bool:
    return isinstance(event, h11.InformationalResponse)


def connect(
    endpoint: PoolEndpoint,
    clock: Clock,
    timeout_ms: int,
) -> EndpointConnection:
    """Open a connection.

    :param endpoint: the endpoint.
    :param clock: the time.
    :param timeout_ms: how long it may take.
    :returns: the connection.
    :raises NotConnectedError: if none came up.
    """
    bound_ms = max(1, min(timeout_ms, _CONNECT_MS))
    try:
        sock = socket.create_connection(
            (endpoint.host, endpoint.port),
            timeout=bound_ms / MS_PER_S,
        )
    except OSError as error:
        raise NotConnectedError(str(error)) from error
    return EndpointConnection(sock=sock, clock=clock)
