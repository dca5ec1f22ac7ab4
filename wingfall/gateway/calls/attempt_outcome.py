"""Time limits and outcome of an attempt, and the answers that a call holds."""

from __future__ import annotations

import functools
import http
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.endpoints.answer_buffer import (
    MAX_ANSWER_BYTES,
    AnswerBuffer,
)
from wingfall.gateway.model.attempt_end import AttemptEnd

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.answer_buffer import AnswerMemory
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndlessAnswerError,
    )
    from wingfall.gateway.model.call import Headers


_MIN_ERROR_STATUS: Final = http.HTTPStatus.BAD_REQUEST
# An answer waits for memory for this fraction of the time that its call has
# left, but not longer than the maximum.
_WAIT_DIVISOR: Final = 2
_MAX_WAIT_MS: Final = 2000


@final
class BufferedAnswer:
    """A complete answer, buffered in memory."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Create an answer.

        :param status: the HTTP status.
        :param headers: the headers to send to the caller.
        :param body: the complete body.
        """
        self.status = status
        self.headers = headers
        self.body = body


@final
class AttemptOutcome:
    """The end of an attempt, with the buffered answer if there is one."""

    __slots__ = (
        'answer',
        'end',
        'endless',
        'is_abandoned',
        'is_empty_stream',
        'is_fault',
        'reason',
    )

    def __init__(
        self,
        *,
        end: AttemptEnd,
        answer: BufferedAnswer | None = None,
        reason: str = '',
        is_abandoned: bool = False,
        is_empty_stream: bool = False,
        is_fault: bool = False,
        endless: EndlessAnswerError | None = None,
    ) -> None:
        """Create an outcome.

        :param end: the kind of end.
        :param answer: an answer that may be relayed and was not yet.
        :param reason: the observed cause, for logs.
        :param is_abandoned: whether this side, not the endpoint, gave up.
        :param is_empty_stream: whether the endpoint had no event left to send.
        :param is_fault: whether an exception ended the attempt that may come
            from the request, or from this program, as well.
        :param endless: the bound that the answer exceeded, None if it did not.
        """
        self.end = end
        self.answer = answer
        self.reason = reason
        self.is_abandoned = is_abandoned
        self.is_empty_stream = is_empty_stream
        self.is_fault = is_fault
        self.endless = endless

    @property
    def succeeded(self) -> bool:
        """Whether the endpoint has run the request successfully.

        A failed answer doesn't prove a run: an endpoint may fail requests
        without reading them, and one without an event left runs nothing.
        """
        if self.end is not AttemptEnd.answered or self.is_empty_stream:
            return False
        return self.answer is None or self.answer.status < _MIN_ERROR_STATUS


@final
class AttemptLimits:
    """Deadlines of an attempt."""

    __slots__ = ('deadline_ms', 'first_byte_ms')

    def __init__(self, *, deadline_ms: int, first_byte_ms: int) -> None:
        """Create the limits, both times of the clock in milliseconds.

        :param deadline_ms: deadline of the call.
        :param first_byte_ms: deadline of the first byte of the answer, if the
            request is delivered at once; later by the time that this takes.
        """
        self.deadline_ms = deadline_ms
        self.first_byte_ms = first_byte_ms


@final
class CallAnswers:
    """Answers of one call, whose memory is held until the caller has one."""

    __slots__ = ('_buffers', '_clock', '_deadline_ms')

    def __init__(self, *, deadline_ms: int, clock: Clock) -> None:
        """Create no buffer yet.

        :param deadline_ms: time of the clock in milliseconds at which the
            answer is due.
        :param clock: clock of this gateway.
        """
        self._deadline_ms = deadline_ms
        self._clock = clock
        self._buffers: list[AnswerBuffer] = []

    def make_buffer(self, memory: AnswerMemory) -> AnswerBuffer:
        """Create a buffer for an answer.

        :param memory: memory that the answers of all calls share.
        :returns: the empty buffer.
        """
        buffer = AnswerBuffer(
            memory=memory,
            max_bytes=MAX_ANSWER_BYTES,
            get_wait_ms=functools.partial(
                _find_wait_ms, self._clock, self._deadline_ms
            ),
        )
        self._buffers.append(buffer)
        return buffer

    def release(self) -> None:
        """Release the memory of all answers, at the end of the call."""
        for buffer in self._buffers:
            buffer.release()


def _find_wait_ms(clock: Clock, deadline_ms: int) -> int:
    left_ms = deadline_ms - clock.now_ms()
    return min(left_ms // _WAIT_DIVISOR, _MAX_WAIT_MS)
