"""What an agent does with the messages of one router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, Final, final

from wingfall.decision.ticket import Ticket
from wingfall.log import part_logger
from wingfall.wire.messages import (
    Ack,
    Cancel,
    Message,
    Offer,
    Refused,
    Resume,
    Run,
    Withdraw,
    Withdrawn,
)
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from wingfall.agent.admission import Admission
    from wingfall.agent.calls import CallTable
    from wingfall.clock import Clock
    from wingfall.wire.connection import Connection

_Receiver = Callable[['Session', Any], None]
_RECEIVERS: Final[dict[type[Message], _Receiver]] = {}

logger = part_logger('agent.session')


def _receives(kind: type[Message]) -> Callable[[_Receiver], _Receiver]:
    def decorate(receiver: _Receiver) -> _Receiver:
        _RECEIVERS[kind] = receiver
        return receiver

    return decorate


@final
class Session:
    """Serves one connection of a router."""

    __slots__ = ('_admission', '_calls', '_clock', 'connection', 'router')

    def __init__(
        self,
        *,
        router: str,
        connection: Connection,
        clock: Clock,
        admission: Admission,
        calls: CallTable,
    ) -> None:
        """Set up a session.

        :param router: name of the router.
        :param connection: its proved connection.
        :param clock: the time.
        :param admission: decides about offers.
        :param calls: runs the calls.
        """
        self.router = router
        self.connection = connection
        self._clock = clock
        self._admission = admission
        self._calls = calls

    def serve(self) -> None:
        """Serve until the connection ends.

        :raises WireError: if the router breaks the protocol.
        """
        for message in self.connection.receive():
            receiver = _RECEIVERS.get(type(message))
            if receiver is None:
                logger.warning('Ignored a %s.', type(message).__name__)
                continue
            receiver(self, message)

    @_receives(Offer)
    def _offer(self, offer: Offer) -> None:
        now_ms = self._clock.now_ms()
        slack_ms = self._admission.estimates.slack_ms(
            offer.class_name,
            first_left_ms=offer.first_left_ms,
            complete_left_ms=offer.complete_left_ms,
        )
        start_within_ms = offer.expires_ms if slack_ms is None else slack_ms
        ticket = Ticket(
            call_id=offer.call_id,
            class_name=offer.class_name,
            tier=offer.tier,
            customer=offer.customer,
            worth=offer.worth,
            share=offer.share,
            private=offer.private,
            queued_ms=now_ms,
            start_by_ms=now_ms + start_within_ms,
            expires_ms=now_ms + offer.expires_ms,
            owner=self.router,
            first_token_ms=offer.first_token_ms,
            token_gap_ms=offer.token_gap_ms,
        )
        self._admission.offer(ticket, eager=offer.eager)

    @_receives(Run)
    def _run(self, run: Run) -> None:
        ticket = self._admission.start(run.call_id)
        if ticket is None:
            self._refuse_unknown(run.call_id)
        else:
            self._calls.start(run, ticket, self.connection)

    @_receives(Withdraw)
    def _withdraw(self, withdraw: Withdraw) -> None:
        if self._admission.withdraw(withdraw.call_id):
            self.connection.send(Withdrawn(call_id=withdraw.call_id))

    @_receives(Ack)
    def _ack(self, ack: Ack) -> None:
        call = self._calls.find(ack.call_id)
        if call is not None and call.owner == self.router:
            call.ack(ack.offset)

    @_receives(Cancel)
    def _cancel(self, cancel: Cancel) -> None:
        call = self._calls.find(cancel.call_id)
        if call is not None and call.owner == self.router:
            self._calls.cancel(cancel.call_id)

    @_receives(Resume)
    def _resume(self, resume: Resume) -> None:
        call = self._calls.find(resume.call_id)
        owned = call is not None and call.owner == self.router
        if not (owned and call.resume(self.connection, resume.offset)):
            self._refuse_unknown(resume.call_id)

    def _refuse_unknown(self, call_id: str) -> None:
        self.connection.send(
            Refused(
                call_id=call_id,
                reason=RefusalReason.unknown_call,
                retry_after_ms=0,
            ),
        )
