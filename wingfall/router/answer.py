"""The endpoint's answer on its way to the caller."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, final

from returns.result import Failure, Result, Success

from wingfall.errors import Refusal, RunState
from wingfall.log import part_logger
from wingfall.wire.call_messages import Ack, Chunk, End, Head, Resume
from wingfall.wire.offer_messages import Refused
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.router.attempt import Attempt
    from wingfall.wire.message import Message

_ACKS_PER_WINDOW = 4

logger = part_logger('router.answer')


@final
class Answer:
    """Reads one running call; follows it over a lost link."""

    __slots__ = (
        '_acked',
        '_ack_bytes',
        '_attempt',
        '_call_id',
        '_offset',
        '_resume_ms',
        'head',
    )

    def __init__(
        self,
        *,
        attempt: Attempt,
        call_id: str,
        window: int,
        resume_ms: int,
    ) -> None:
        """Read a call whose run was sent.

        :param attempt: the request's attempt.
        :param call_id: id of the offer that runs.
        :param window: bytes that the agent may leave unconfirmed.
        :param resume_ms: how long to wait for a lost link.
        """
        self._attempt = attempt
        self._call_id = call_id
        self._offset = 0
        self._acked = 0
        self._ack_bytes = window // _ACKS_PER_WINDOW
        self._resume_ms = resume_ms
        self.head: Head | None = None

    @property
    def endpoint(self) -> str:
        """Name of the endpoint that runs the call."""
        link = self._attempt.running_on
        return link.endpoint.name if link else ''

    def read_head(self) -> Result[Head, Refused | End | None]:
        """Wait for the head.

        :returns: the head; or how the call ended without one; or None when
            the time is over or the caller left.
        """
        while True:  # noqa: WPS457
            message = self._receive()
            if isinstance(message, Head):
                self.head = message
                return Success(message)
            if message is None or isinstance(message, (Refused, End)):
                return Failure(message)

    def pieces(self) -> Iterator[Result[bytes, Refusal]]:
        """Read the body.

        What has come by now is joined into one piece, so that a burst of
        tokens costs one write.

        :yields: bytes, then nothing if the body was whole, else the fault.
        """
        message = self._receive()
        while isinstance(message, (Chunk, Head)):
            joined: list[bytes] = []
            while isinstance(message, (Chunk, Head)):
                self._collect(message, joined)
                message = self._attempt.take_now()
            if joined:
                yield Success(b''.join(joined))
                self._confirm()
            if message is None or isinstance(message, Refused):
                message = self._follow(message)
        if not self._is_whole(message):
            yield Failure(self._fault(message))

    def close(self) -> None:
        """End the call; the agent forgets it, and stops it if it runs."""
        self._attempt.close()

    def _receive(self) -> Message | None:
        return self._follow(None)

    def _follow(self, message: Message | None) -> Message | None:
        # Passes over a lost link as long as the agent comes back in time.
        message = message or self._attempt.receive()
        while _link_lost(message) and self._resume():
            message = self._attempt.receive()
        return message

    def _resume(self) -> bool:
        link = self._attempt.running_on
        if link is None or not link.wait_up(self._resume_ms):
            return False
        logger.info('Call %s: resumed at %d.', self._call_id, self._offset)
        link.send(
            Resume(
                call_id=self._call_id,
                offset=self._offset,
                incarnation=self._attempt.sent_to,
            ),
        )
        return True

    def _collect(self, message: Message, joined: list[bytes]) -> None:
        if not isinstance(message, Chunk):
            return
        fresh = message.body
        if message.offset < self._offset:
            fresh = fresh[self._offset - message.offset :]
        joined.append(fresh)
        self._offset += len(fresh)

    def _confirm(self) -> None:
        if self._offset - self._acked < self._ack_bytes:
            return
        self._acked = self._offset
        link = self._attempt.running_on
        if link is not None:
            link.send(Ack(call_id=self._call_id, offset=self._offset))

    def _is_whole(self, message: Message | None) -> bool:
        if not isinstance(message, End) or message.fault:
            return False
        return message.length == self._offset

    def _fault(self, message: Message | None) -> Refusal:
        if message is None and self._attempt.left_ms() <= 0:
            return Refusal(
                status=http.HTTPStatus.GATEWAY_TIMEOUT,
                kind='timeout_error',
                code='timed_out',
                message='the answer was not whole in time',
                run=RunState.ran,
            )
        reason = message.fault if isinstance(message, End) else ''
        return Refusal(
            status=http.HTTPStatus.BAD_GATEWAY,
            kind='endpoint_error',
            code='endpoint_lost',
            message=reason or 'the endpoint was lost before its answer ended',
            run=RunState.ran,
        )


def _link_lost(message: Message | None) -> bool:
    if not isinstance(message, Refused):
        return False
    return message.reason == RefusalReason.link_down
