"""Carries out what the gate decides: sends, logs and counts it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, final

from wingfall.log import part_logger
from wingfall.wire.offer_messages import Grant, Refused
from wingfall.wire.reasons import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wingfall.clock import Clock
    from wingfall.decision.estimate import RunEstimates
    from wingfall.decision.gate import Gate, Verdict
    from wingfall.decision.ticket import Ticket
    from wingfall.metrics import Metrics
    from wingfall.wire.connection import Connection

logger = part_logger('agent.admission')


class OpenSession(Protocol):
    """A router's session, as far as verdicts are sent there."""

    connection: Connection


@final
class Admission:
    """The one place that changes the gate."""

    __slots__ = ('_clock', '_gate', '_metrics', '_sessions')

    def __init__(
        self,
        *,
        clock: Clock,
        gate: Gate,
        sessions: Mapping[str, OpenSession],
        metrics: Metrics,
    ) -> None:
        """Set up admission.

        :param clock: the time.
        :param gate: the decisions.
        :param sessions: the open sessions by router.
        :param metrics: where decisions are counted.
        """
        self._clock = clock
        self._gate = gate
        self._sessions = sessions
        self._metrics = metrics

    @property
    def estimates(self) -> RunEstimates:
        """Run times by class."""
        return self._gate.estimates

    def offer(self, ticket: Ticket, *, eager: bool) -> None:
        """Consider an offer.

        :param ticket: the offer.
        :param eager: whether it must start at once or not at all.
        """
        self._carry_out(self._gate.offer(ticket, eager=eager))

    def start(self, call_id: str) -> Ticket | None:
        """Start a granted call.

        :param call_id: its id.
        :returns: its ticket, or None if no slot was held for it.
        """
        ticket = self._gate.start(call_id)
        if ticket is None:
            return None
        wait_ms = self._clock.now_ms() - ticket.queued_ms
        self._metrics.wait_ms.observe({'tier': str(ticket.tier)}, wait_ms)
        return ticket

    def finish(self, call_id: str, *, whole: bool) -> None:
        """Free the slot of a call.

        :param call_id: its id.
        :param whole: whether the answer was whole.
        """
        self._carry_out(self._gate.finish(call_id, whole=whole))

    def withdraw(self, call_id: str) -> bool:
        """Take an offer back.

        :param call_id: its id.
        :returns: False if the call runs.
        """
        withdrawn, verdicts = self._gate.withdraw(call_id)
        self._carry_out(verdicts)
        return withdrawn

    def drop_router(self, router: str) -> None:
        """Forget the offers of a lost router.

        :param router: its name.
        """
        self._carry_out(self._gate.drop_owner(router))

    def tick(self) -> None:
        """Refuse what is too late, and show the state in the metrics."""
        self._carry_out(self._gate.tick())
        self._metrics.queue_length.set({}, self._gate.waiting)
        self._metrics.running.set({}, self._gate.in_use)
        self._metrics.limit.set({}, self._gate.limit)
        self._metrics.inversions.set({}, self._gate.inversions)

    def leave(self) -> None:
        """Take no new work from now on."""
        self._carry_out(self._gate.leave())

    def _carry_out(self, verdicts: Iterable[Verdict]) -> None:
        for verdict in verdicts:
            self._log(verdict)
            session = self._sessions.get(verdict.ticket.owner)
            if session is None:
                continue
            if verdict.reason is None:
                session.connection.send(Grant(call_id=verdict.ticket.call_id))
                continue
            session.connection.send(
                Refused(
                    call_id=verdict.ticket.call_id,
                    reason=verdict.reason,
                    retry_after_ms=verdict.retry_after_ms,
                ),
            )

    def _log(self, verdict: Verdict) -> None:
        ticket = verdict.ticket
        reason = verdict.reason or 'granted'
        logger.info(
            'Call %s class %s tier %d: %s after %d ms, %d of %d slots used.',
            ticket.call_id,
            ticket.class_name,
            ticket.tier,
            reason,
            self._clock.now_ms() - ticket.queued_ms,
            self._gate.in_use,
            self._gate.limit,
        )
        self._metrics.decisions.inc({'part': 'agent', 'reason': reason})
        if verdict.reason is RefusalReason.shed:
            self._metrics.shed.inc({'tier': str(ticket.tier)})
