"""A TCP connection that carries messages."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, final

import gevent
from gevent.event import Event

from wingfall.clock import MS_PER_S
from wingfall.errors import WireError
from wingfall.tcp import send_all, set_no_delay
from wingfall.wire.codec import MAX_MESSAGE_BYTES, FrameDecoder, encode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.wire.message import Message

_READ_BYTES = 65_536
_MAX_QUEUED_BYTES = 67_108_864


@final
class Connection:
    """Sends and receives messages; sending never blocks the sender.

    What is queued is written by one greenlet, so that all messages of one
    turn of the loop leave in one system call.
    """

    __slots__ = (
        '_closed',
        '_decoder',
        '_fault',
        '_queued',
        '_queued_bytes',
        '_ready',
        '_socket',
        '_writer',
    )

    def __init__(self, *, sock: socket.socket) -> None:
        """Take over a connected socket.

        :param sock: the socket.
        """
        set_no_delay(sock)
        self._socket = sock
        self._decoder = FrameDecoder()
        self._queued: list[bytes] = []
        self._queued_bytes = 0
        self._ready = Event()
        self._closed = False
        self._fault = ''
        self._writer = gevent.spawn(self._write)

    @property
    def closed(self) -> bool:
        """Whether either side has ended the connection."""
        return self._closed

    @property
    def fault(self) -> str:
        """Why this side ended the connection, empty if nothing failed."""
        return self._fault

    @property
    def no_delay(self) -> bool:
        """Whether small messages leave at once."""
        level, option = socket.IPPROTO_TCP, socket.TCP_NODELAY
        return bool(self._socket.getsockopt(level, option))

    def allow_large(self) -> None:
        """Take messages of full size, once the peer has proved itself."""
        self._decoder.max_bytes = MAX_MESSAGE_BYTES

    def set_timeout(self, timeout_ms: int | None) -> None:
        """Bound the silence of the peer.

        :param timeout_ms: longest silence, None for no bound.
        """
        seconds = None if timeout_ms is None else timeout_ms / MS_PER_S
        self._socket.settimeout(seconds)

    def send(self, message: Message) -> None:
        """Queue a message; nothing happens on a closed connection.

        :param message: the message.
        """
        if not self._closed:
            self.send_frame(encode(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue an encoded message, which may go to many at once.

        :param frame: what :func:`wingfall.wire.codec.encode` made.
        """
        if self._closed:
            return
        self._queued.append(frame)
        self._queued_bytes += len(frame)
        if self._queued_bytes > _MAX_QUEUED_BYTES:
            self._fault = f'{self._queued_bytes} bytes are queued'
            self.close()
        self._ready.set()

    def receive(self) -> Iterator[Message]:
        """Receive until the connection ends.

        :yields: the messages in their order.
        :raises WireError: if the peer breaks the protocol or is silent.
        """
        yield from self._decoder.feed(b'')
        while not self._closed:
            try:
                received = self._socket.recv(_READ_BYTES)
            except TimeoutError as error:
                raise WireError('the peer is silent') from error
            except OSError as error:
                if not self._closed:
                    self._fault = f'receiving: {error}'
                return
            if not received:
                return
            yield from self._decoder.feed(received)

    def close(self) -> None:
        """End the connection; what is queued is dropped."""
        if self._closed:
            return
        self._closed = True
        self._ready.set()
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:  # The peer was first.
            self._queued.clear()
        self._socket.close()

    def finish(self, timeout_ms: int) -> None:
        """Write what is queued, then end the connection.

        :param timeout_ms: bound of the writing.
        """
        waited = gevent.Timeout.start_new(timeout_ms / MS_PER_S)
        try:
            while self._queued and not self._closed:
                gevent.sleep(1 / MS_PER_S)
        except gevent.Timeout as timeout:
            if timeout is not waited:
                raise
        finally:
            waited.close()
        self.close()

    def _write(self) -> None:
        while not self._closed:
            self._ready.wait()
            self._ready.clear()
            self._flush()

    def _flush(self) -> None:
        while self._queued and not self._closed:
            frames = b''.join(self._queued)
            batch = len(self._queued)
            try:
                send_all(self._socket, frames)
            except OSError as error:
                self._fault = f'sending {len(frames)} bytes: {error}'
                self.close()
                return
            self._queued = self._queued[batch:]
            self._queued_bytes -= len(frames)
