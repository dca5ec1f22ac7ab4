"""An HTTP server on gevent's WSGI server, with small answers sent at once."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any, Final, final

import gevent
from gevent.pool import Pool as GreenletPool
from gevent.pywsgi import Input, WSGIHandler, WSGIServer, headers_factory

from wingfall.clock import MS_PER_S
from wingfall.http_head import HeadFault, HeadFile, HeadTimeout
from wingfall.log import part_logger
from wingfall.tcp import listening_port, reset_on_close, set_no_delay

if TYPE_CHECKING:
    from types import SimpleNamespace

    from bottle import Bottle

SOCKET_KEY: Final = 'wingfall.socket'
_BACKLOG: Final = 1024
# Connections at a time to a port for operators or a load balancer.
_CONNECTIONS: Final = 64
# A server with fewer free places than one of so many is crowded.
_CROWDED_PART: Final = 2
# Milliseconds for the head of a request, and while the server is crowded.
_HEAD_MS: Final = 5000
_CROWDED_MS: Final = 1000
# Milliseconds that a connection without a request is kept after an answer.
_IDLE_MS: Final = 75_000
# Milliseconds for the answer of a port for operators or a load balancer.
_ANSWER_MS: Final = 10_000
# Milliseconds for the rest of a body that an answer left unread.
_REST_MS: Final = 30_000

logger = part_logger('http')


@final
class ServerLimits:
    """What the connections of a server may use."""

    __slots__ = ('answer_ms', 'connections', 'crowded_ms', 'head_ms', 'idle_ms')

    def __init__(
        self,
        *,
        connections: int = _CONNECTIONS,
        head_ms: int = _HEAD_MS,
        crowded_ms: int = _CROWDED_MS,
        idle_ms: int = _IDLE_MS,
        answer_ms: int | None = None,
    ) -> None:
        """Initialize the limits.

        :param connections: concurrent connections; others wait.
        :param head_ms: time for the head of a request.
        :param crowded_ms: the same while most of the connections are in use.
        :param idle_ms: time that a connection waits for its next request.
        :param answer_ms: time for an answer, None for any.
        """
        self.connections = connections
        self.head_ms = head_ms
        self.crowded_ms = crowded_ms
        self.idle_ms = idle_ms
        self.answer_ms = answer_ms


# Limits of a port for operators or a load balancer.
SMALL_PORT: Final = ServerLimits(answer_ms=_ANSWER_MS)


@final
class _Body:
    """The body of a request, of which a rest is not awaited without end."""

    __slots__ = ('_body', 'is_left')

    def __init__(self, body: Input) -> None:
        """Take over a body.

        :param body: gevent's file of it.
        """
        self._body = body
        # Whether a rest is left unread, behind which no request can be read.
        self.is_left = False

    def _discard(self) -> None:  # gevent's name for what it calls.
        self.is_left = True
        with gevent.Timeout(_REST_MS / MS_PER_S, False):  # noqa: WPS425
            self._body._discard()  # noqa: SLF001, WPS437
            self.is_left = False


@final
class _CallerHandler(WSGIHandler):
    """Turns Nagle's algorithm off and shows the socket to the application."""

    def __init__(self, sock: socket.socket, *rest: Any, **named: Any) -> None:
        """Take over an accepted connection.

        :param sock: its socket.
        :param rest: passed on to gevent.
        :param named: passed on to gevent.
        """
        set_no_delay(sock)
        super().__init__(sock, *rest, **named)
        self._is_kept = False

    def read_requestline(self) -> str:
        """Read the first line of a request.

        :returns: the line, empty if none came in time.
        """
        # The request may be there already, which is read without a turn of the
        # loop.
        gevent.sleep(0)
        limits = self.server.limits
        wait_ms = limits.idle_ms if self._is_kept else self.server.head_ms
        self._is_kept = True
        with gevent.Timeout(wait_ms / MS_PER_S, False):  # noqa: WPS425
            return super().read_requestline()
        return ''

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of a head.

        :param raw_requestline: its first line.
        :returns: whether it is valid.
        """
        with gevent.Timeout(self.server.head_ms / MS_PER_S, HeadTimeout()):
            return super().read_request(raw_requestline)

    def MessageClass(self, head: Any, *rest: Any) -> Any:  # noqa: N802
        """Read the header fields.

        :param head: file of the connection.
        :param rest: passed on to gevent.
        :returns: the fields.
        """
        return headers_factory(HeadFile(head, len(self.requestline)), *rest)

    def get_environ(self) -> dict[str, Any]:
        """Make the WSGI environment.

        :returns: the environment with the caller's socket in it.
        """
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        self.wsgi_input = _Body(self.wsgi_input)
        if self.server.closed or self.server.is_crowded:
            self.close_connection = True
        return environ

    def finalize_headers(self) -> None:
        """Complete the fields of an answer, with the end of a connection."""
        super().finalize_headers()
        names = {name.lower() for name, _field in self.response_headers}
        if self.close_connection and b'connection' not in names:
            self.response_headers.append((b'Connection', b'close'))

    def handle_one_response(self) -> None:
        """Answer one request, counted from its head to its last byte."""
        answer_ms = self.server.limits.answer_ms
        timer = gevent.get_hub().loop.timer((answer_ms or 0) / MS_PER_S)
        if answer_ms:
            timer.start(self._break_off)
        self.server.active += 1
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1
            timer.close()
        if self.wsgi_input.is_left:
            self.close_connection = True

    def handle_error(self, *error: Any) -> None:
        """Log an error, and break off the answer that it cuts.

        To a caller without chunks, the end of the connection is the end of the
        answer.

        :param error: type, value and traceback of the exception.
        """
        super().handle_error(*error)
        is_cut = self.response_length and not self.response_use_chunked
        if is_cut and self.socket.fileno() >= 0:
            reset_on_close(self.socket)

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        answer = super()._handle_client_error(error)
        return error.answer if isinstance(error, HeadFault) else answer

    def _break_off(self) -> None:
        # What waits to read or write goes on with an error.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def _sendall(self, data: bytes) -> None:  # noqa: WPS110
        # gevent's own asks the kernel for a buffer size before each write;
        # most writes here are small and go out whole.
        try:
            sent = self.socket.send(data)
        except OSError as error:
            self.status = f'socket error: {error}'
            raise
        if sent < len(data):
            super()._sendall(memoryview(data)[sent:])
        self.response_length += sent


@final
class _Server(WSGIServer):
    """Counts the requests in flight and bounds the connections."""

    active = 0

    def __init__(self, *, limits: ServerLimits, **named: Any) -> None:
        """Create a server that doesn't listen yet.

        :param limits: what its connections may use.
        :param named: passed on to gevent.
        """
        self.limits = limits
        super().__init__(spawn=GreenletPool(limits.connections), **named)

    @property
    def is_crowded(self) -> bool:
        """Whether new callers may soon find no free connection."""
        free = self.pool.free_count()
        return bool(free * _CROWDED_PART < self.limits.connections)

    @property
    def head_ms(self) -> int:
        """Milliseconds for the head of a request that begins now."""
        limits = self.limits
        return limits.crowded_ms if self.is_crowded else limits.head_ms


@final
class HttpServer:
    """Serves a bottle application."""

    __slots__ = ('_server',)

    def __init__(
        self,
        *,
        app: Bottle,
        address: SimpleNamespace,
        limits: ServerLimits = SMALL_PORT,
    ) -> None:
        """Create a server that doesn't listen yet.

        :param app: the application.
        :param address: ``host`` and ``port`` of the settings.
        :param limits: what its connections may use.
        """
        self._server = _Server(
            limits=limits,
            listener=(address.host, address.port),
            application=app,
            log=None,
            error_log=logger,
            handler_class=_CallerHandler,
            backlog=_BACKLOG,
            # Otherwise gevent looks up the name of the address, which lasts
            # many seconds if no name server answers.
            environ={'SERVER_NAME': address.host},
        )

    @property
    def port(self) -> int:
        """The port in use, 0 while there is none."""
        return listening_port(self._server)

    @property
    def active(self) -> int:
        """Requests whose answer is not written to its end."""
        return self._server.active

    def start(self) -> None:
        """Bind the address and accept connections from now on.

        :raises OSError: if the address can't be bound.
        """
        self._server.start()

    def stop_accepting(self) -> None:
        """Take no new connections; those that are open go on."""
        self._server.close()

    def stop(self) -> None:
        """End all connections."""
        self._server.stop(timeout=0)
