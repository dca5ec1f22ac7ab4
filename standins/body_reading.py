"""How an endpoint stand-in reads the bodies of requests.

An endpoint may read slowly, pause, or answer before it has read a body.
"""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING, Final, final

import gevent
import h11

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from standins.pool_server import Run

_READ_BYTES: Final = 65_536
# Reads a second of a slow endpoint.
_SLOW_READS_PER_S: Final = 20


class EarlyAnswer(enum.StrEnum):
    """What an endpoint answers before it has read the body."""

    none = ''
    error = 'error'  # An error of its own, 409; the request has run.
    shed = 'shed'  # 503, the request has not run.
    foreign = 'foreign'  # 421, the request has not run.
    whole = 'whole'  # The answer that it would give after the body.


def body_of(call_id: str, length: int) -> bytes:
    """Create a body that shows at each place to which request it belongs.

    :param call_id: id of the request.
    :param length: bytes of the body.
    :returns: the body.
    """
    word = f'{call_id}.'.encode()
    return (word * (length // len(word) + 1))[:length]


@final
class BodyReading:
    """How fast an endpoint reads bodies, and whether it answers before."""

    def __init__(self) -> None:
        """Read at full speed and answer after the body."""
        # Bytes a second, 0 for as many as there are.
        self.bytes_per_s = 0
        # Seconds without a read, once so many bytes of a body were read.
        self.pause_s: float = 0
        self.pause_after_bytes = 0
        # Shorter bodies are read at full speed and answered after.
        self.least_bytes = 1
        self.early = EarlyAnswer.none
        # Seconds from the head of the request to an early answer.
        self.early_after_s: float = 0
        # All requests with a body, also those that did not run.
        self.requests: list[Run] = []

    def answers_early(self, run: Run) -> bool:
        """Tell whether a request is answered before its body was read.

        :param run: the request.
        :returns: whether it is.
        """
        return bool(self.early) and run.length >= self.least_bytes

    def read(self, sock: socket.socket, http: h11.Connection, run: Run) -> bool:
        """Read the body of a request whose head was read.

        :param sock: the socket of the connection.
        :param http: protocol state of the connection.
        :param run: the request, which gets the body.
        :returns: whether the body came whole.
        """
        pieces: list[bytes] = []
        sizes = self._read_sizes(run)
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(sock.recv(next(sizes)))
                elif isinstance(event, h11.Data):
                    pieces.append(bytes(event.data))
                else:
                    return isinstance(event, h11.EndOfMessage)
        finally:
            run.body = b''.join(pieces)

    def _read_sizes(self, run: Run) -> Iterator[int]:
        """Wait before each read as is due, and yield its most bytes."""
        if run.length < self.least_bytes:
            yield from itertools.repeat(_READ_BYTES)
        first_reads = self.pause_after_bytes // _READ_BYTES
        yield from itertools.repeat(_READ_BYTES, first_reads)
        gevent.sleep(self.pause_s)
        slow_bytes = self.bytes_per_s // _SLOW_READS_PER_S
        for size in itertools.repeat(slow_bytes or _READ_BYTES):
            yield size
            gevent.sleep(1 / _SLOW_READS_PER_S if slow_bytes else 0)
