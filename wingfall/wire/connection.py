"""A TCP connection that carries messages."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, final

import gevent
from gevent.event import Event

from wingfall.clock import MS_PER_S
from wingfall.errors import WireError
from wingfall.log import part_logger
from wingfall.memory_portion import MemoryPortion
from wingfall.tcp import send_all, set_no_delay
from wingfall.wire.codec import (
    MAX_HANDSHAKE_BYTES,
    MAX_MESSAGE_BYTES,
    FrameDecoder,
    encode,
)
from wingfall.wire.send_queues import SendQueues

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.wire.message import Message

_READ_BYTES = 65_536
# Bytes of a message that each connection may hold by itself.
_OWN_BYTES = 65_536
# Bytes of the long messages that all connections receive together: one of full
# size, and others beside it.
_SHARED_BYTES = 6_291_456
# Maximum connections whose messages wait for memory; more than there are peers.
_MAX_WAITERS = 10_000
# Time for which a long message waits for memory.
_MEMORY_WAIT_MS = 1000
# Messages that are received without a turn of the loop.
_MESSAGES_IN_A_ROW = 64
# Bytes of short messages that are joined to leave together.
_BATCH_BYTES = 65_536
# The queues of connections that are given no others.
_PROCESS_QUEUES = SendQueues()

logger = part_logger('wire')


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
        '_memory',
        '_queued',
        '_queued_bytes',
        '_queues',
        '_ready',
        '_reserved_bytes',
        '_socket',
        '_writer',
    )

    def __init__(
        self,
        *,
        sock: socket.socket,
        max_bytes: int = MAX_HANDSHAKE_BYTES,
        memory: MemoryPortion | None = None,
        queues: SendQueues | None = None,
    ) -> None:
        """Take over a connected socket.

        :param sock: the socket.
        :param max_bytes: largest message until :meth:`allow_large`.
        :param memory: memory that the long messages of all connections share,
            None for no bound.
        :param queues: bound what all connections have queued, None for those
            of the process.
        """
        set_no_delay(sock)
        self._socket = sock
        self._decoder = FrameDecoder(max_bytes=max_bytes)
        self._memory = memory
        self._reserved_bytes = 0
        self._queued: list[bytes] = []
        self._queued_bytes = 0
        self._queues = queues or _PROCESS_QUEUES
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
    def queued_bytes(self) -> int:
        """Bytes that wait to be sent."""
        return self._queued_bytes

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
        self._ready.set()
        self._queues.add(self, len(frame))

    def give_up(self, reason: str) -> None:
        """End the connection, and drop what is queued.

        :param reason: why, as the fault of this side.
        """
        self._fault = reason
        self.close()

    def receive(self) -> Iterator[Message]:
        """Receive until the connection ends.

        :yields: the messages in their order.
        :raises WireError: if the peer breaks the protocol or is silent.
        """
        yield from self._decode(b'')
        try:
            while not self._closed:
                self._reserve()
                received = self._read()
                if not received:
                    return
                yield from self._decode(received)
        finally:
            self._release()

    def close(self) -> None:
        """End the connection; what is queued is dropped."""
        if self._closed:
            return
        self._closed = True
        self._ready.set()
        self._drop(len(self._queued))
        with contextlib.suppress(OSError):  # The peer was first.
            self._socket.shutdown(socket.SHUT_RDWR)
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

    def _decode(self, received: bytes) -> Iterator[Message]:
        messages = self._decoder.feed(received)
        for number, message in enumerate(messages, 1):
            message.check_elements()
            yield message
            if number % _MESSAGES_IN_A_ROW == 0:
                gevent.sleep(0)

    def _read(self) -> bytes:
        try:
            return self._socket.recv(_READ_BYTES)
        except TimeoutError as error:
            raise WireError('the peer is silent') from error
        except OSError as error:
            if not self._closed:
                self._fault = f'receiving: {error}'
            return b''

    def _reserve(self) -> None:
        # A long message has its whole memory before the rest of it is read.
        size = self._decoder.frame_bytes
        if self._memory is None or size == self._reserved_bytes:
            return
        self._release()
        if size <= _OWN_BYTES:
            return
        if not self._memory.reserve_within(
            size, _MEMORY_WAIT_MS, lambda: self._closed
        ):
            raise WireError('there is no memory for a message')
        self._reserved_bytes = size

    def _release(self) -> None:
        if self._memory is not None and self._reserved_bytes:
            self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _write(self) -> None:
        try:
            self._write_all()
        except Exception as error:
            # Nobody would write what is queued from now on.
            logger.exception('A connection can not be written.')
            self._fault = f'sending: {error!r}'
            self.close()

    def _write_all(self) -> None:
        while not self._closed:
            self._ready.wait()
            self._ready.clear()
            self._flush()

    def _flush(self) -> None:
        while self._queued and not self._closed:
            batch = self._count_batch()
            frames = b''.join(self._queued[:batch])
            try:
                send_all(self._socket, frames)
            except OSError as error:
                self._fault = self._fault or (
                    f'sending {len(frames)} bytes: {error}'
                )
                self.close()
                return
            # A close meanwhile has dropped them.
            if not self._closed:
                self._drop(batch)

    def _count_batch(self) -> int:
        # Joined, all of a long queue would take its memory twice.
        size = 0
        for number, frame in enumerate(self._queued):
            size += len(frame)
            if size > _BATCH_BYTES:
                return number or 1
        return len(self._queued)

    def _drop(self, count: int) -> None:
        size = sum(map(len, self._queued[:count]))
        self._queued = self._queued[count:]
        self._queued_bytes -= size
        self._queues.remove(self, size)


def make_message_memory() -> MemoryPortion:
    """Create the memory that the long messages of all connections share.

    :returns: memory of which nothing is reserved.
    """
    return MemoryPortion(total_bytes=_SHARED_BYTES, max_waiters=_MAX_WAITERS)
