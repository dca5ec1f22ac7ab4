"""Writes a long request to an endpoint while its answer is read.

An endpoint may read slowly, or answer and read on. Therefore no time limit
applies to the write but the deadline of the call.
"""

from __future__ import annotations

from socket import SHUT_RDWR
from typing import TYPE_CHECKING, Callable, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.window_watch import WindowWatch
from wingfall.tcp import count_unconfirmed, reset

if TYPE_CHECKING:
    import socket

    from gevent import Greenlet

    from wingfall.clock import Clock
    from wingfall.memory_portion import Reservation

# Maximum interval of the checks how much the endpoint has confirmed.
_MAX_CHECK_INTERVAL_MS: Final = 250
_TIME_IS_OVER: Final = 'the time of the call is over'
# Bytes of a body that are copied behind the head: those of most prompts.
_FIRST_BODY_BYTES: Final = 65_536
# First interval: some round trips between availability zones.
_MIN_CHECK_INTERVAL_MS: Final = 20


@final
class IncompleteRequest:
    """A request that an endpoint did not receive whole."""

    __slots__ = ('confirmed_bytes', 'elapsed_ms', 'reason', 'total_bytes')

    def __init__(
        self,
        *,
        confirmed_bytes: int,
        total_bytes: int,
        elapsed_ms: int,
        reason: str,
    ) -> None:
        """Initialize the description.

        :param confirmed_bytes: bytes that the endpoint's VM confirmed.
        :param total_bytes: bytes of the request with its head.
        :param elapsed_ms: milliseconds since the write began.
        :param reason: why the write ended.
        """
        self.confirmed_bytes = confirmed_bytes
        self.total_bytes = total_bytes
        self.elapsed_ms = elapsed_ms
        self.reason = reason


@final
class RequestWriter:
    """Writes one request and observes how much of it was delivered."""

    __slots__ = (
        '_check_interval_ms',
        '_clock',
        '_confirmed_bytes',
        '_greenlet',
        '_is_closing',
        '_is_running',
        '_on_incomplete',
        '_pieces',
        '_progress_ms',
        '_socket',
        '_started_ms',
        '_total_bytes',
        '_window_watch',
        '_written_bytes',
        'deadline_ms',
        'failure',
    )

    def __init__(
        self,
        *,
        sock: socket.socket,
        clock: Clock,
        head: bytes,
        body: bytes,
        deadline_ms: int,
        on_incomplete: Callable[[IncompleteRequest], None] | None,
        memory: Reservation | None,
    ) -> None:
        """Start to write.

        :param sock: socket of the connection.
        :param clock: clock of this gateway.
        :param head: the encoded head of the request.
        :param body: its body.
        :param deadline_ms: time of the clock in milliseconds at which the
            write is given up.
        :param on_incomplete: called if the endpoint won't receive the whole
            request, None if nobody needs to know.
        :param memory: memory of the body, kept until the write ends; None if
            none is reserved.
        """
        self._socket = sock
        self._clock = clock
        # The head goes out with the first bytes of the body. The rest is not
        # copied, as it may be megabytes.
        self._pieces = [
            memoryview(head + body[:_FIRST_BODY_BYTES]),
            memoryview(body)[_FIRST_BODY_BYTES:],
        ]
        self._total_bytes = len(head) + len(body)
        self.deadline_ms = deadline_ms
        self._on_incomplete = on_incomplete
        self._written_bytes = 0
        self._confirmed_bytes = 0
        self._check_interval_ms = _MIN_CHECK_INTERVAL_MS
        self._started_ms = clock.now_ms()
        # When more bytes were last found confirmed.
        self._progress_ms = self._started_ms
        self._window_watch = WindowWatch(
            sock=sock, interval_ms=_MAX_CHECK_INTERVAL_MS
        )
        # Whether the socket is closed when the write ends.
        self._is_closing = False
        self._is_running = True
        # The error of the connection that ended the write, empty for none.
        self.failure = ''
        self._greenlet: Greenlet | None = gevent.spawn(self._run)
        if memory is not None:
            memory.keep()
            # Also called if the greenlet ends before it runs.
            self._greenlet.rawlink(lambda _greenlet: memory.release())

    @property
    def is_delivered(self) -> bool:
        """Whether the endpoint's VM had confirmed it at the last check."""
        return self._confirmed_bytes == self._total_bytes

    @property
    def delivery_ms(self) -> int:
        """Milliseconds from the start until bytes were last confirmed."""
        return self._progress_ms - self._started_ms

    def check(self) -> bool:
        """Check how much of the request was delivered; the socket is open.

        :returns: whether the endpoint's VM has confirmed all of it.
        """
        confirmed_bytes = self._written_bytes - count_unconfirmed(self._socket)
        if confirmed_bytes > self._confirmed_bytes:
            self._confirmed_bytes = confirmed_bytes
            self._progress_ms = self._clock.now_ms()
        return self.is_delivered

    def stop(self, reason: str) -> None:
        """Stop the write, before the socket is closed.

        :param reason: why, in case the request is incomplete.
        """
        if not self._is_running:
            return
        self._is_running = False
        if self.check():
            self._window_watch.note_progress()
        elif self._clock.now_ms() < self.deadline_ms:
            self._report(reason)
        else:
            self._report(_TIME_IS_OVER)
        greenlet = self._greenlet
        # The exception that ends it refers to this writer, which would keep the
        # body as garbage.
        self._greenlet = None
        if greenlet is not None:
            greenlet.kill(block=False)

    def close_when_delivered(self) -> None:
        """Close the socket when the write ends, by itself or the deadline."""
        self._is_closing = True
        if not self._is_running:
            self._close()

    def _run(self) -> None:
        reason = self._deliver()
        if not self._is_running:
            return
        self._is_running = False
        if reason:
            self._report(reason)
        if self._is_closing:
            self._close()

    def _deliver(self) -> str:
        try:
            while self._clock.now_ms() < self.deadline_ms:
                if self._advance():
                    return ''
        except OSError as error:
            self.failure = str(error)
            self._end_connection()
            return self.failure
        return _TIME_IS_OVER

    def _advance(self) -> bool:
        confirmed_bytes = self._confirmed_bytes
        if self._written_bytes == self._total_bytes:
            gevent.sleep(self._check_interval_ms / MS_PER_S)
            self._check_interval_ms = _MAX_CHECK_INTERVAL_MS
        else:
            self._write()
        is_delivered = self.check()
        if self._confirmed_bytes > confirmed_bytes:
            self._window_watch.note_progress()
        elif not is_delivered:
            self._window_watch.check()
        return is_delivered

    def _write(self) -> None:
        # The socket's own timeout is that of the reader.
        timeout_s = _MAX_CHECK_INTERVAL_MS / MS_PER_S
        try:
            sent_bytes = self._socket.send(self._pieces[0], 0, timeout_s)
        except TimeoutError as error:
            # An errno means that the kernel found the VM unresponsive.
            if error.errno:
                raise
            return
        self._written_bytes += sent_bytes
        self._pieces[0] = self._pieces[0][sent_bytes:]
        if not self._pieces[0]:
            self._pieces.pop(0)

    def _report(self, reason: str) -> None:
        if self._on_incomplete is None:
            return
        self._on_incomplete(
            IncompleteRequest(
                confirmed_bytes=self._confirmed_bytes,
                total_bytes=self._total_bytes,
                elapsed_ms=self._clock.now_ms() - self._started_ms,
                reason=reason,
            )
        )

    def _end_connection(self) -> None:
        # The reader still gets the bytes of an answer that has come.
        try:
            self._socket.shutdown(SHUT_RDWR)
        except OSError:  # The connection has ended by itself.
            return

    def _close(self) -> None:
        if self.is_delivered:
            self._socket.close()
        else:
            reset(self._socket)
