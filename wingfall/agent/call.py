"""One call that runs, or has run, at the endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from returns.result import Success

from wingfall.agent.answer import AnswerBuffer
from wingfall.errors import RunState
from wingfall.wire.call_messages import Chunk, End, Head
from wingfall.wire.offer_messages import Refused
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from wingfall.agent.endpoint_client import (
        EndpointAnswer,
        EndpointClient,
        EndpointFault,
    )
    from wingfall.agent.stopwatch import Stopwatch
    from wingfall.decision.keys import KeyedAnswer
    from wingfall.decision.ticket import Ticket
    from wingfall.wire.call_messages import Run
    from wingfall.wire.connection import Connection
    from wingfall.wire.message import Message

_RETRY_MS = 1000


@final
class Call:
    """Relays the endpoint's answer to the router that asked.

    The connection can be replaced while the call runs: what the router has
    not confirmed is sent again on the new one.
    """

    __slots__ = (
        '_buffer',
        '_connection',
        '_end',
        '_head',
        '_keyed',
        '_run',
        '_stopwatch',
        '_ticket',
        'orphaned_ms',
    )

    def __init__(
        self,
        *,
        run: Run,
        ticket: Ticket,
        connection: Connection,
        window: int,
        keyed: KeyedAnswer | None,
        stopwatch: Stopwatch,
    ) -> None:
        """Set up a call; :meth:`relay` starts it.

        :param run: the request.
        :param ticket: the granted offer.
        :param connection: connection to the router.
        :param window: bytes that may be unconfirmed.
        :param keyed: where the answer of an idempotency key is kept.
        :param stopwatch: notes the pace of the answer.
        """
        self._run = run
        self._stopwatch = stopwatch
        self._ticket = ticket
        self._keyed = keyed
        self.orphaned_ms: int | None = None
        self._connection: Connection | None = connection
        self._buffer = AnswerBuffer(window=window)
        self._head: Head | None = None
        self._end: End | Refused | None = None

    @property
    def call_id(self) -> str:
        """Id of the call."""
        return self._run.call_id

    @property
    def owner(self) -> str:
        """Name of the router that asked."""
        return self._ticket.owner

    @property
    def key(self) -> str:
        """Its idempotency key, empty for none."""
        return self._ticket.key

    @property
    def is_keyed(self) -> bool:
        """Whether this is the one run of an idempotency key."""
        return self._keyed is not None

    @property
    def ran(self) -> bool:
        """Whether the endpoint may have run it."""
        return not isinstance(self._end, Refused)

    @property
    def ended(self) -> bool:
        """Whether the endpoint is done with it."""
        return self._end is not None

    @property
    def whole(self) -> bool:
        """Whether it ended with the whole answer."""
        return isinstance(self._end, End) and not self._end.fault

    @property
    def length(self) -> int:
        """Bytes of the body so far."""
        return self._buffer.end

    def relay(self, client: EndpointClient) -> None:
        """Run the call to its end.

        :param client: the endpoint.
        """
        opened = client.open(self._run)
        if not isinstance(opened, Success):
            self._finish_with(opened.failure())
            return
        answer = opened.unwrap()
        try:
            self._relay_answer(answer)
        finally:
            if self.whole:
                answer.release()
            else:
                answer.close()

    def ack(self, offset: int) -> None:
        """Note what the router has passed on.

        :param offset: bytes confirmed.
        """
        self._buffer.ack(offset)

    def orphan(self, now_ms: int) -> None:
        """Note that the connection to the router is lost.

        :param now_ms: the time.
        """
        self._connection = None
        self.orphaned_ms = now_ms

    def resume(self, connection: Connection, offset: int) -> bool:
        """Go on over a new connection.

        :param connection: the new connection.
        :param offset: bytes that the router has.
        :returns: False if the bytes from there on are forgotten.
        """
        missed = self._buffer.read_from(offset)
        if missed is None:
            return False
        self._buffer.ack(offset)
        self._connection = connection
        self.orphaned_ms = None
        if self._head is not None:
            connection.send(self._head)
        if missed:
            chunk = Chunk(call_id=self.call_id, offset=offset, body=missed)
            connection.send(chunk)
        if self._end is not None:
            connection.send(self._end)
        return True

    def detach(self) -> None:
        """Go on without a router, only for the idempotency key."""
        self._connection = None
        self._buffer.open()

    def replay(self, held: KeyedAnswer) -> None:
        """Send a held answer.

        :param held: the answer of an earlier run of the key.
        """
        self._head = Head(
            call_id=self.call_id,
            status=held.status,
            headers=held.headers,
        )
        self._send(self._head)
        body = bytes(held.body)
        offset = self._buffer.append(body)
        self._send(Chunk(call_id=self.call_id, offset=offset, body=body))
        self._finish(End(call_id=self.call_id, length=self.length))

    def _relay_answer(self, answer: EndpointAnswer) -> None:
        headers = answer.headers
        self._head = Head(
            call_id=self.call_id,
            status=answer.status,
            headers=headers,
        )
        self._stopwatch.start(headers)
        if self._keyed is not None:
            self._keyed.begin(answer.status, headers)
        self._send(self._head)
        for piece in answer.pieces():
            if not isinstance(piece, Success):
                self._finish_with(piece.failure())
                return
            body = piece.unwrap()
            self._stopwatch.note(body)
            if self._keyed is not None:
                self._keyed.append(body)
            offset = self._buffer.append(body)
            self._send(Chunk(call_id=self.call_id, offset=offset, body=body))
            if not self._buffer.has_room:
                self._buffer.wait_room()
                self._stopwatch.skip()
        self._finish(End(call_id=self.call_id, length=self.length))

    def _finish_with(self, fault: EndpointFault) -> None:
        if fault.run is RunState.not_run:
            self._finish(
                Refused(
                    call_id=self.call_id,
                    reason=RefusalReason.endpoint_down,
                    retry_after_ms=_RETRY_MS,
                ),
            )
            return
        self._finish(
            End(
                call_id=self.call_id,
                length=self.length,
                run=fault.run,
                fault=fault.message,
            ),
        )

    def _finish(self, end: End | Refused) -> None:
        self._end = end
        self._send(end)

    def _send(self, message: Message) -> None:
        if self._connection is not None:
            self._connection.send(message)
