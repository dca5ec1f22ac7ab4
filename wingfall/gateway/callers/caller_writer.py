"""Writes answers to a caller, in HTTP and within a time limit."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.clock import MS_PER_S
from wingfall.gateway.model.attempt_end import CallEndError

if TYPE_CHECKING:
    import socket

    import h11

    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.answer_buffer import AnswerMemory

# A caller that accepts no bytes for this time counts as disconnected. The
# timeout applies to each piece of a response: a timeout for the whole response
# cut off slow callers.
_TIMEOUT_MS: Final = 5000
# The same while other answers wait for memory.
_SHORT_TIMEOUT_MS: Final = 1500
# Interval of the checks if others wait.
_INTERVAL_S: Final = 0.5
# Bytes up to which the parts of an answer are copied to be sent together, and
# that are sent within one timeout.
_PIECE_BYTES: Final = 65_536


class CallerDisconnectedError(CallEndError):
    """The caller has closed the connection or accepts no more bytes."""


@final
class CallerWriter:
    """Encodes and sends the events of one connection."""

    __slots__ = ('_answers', '_clock', '_http', '_socket')

    def __init__(
        self,
        *,
        sock: socket.socket,
        http: h11.Connection,
        clock: Clock,
        answers: AnswerMemory,
    ) -> None:
        """Write nothing yet.

        :param sock: socket of the connection.
        :param http: HTTP protocol state of the connection.
        :param clock: clock of this gateway.
        :param answers: memory that long answers share.
        """
        self._socket = sock
        self._http = http
        self._clock = clock
        self._answers = answers

    def write(self, *events: h11.Event) -> None:
        """Send events to the caller.

        :param events: the events of HTTP.
        :raises CallerDisconnectedError: if the caller does not take them.
        """
        parts = list(filter(None, map(self._http.send, events)))
        if len(parts) > 1 and sum(map(len, parts)) <= _PIECE_BYTES:
            parts = [b''.join(parts)]
        try:
            for part in parts:
                self._send(part)
        except OSError as error:
            raise CallerDisconnectedError from error

    @property
    def _timeout_ms(self) -> int:
        return _SHORT_TIMEOUT_MS if self._answers.is_awaited else _TIMEOUT_MS

    def _send(self, part: bytes) -> None:
        if len(part) <= _PIECE_BYTES:
            self._socket.settimeout(_TIMEOUT_MS / MS_PER_S)
            self._socket.sendall(part)
            return
        view = memoryview(part)
        for start in range(0, len(view), _PIECE_BYTES):
            self._send_piece(view[start : start + _PIECE_BYTES])

    def _send_piece(self, piece: memoryview) -> None:
        started_ms = self._clock.now_ms()
        while piece:
            if self._clock.now_ms() - started_ms >= self._timeout_ms:
                raise TimeoutError
            piece = piece[self._send_some(piece) :]

    def _send_some(self, piece: memoryview) -> int:
        try:
            return self._socket.send(piece, 0, _INTERVAL_S)
        except TimeoutError as error:
            # An errno means that the kernel found the caller unresponsive.
            if error.errno:
                raise
            return 0
