"""What an agent does with the messages of one router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, Final, final

from wingfall.decision.keys import KeyState
from wingfall.decision.ticket import Ticket
from wingfall.log import part_logger
from wingfall.wire.call_messages import Ack, Cancel, Resume, Run
from wingfall.wire.message import Message
from wingfall.wire.offer_messages import (
    Grant,
    HomeMembers,
    Offer,
    Refused,
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

_KEY_REASONS: Final = {
    KeyState.running: RefusalReason.key_in_use,
    KeyState.mismatch: RefusalReason.key_mismatch,
    KeyState.lost: RefusalReason.key_not_held,
    KeyState.too_old: RefusalReason.key_not_held,
}

logger = part_logger('agent.session')


def _receives(kind: type[Message]) -> Callable[[_Receiver], _Receiver]:
    def decorate(receiver: _Receiver) -> _Receiver:
        _RECEIVERS[kind] = receiver
        return receiver

    return decorate


@final
class Session:
    """Serves one connection of a router."""

    __slots__ = (
        '_admission',
        '_calls',
        '_clock',
        '_incarnation',
        '_replays',
        'connection',
        'router',
    )

    def __init__(
        self,
        *,
        router: str,
        connection: Connection,
        clock: Clock,
        admission: Admission,
        calls: CallTable,
        incarnation: str,
    ) -> None:
        """Set up a session.

        :param router: name of the router.
        :param connection: its proved connection.
        :param clock: the time.
        :param admission: decides about offers.
        :param calls: runs the calls.
        :param incarnation: that of this agent.
        """
        self.router = router
        self.connection = connection
        self._clock = clock
        self._admission = admission
        self._calls = calls
        self._incarnation = incarnation
        self._replays: dict[str, Ticket] = {}

    def serve(self) -> None:
        """Serve until the connection ends.

        :raises WireError: if the router breaks the protocol.
        """
        for message in self.connection.receive():
            if self.connection.closed:
                # Superseded: the router has asked again on another one.
                return
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
            key=offer.key,
            digest=offer.digest,
        )
        if offer.key:
            self._offer_keyed(offer, ticket)
        else:
            self._admission.offer(ticket, eager=offer.eager)

    @_receives(Run)
    def _run(self, run: Run) -> None:
        if run.call_id in self._replays:
            ticket = self._replays.pop(run.call_id)
            self._calls.replay(run, ticket, self.connection)
            return
        ticket = self._admission.start(run.call_id)
        if ticket is None:
            self._refuse(run.call_id, RefusalReason.unknown_call)
        elif not self._calls.start(run, ticket, self.connection):
            self._admission.finish(run.call_id, whole=False)
            self._refuse(run.call_id, RefusalReason.key_in_use)

    @_receives(Withdraw)
    def _withdraw(self, withdraw: Withdraw) -> None:
        self._replays.pop(withdraw.call_id, None)
        if self._admission.withdraw(withdraw.call_id):
            self.connection.send(Withdrawn(call_id=withdraw.call_id))

    @_receives(HomeMembers)
    def _home_members(self, told: HomeMembers) -> None:
        self._calls.keys.note_home(told.home, told.members)

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
        if owned and call.resume(self.connection, resume.offset):
            return
        # The connection that a run might still come on is closed by now, and
        # this agent knows all that it has started since it began.
        same = resume.incarnation == self._incarnation
        if same and not self._calls.was_started(resume.call_id):
            self._refuse(resume.call_id, RefusalReason.never_started)
        else:
            self._refuse(resume.call_id, RefusalReason.unknown_call)

    def _offer_keyed(self, offer: Offer, ticket: Ticket) -> None:
        state = self._calls.keys.look_up(
            offer.key,
            digest=offer.digest,
            home=offer.home,
            members=offer.members,
        )
        if state is KeyState.fresh:
            self._admission.offer(ticket, eager=offer.eager)
        elif state is KeyState.held:
            # The answer is there, so it takes no slot.
            self._replays[offer.call_id] = ticket
            self.connection.send(Grant(call_id=offer.call_id))
        else:
            self._refuse(offer.call_id, _KEY_REASONS[state])

    def _refuse(self, call_id: str, reason: RefusalReason) -> None:
        logger.info('Call %s: refused, %s.', call_id, reason)
        self.connection.send(
            Refused(call_id=call_id, reason=reason, retry_after_ms=0),
        )
