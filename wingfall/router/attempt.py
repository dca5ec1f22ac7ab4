"""One request's offers, and the call that comes of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from gevent.queue import SimpleQueue

from wingfall.wire.call_messages import Cancel, Run
from wingfall.wire.offer_messages import Offer, Withdraw

if TYPE_CHECKING:
    from collections.abc import Callable

    from wingfall.clock import Clock
    from wingfall.router.link import AgentLink
    from wingfall.router.request import Request
    from wingfall.wire.message import Message


@final
class Attempt:
    """Keeps track of which agents have an offer or the run of a request.

    Offers have ids of their own, so that a late answer to an earlier offer is
    never taken for one to a later offer.
    """

    __slots__ = (
        '_caller_left',
        '_clock',
        '_closed',
        '_gone',
        '_mailbox',
        '_offers',
        '_round',
        'members',
        'request',
        'running_on',
        'sent_to',
    )

    def __init__(
        self,
        *,
        request: Request,
        clock: Clock,
        gone: Callable[[], bool],
        closed: Callable[[Attempt], None],
    ) -> None:
        """Start without offers.

        :param request: the request.
        :param clock: the time.
        :param gone: tells whether the caller has left.
        :param closed: told once the attempt is over.
        """
        self.request = request
        self.members = b''
        self.running_on: AgentLink | None = None
        self.sent_to = ''
        self._clock = clock
        self._gone = gone
        self._closed = closed
        self._caller_left = False
        self._mailbox: SimpleQueue[Message | None] = SimpleQueue()
        self._offers: dict[str, AgentLink] = {}
        self._round = 0

    @property
    def offers(self) -> dict[str, AgentLink]:
        """Open offers by id."""
        return self._offers

    @property
    def caller_left(self) -> bool:
        """Whether nobody wants the answer any more."""
        return self._caller_left

    def offer(self, link: AgentLink, *, eager: bool) -> str:
        """Offer the request to an agent.

        :param link: the agent.
        :param eager: whether to send the run at once.
        :returns: id of the offer.
        """
        self._round += 1
        call_id = f'{self.request.request_id}.{self._round}'
        self._offers[call_id] = link
        link.open_call(call_id, self._mailbox)
        link.send(self._make_offer(call_id, eager=eager))
        if eager:
            self.run(call_id)
        return call_id

    def run(self, call_id: str) -> None:
        """Send the run to an agent that granted, and nowhere else.

        :param call_id: id of the offer.
        """
        link = self._offers[call_id]
        self.running_on = link
        self.sent_to = link.incarnation
        request = self.request
        link.send(
            Run(
                call_id=call_id,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                timeout_ms=max(1, self.left_ms()),
                priority=request.request_class.tier,
            ),
        )

    def withdraw_others(self, call_id: str) -> None:
        """Withdraw all offers but one.

        :param call_id: id of the offer to keep.
        """
        for other in list(self._offers):
            if other != call_id:
                self._offers[other].send(Withdraw(call_id=other))
                self.drop(other)

    def drop(self, call_id: str) -> None:
        """Forget an offer.

        :param call_id: id of the offer.
        """
        link = self._offers.pop(call_id, None)
        if link is not None:
            link.close_call(call_id)

    def close(self) -> None:
        """Withdraw or cancel whatever is still open, for good."""
        self.cancel()
        self._closed(self)

    def cancel(self) -> None:
        """Withdraw or cancel whatever is still open."""
        for call_id, link in list(self._offers.items()):
            started = link is self.running_on
            ending = Cancel if started else Withdraw
            link.send(ending(call_id=call_id))
            self.drop(call_id)

    def left_ms(self) -> int:
        """Tell how much time the caller leaves.

        :returns: milliseconds, negative when it is over.
        """
        return self.request.deadline_ms - self._clock.now_ms()

    def receive(self) -> Message | None:
        """Wait for the next message of an open offer.

        :returns: the message, or None when the time is over or the caller
            has left.
        """
        while self.left_ms() > 0 and not self._caller_left:
            message = self._mailbox.get()
            if message is not None and self._is_open(message):
                return message
        return None

    def look_for_caller(self) -> bool:
        """Look whether the caller has left.

        :returns: whether it has.
        """
        self._caller_left = self._caller_left or self._gone()
        return self._caller_left

    def wake(self) -> None:
        """End a wait that is in vain."""
        self._mailbox.put(None)

    def take_now(self) -> Message | None:
        """Take the next message if there is one already.

        :returns: the message, or None.
        """
        while not self._mailbox.empty():
            message = self._mailbox.get_nowait()
            if message is not None and self._is_open(message):
                return message
        return None

    def _is_open(self, message: Message) -> bool:
        return getattr(message, 'call_id', '') in self._offers

    def _make_offer(self, call_id: str, *, eager: bool) -> Offer:
        request = self.request
        terms = request.request_class
        waited_ms = self._clock.now_ms() - request.arrived_ms
        return Offer(
            call_id=call_id,
            class_name=terms.name,
            tier=terms.tier,
            customer=request.customer.name,
            worth=request.customer.worth,
            share=terms.share,
            private=terms.private,
            first_left_ms=_left(terms.target.first_token_ms, waited_ms),
            complete_left_ms=_left(terms.target.complete_ms, waited_ms),
            expires_ms=max(0, request.timeout_ms - waited_ms),
            eager=eager,
            first_token_ms=terms.target.first_token_ms or 0,
            token_gap_ms=terms.target.token_gap_ms or 0,
            key=request.key,
            digest=request.digest() if request.key else b'',
            home=request.home_name if request.key else '',
            members=self.members,
        )


def _left(target_ms: int | None, waited_ms: int) -> int:
    # None is sent as 0, so a target that is missed already is sent as 1.
    if target_ms is None:
        return 0
    return max(1, target_ms - waited_ms)
