"""What an agent admits to its endpoint: slots, grants and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.decision.estimate import RunEstimates
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.decision.limit import Limit
    from wingfall.decision.order import Order
    from wingfall.decision.slots import Slots
    from wingfall.decision.ticket import Ticket

# Part of a new run in the mean. Ten runs settle it.
_SMOOTHING: Final = 0.1
# Milliseconds of a run before the first has ended.
_FIRST_RUN_MS: Final = 200
# Milliseconds after which a refused caller may come back at the soonest.
_MIN_RETRY_MS: Final = 1000


@final
class Verdict:
    """What the gate decided about one ticket."""

    __slots__ = ('reason', 'retry_after_ms', 'ticket')

    def __init__(
        self,
        *,
        ticket: Ticket,
        reason: RefusalReason | None = None,
        retry_after_ms: int = 0,
    ) -> None:
        """Decide.

        :param ticket: the ticket.
        :param reason: why it is refused, None if it is granted.
        :param retry_after_ms: estimate of when there is room.
        """
        self.ticket = ticket
        self.reason = reason
        self.retry_after_ms = retry_after_ms


@final
class Gate:
    """Counts the slots of one endpoint and alone gives them out.

    A slot is granted to a ticket, held until the run comes or the grant
    lapses, and free again when the call has ended. Every method that can free
    or fill a slot returns the verdicts that follow.
    """

    __slots__ = (
        '_clock',
        '_estimates',
        '_headroom',
        '_inversions',
        '_leaving',
        '_limit',
        '_mean_run_ms',
        '_order',
        '_slots',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        order: Order,
        slots: Slots,
        limit: Limit,
        headroom: int,
    ) -> None:
        """Set up a gate with all slots free.

        :param clock: the time.
        :param order: the waiting policy.
        :param slots: the slots, all free.
        :param limit: how many of them may be used.
        :param headroom: slots that only tier 0 may take.
        """
        self._clock = clock
        self._order = order
        self._limit = limit
        self._headroom = headroom
        self._inversions = 0
        self._slots = slots
        self._estimates = RunEstimates()
        self._mean_run_ms: float = _FIRST_RUN_MS
        self._leaving = False

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._limit.slots

    @property
    def headroom(self) -> int:
        """Slots that only tier 0 may take, never the last one."""
        return min(self._headroom, self.limit - 1)

    @property
    def inversions(self) -> int:
        """Requests shed while one of a lower tier kept a shared place."""
        return self._inversions

    @property
    def in_use(self) -> int:
        """Slots that run a call or are granted."""
        return self._slots.in_use

    @property
    def waiting(self) -> int:
        """Offers that wait."""
        return len(self._order)

    @property
    def mean_run_ms(self) -> int:
        """Smoothed time of a finished call."""
        return int(self._mean_run_ms)

    @property
    def estimates(self) -> RunEstimates:
        """Run times by class."""
        return self._estimates

    @property
    def leaving(self) -> bool:
        """Whether new work is refused."""
        return self._leaving

    def offer(self, ticket: Ticket, *, eager: bool) -> list[Verdict]:
        """Consider an offer.

        :param ticket: the offer.
        :param eager: whether it must start at once or not at all.
        :returns: the verdicts, none for this ticket if it waits.
        """
        if self._leaving:
            return [self._refuse(ticket, RefusalReason.leaving)]
        if eager:
            return [self._offer_eager(ticket)]
        if self._can_start(ticket):
            return [self._grant(ticket)]
        if self._is_hopeless(ticket):
            return [self._refuse(ticket, RefusalReason.too_late)]
        shed = self._order.push(ticket)
        self._note_shed(shed)
        verdicts = self._fill()
        if shed is ticket:
            verdicts.append(self._refuse(shed, RefusalReason.queue_full))
        elif shed is not None:
            verdicts.append(self._refuse(shed, RefusalReason.shed))
        return verdicts

    def start(self, call_id: str) -> Ticket | None:
        """Turn a grant into a running call.

        :param call_id: id of the offer.
        :returns: its ticket, or None if no slot is held for it.
        """
        return self._slots.start(call_id)

    def finish(self, call_id: str, *, whole: bool) -> list[Verdict]:
        """Free the slot of a running call.

        :param call_id: id of the offer.
        :param whole: whether the answer was whole, so that its time counts.
        :returns: the verdicts that follow.
        """
        finished = self._slots.finish(call_id)
        if finished is None:
            return []
        if whole:
            run_ms = self._clock.now_ms() - finished.since_ms
            self._estimates.note_run(finished.ticket.class_name, run_ms)
            self._mean_run_ms += (run_ms - self._mean_run_ms) * _SMOOTHING
        return self._fill()

    def withdraw(self, call_id: str) -> tuple[bool, list[Verdict]]:
        """Take an offer or grant back.

        :param call_id: id of the offer.
        :returns: False if the call runs, and the verdicts that follow.
        """
        if self._slots.runs(call_id):
            return False, []
        self._order.remove(call_id)
        self._slots.drop(call_id)
        return True, self._fill()

    def drop_owner(self, owner: str) -> list[Verdict]:
        """Take back all that a lost router has not started.

        :param owner: the router.
        :returns: the verdicts that follow for others.
        """
        for ticket in list(self._order):
            if ticket.owner == owner:
                self._order.remove(ticket.call_id)
        self._slots.drop_owner(owner)
        return self._fill()

    def tick(self) -> list[Verdict]:
        """Let grants lapse and refuse what can't be met any more.

        :returns: the verdicts that follow.
        """
        now_ms = self._clock.now_ms()
        self._limit.adjust(in_use=self.in_use)
        verdicts = [
            self._refuse(ticket, RefusalReason.grant_lapsed)
            for ticket in self._slots.lapse()
        ]
        for ticket in list(self._order):
            if self._last_start_ms(ticket) <= now_ms:
                self._order.remove(ticket.call_id)
                verdicts.append(self._refuse(ticket, RefusalReason.too_late))
        return verdicts + self._fill()

    def leave(self) -> list[Verdict]:
        """Take no new work from now on; grants and calls are kept.

        :returns: refusals of all that wait.
        """
        self._leaving = True
        tickets = list(self._order)
        for ticket in tickets:
            self._order.remove(ticket.call_id)
        return [
            self._refuse(ticket, RefusalReason.leaving) for ticket in tickets
        ]

    def _offer_eager(self, ticket: Ticket) -> Verdict:
        if self._can_start(ticket):
            return self._grant(ticket)
        return self._refuse(ticket, RefusalReason.busy)

    def _last_start_ms(self, ticket: Ticket) -> int:
        if self._order.refuses_late:
            return min(ticket.start_by_ms, ticket.expires_ms)
        return ticket.expires_ms

    def _is_hopeless(self, ticket: Ticket) -> bool:
        if not self._order.refuses_late:
            return False
        starts_ms = ticket.queued_ms + self._wait_ms(ticket.tier)
        return starts_ms > ticket.start_by_ms

    def _note_shed(self, shed: Ticket | None) -> None:
        if shed is not None:
            self._inversions += any(
                kept.tier > shed.tier for kept in self._order.sharing()
            )

    def _can_start(self, ticket: Ticket) -> bool:
        reserve = self.headroom if ticket.tier else 0
        free = self.limit - self.in_use - reserve
        return free > 0 and not self._order.ahead_of(ticket.tier)

    def _fill(self) -> list[Verdict]:
        verdicts: list[Verdict] = []
        while self.in_use < self.limit and not self._leaving:
            free = self.limit - self.in_use
            ticket = self._order.pop(top_only=free <= self.headroom)
            if ticket is None:
                break
            verdicts.append(self._grant(ticket))
        return verdicts

    def _grant(self, ticket: Ticket) -> Verdict:
        self._slots.grant(ticket)
        return Verdict(ticket=ticket)

    def _refuse(self, ticket: Ticket, reason: RefusalReason) -> Verdict:
        return Verdict(
            ticket=ticket,
            reason=reason,
            retry_after_ms=max(_MIN_RETRY_MS, self._wait_ms(ticket.tier)),
        )

    def _wait_ms(self, tier: int) -> int:
        ahead = self._order.ahead_of(tier) + 1
        return int(ahead * self._mean_run_ms / self.limit)
