"""Reception of the body of a request, within memory, size and time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

import gevent
import h11
from returns.result import Failure, Result, Success

from wingfall.gateway.callers.caller_memory import SHORT_BODY_BYTES
from wingfall.gateway.callers.request_memory import find_urgency
from wingfall.gateway.callers.request_reader import RequestTimeoutError
from wingfall.gateway.calls.intake import find_terms
from wingfall.gateway.model.request_body import BodyReader
from wingfall.gateway.rules.admission.refusals import (
    refuse_large_body,
    refuse_short_memory,
    refuse_slow_body,
)

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.callers.request_memory import RequestMemory
    from wingfall.gateway.callers.request_reader import RequestReader
    from wingfall.gateway.calls.reply import EventWriter
    from wingfall.gateway.model.call import CallHead
    from wingfall.gateway.model.request_body import RequestBody
    from wingfall.gateway.model.routes import CallerLimits
    from wingfall.gateway.state import GatewayState

# Time limit of a whole body: the longest time of a call that has no deadline of
# its own.
_BODY_TIMEOUT_MS: Final = 30_000
# While other bodies wait, a body is given up if what arrives of it in this time
# is too little to be whole in time; for one of unknown length, less than this
# many bytes.
_PROGRESS_MS: Final = 1500
_PROGRESS_BYTES: Final = 8192
# Pieces of a body that are taken without a turn of the loop.
_PIECES_IN_A_ROW: Final = 64
_LENGTH: Final = b'content-length'
_ENCODING: Final = b'transfer-encoding'


@final
class BodyReception:
    """Receives the bodies of the requests of one connection."""

    __slots__ = (
        '_http',
        '_limits',
        '_memory',
        '_pieces',
        '_reader',
        '_state',
        '_write',
    )

    def __init__(
        self,
        *,
        http: h11.Connection,
        reader: RequestReader,
        memory: RequestMemory,
        state: GatewayState,
        limits: Callable[[], CallerLimits],
        write: EventWriter,
    ) -> None:
        """Create the reception of a connection.

        :param http: HTTP protocol state of the connection.
        :param reader: reads from the connection.
        :param memory: memory of the requests of the connection.
        :param state: state of the gateway.
        :param limits: returns the current limits.
        :param write: sends HTTP events to the caller.
        """
        self._http = http
        self._pieces = 0
        self._reader = reader
        self._memory = memory
        self._state = state
        self._limits = limits
        self._write = write

    def receive(
        self, request: h11.Request, head: CallHead
    ) -> Result[RequestBody, Refusal]:
        """Receive a body; its memory stays reserved.

        :param request: head of the request.
        :param head: the same without what only the connection needs.
        :returns: the whole body, or why the request is refused.
        :raises RequestTimeoutError: if the body did not arrive in time.
        :raises WaitingCallerGoneError: if the caller disconnected while the
            body waited.
        """
        length = _find_length(request)
        refusal = self._refuse_by_head(head, length)
        if refusal is not None:
            return Failure(refusal)
        # What was read behind the head is held as well. A body in chunks that
        # turns out to be long reserves the maximum.
        least_bytes = SHORT_BODY_BYTES if length is None else length
        held_bytes = max(least_bytes, self._reader.received_bytes)
        if not self._reserve(head, held_bytes):
            return Failure(self._refuse_unread(head))
        received = self._read(head, length)
        if length is None and isinstance(received, Success):
            self._memory.shrink(len(received.unwrap().payload))
        return received

    @property
    def _max_bytes(self) -> int:
        return min(self._limits().body_bytes, self._memory.max_body_bytes)

    def _refuse_by_head(
        self, head: CallHead, length: int | None
    ) -> Refusal | None:
        # A long body that is refused anyway takes no memory of others.
        if length is None or length <= SHORT_BODY_BYTES:
            return None
        if length > self._max_bytes:
            return refuse_large_body()
        terms = find_terms(self._state.routes, head)
        return None if isinstance(terms, Success) else terms.failure()

    def _reserve(self, head: CallHead, body_bytes: int) -> bool:
        return self._memory.reserve(
            body_bytes, lambda: find_urgency(self._state.routes, head)
        )

    def _refuse_unread(self, head: CallHead) -> Refusal:
        urgency = find_urgency(self._state.routes, head)
        return refuse_short_memory(urgency.left_ms)

    def _read(
        self, head: CallHead, length: int | None
    ) -> Result[RequestBody, Refusal]:
        body = BodyReader()
        progress = Progress(now_ms=self._state.clock.now_ms(), length=length)
        event = self._next_event()
        while event is h11.NEED_DATA or isinstance(event, h11.Data):
            if isinstance(event, h11.Data):
                body.add(event.data)
            elif not self._read_more(progress, body.size):
                return Failure(refuse_slow_body())
            refusal = self._cover(head, body.size) if length is None else None
            if refusal is not None:
                return Failure(refusal)
            event = self._next_event()
        return Success(body.finish())

    def _cover(self, head: CallHead, size: int) -> Refusal | None:
        max_bytes = self._max_bytes
        if size > max_bytes:
            return refuse_large_body()
        if self._memory.covers(size) or self._reserve(head, max_bytes):
            return None
        return self._refuse_unread(head)

    def _next_event(self) -> h11.Event:
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        self._pieces += 1
        if self._pieces % _PIECES_IN_A_ROW == 0:
            gevent.sleep(0)
        return self._http.next_event()

    def _read_more(self, progress: Progress, size: int) -> bool:
        while not self._read_until(progress):
            now_ms = self._state.clock.now_ms()
            if self._memory.is_awaited and not progress.is_enough(now_ms, size):
                return False
            progress.restart(now_ms, size)
        return True

    def _read_until(self, progress: Progress) -> bool:
        try:
            self._reader.read(progress.check_ms)
        except RequestTimeoutError:
            if self._state.clock.now_ms() >= progress.deadline_ms:
                raise
            return False
        return True


@final
class Progress:
    """Bytes of a body that arrive in a limited time."""

    __slots__ = ('_length', '_size', '_started_ms', 'check_ms', 'deadline_ms')

    def __init__(self, *, now_ms: int, length: int | None) -> None:
        """Begin at a body without bytes.

        :param now_ms: time of the clock in milliseconds.
        :param length: bytes of the whole body, None if that is unknown.
        """
        self._length = length
        # When the body must be whole.
        self.deadline_ms = now_ms + _BODY_TIMEOUT_MS
        self.restart(now_ms, 0)

    def restart(self, now_ms: int, size: int) -> None:
        """Begin a new interval.

        :param now_ms: time of the clock in milliseconds.
        :param size: bytes of the body so far.
        """
        self._started_ms = now_ms
        # End of the interval.
        self.check_ms = min(now_ms + _PROGRESS_MS, self.deadline_ms)
        self._size = size

    def is_enough(self, now_ms: int, size: int) -> bool:
        """Check if enough bytes arrived in this interval.

        :param now_ms: time of the clock in milliseconds.
        :param size: bytes of the body so far.
        :returns: whether enough arrived to be whole in time at this rate.
        """
        arrived = size - self._size
        if self._length is None:
            return arrived >= _PROGRESS_BYTES
        missing = self._length - size
        elapsed_ms = now_ms - self._started_ms
        remaining_ms = self.deadline_ms - now_ms
        return arrived * remaining_ms >= missing * elapsed_ms


def _find_length(request: h11.Request) -> int | None:
    """Return the length of a body, None if it comes in chunks."""
    length = 0
    for name, text in request.headers:
        if name == _ENCODING:
            return None
        if name == _LENGTH:
            length = int(text)
    return length
