"""The slots of an endpoint: granted or running."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.decision.ticket import Ticket


@final
class Occupant:
    """A ticket that has a slot, and since when."""

    __slots__ = ('since_ms', 'ticket')

    def __init__(self, *, ticket: Ticket, since_ms: int) -> None:
        """Give a slot.

        :param ticket: the ticket.
        :param since_ms: when it was granted, or started.
        """
        self.ticket = ticket
        self.since_ms = since_ms


@final
class Slots:
    """Counts grants and running calls; knows no limit."""

    __slots__ = ('_clock', '_grant_ms', '_grants', '_running')

    def __init__(self, *, clock: Clock, grant_ms: int) -> None:
        """Start with all slots free.

        :param clock: the time.
        :param grant_ms: how long a granted slot is held.
        """
        self._clock = clock
        self._grant_ms = grant_ms
        self._grants: dict[str, Occupant] = {}
        self._running: dict[str, Occupant] = {}

    @property
    def in_use(self) -> int:
        """Slots that run a call or are granted."""
        return len(self._running) + len(self._grants)

    def grant(self, ticket: Ticket) -> None:
        """Hold a slot.

        :param ticket: who gets it.
        """
        now_ms = self._clock.now_ms()
        occupant = Occupant(ticket=ticket, since_ms=now_ms)
        self._grants[ticket.call_id] = occupant

    def start(self, call_id: str) -> Ticket | None:
        """Turn a grant into a running call.

        :param call_id: id of the offer.
        :returns: its ticket, or None if no slot is held for it.
        """
        granted = self._grants.pop(call_id, None)
        if granted is None:
            return None
        granted.since_ms = self._clock.now_ms()
        self._running[call_id] = granted
        return granted.ticket

    def finish(self, call_id: str) -> Occupant | None:
        """Free the slot of a running call.

        :param call_id: id of the offer.
        :returns: who had it, or None if the call doesn't run.
        """
        return self._running.pop(call_id, None)

    def runs(self, call_id: str) -> bool:
        """Tell whether a call runs.

        :param call_id: id of the offer.
        :returns: whether it does.
        """
        return call_id in self._running

    def drop(self, call_id: str) -> None:
        """Free a granted slot.

        :param call_id: id of the offer.
        """
        self._grants.pop(call_id, None)

    def drop_owner(self, owner: str) -> None:
        """Free the granted slots of a router.

        :param owner: the router.
        """
        for call_id, granted in list(self._grants.items()):
            if granted.ticket.owner == owner:
                self.drop(call_id)

    def lapse(self) -> list[Ticket]:
        """Free the slots whose run has not come in time.

        :returns: the tickets that had them.
        """
        oldest_ms = self._clock.now_ms() - self._grant_ms
        lapsed = [
            granted.ticket
            for granted in self._grants.values()
            if granted.since_ms <= oldest_ms
        ]
        for ticket in lapsed:
            self.drop(ticket.call_id)
        return lapsed
