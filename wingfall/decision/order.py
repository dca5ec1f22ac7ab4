"""Which waiting request starts next, and which is shed for room.

The queues are small (tens of places) and a start is rare beside a token, so
plain scans over one list are used in place of heaps.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final, Protocol, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.decision.ticket import Ticket


class Order(Protocol):
    """What a waiting policy must do."""

    refuses_late: bool

    def __len__(self) -> int:
        """Count the waiting requests."""

    def __iter__(self) -> Iterator[Ticket]:
        """Go over the waiting requests."""

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a request and give the one that is shed for it, if any."""

    def pop(self, *, top_only: bool) -> Ticket | None:
        """Take the next request to start."""

    def remove(self, call_id: str) -> Ticket | None:
        """Take a request out."""

    def ahead_of(self, tier: int) -> int:
        """Count the requests that start before a new one of a tier."""

    def sharing(self) -> list[Ticket]:
        """List the requests in shared places."""


class OrderFactory(Protocol):
    """How an order is made."""

    def __call__(self, *, capacity: int) -> Order:
        """Make an order with a number of shared places."""


orders: Final[Registry[OrderFactory]] = Registry(kind='order')


class _Waiting:
    """The list that all orders share."""

    __slots__ = ('_capacity', '_tickets')

    def __init__(self, *, capacity: int) -> None:
        """Start empty.

        :param capacity: shared waiting places.
        """
        self._capacity = capacity
        self._tickets: list[Ticket] = []

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._tickets)

    def __iter__(self) -> Iterator[Ticket]:
        """Go over the waiting requests, oldest first."""
        return iter(self._tickets)

    def remove(self, call_id: str) -> Ticket | None:
        """Take a request out.

        :param call_id: id of its offer.
        :returns: the request, or None if it doesn't wait here.
        """
        for index, ticket in enumerate(self._tickets):
            if ticket.call_id == call_id:
                return self._tickets.pop(index)
        return None


@final
@orders.register('fifo')
class FifoOrder(_Waiting):
    """Baseline: first come, first served; the newest is shed."""

    __slots__ = ()
    refuses_late = False

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a request.

        :param ticket: the request.
        :returns: the same request if there is no place.
        """
        if len(self._tickets) >= self._capacity:
            return ticket
        self._tickets.append(ticket)
        return None

    def pop(self, *, top_only: bool) -> Ticket | None:
        """Take the oldest request.

        :param top_only: not heeded, this order knows no tiers.
        :returns: the request, or None if none waits.
        """
        return self._tickets.pop(0) if self._tickets else None

    def ahead_of(self, tier: int) -> int:
        """Count the requests before a new one.

        :param tier: not heeded.
        :returns: all that wait.
        """
        return len(self._tickets)

    def sharing(self) -> list[Ticket]:
        """List the requests in shared places.

        :returns: all that wait.
        """
        return list(self._tickets)


@final
@orders.register('tiered')
class TieredOrder(_Waiting):
    """Strict tiers over a floor of starts for each class.

    Each start gives every waiting class credit worth its share; a class with
    a whole credit goes first, so none starves. Otherwise the highest tier
    goes first; inside it the customer that has had least by its worth, then
    the request with least slack.
    """

    __slots__ = ('_credits', '_levels', '_served')
    refuses_late = True

    def __init__(self, *, capacity: int) -> None:
        """Start empty.

        :param capacity: shared waiting places.
        """
        super().__init__(capacity=capacity)
        self._credits: dict[str, float] = {}
        # Starts by worth, by tier and customer; the level of a tier is what
        # its last started customer had before.
        self._served: dict[tuple[int, str], float] = {}
        self._levels: dict[int, float] = {}

    def push(self, ticket: Ticket) -> Ticket | None:
        """Add a request.

        :param ticket: the request.
        :returns: the request that is shed for room, which may be this one;
            its tier is never above that of any other in a shared place.
        """
        self._join(ticket)
        self._tickets.append(ticket)
        sharing = self.sharing()
        if len(sharing) <= self._capacity:
            return None
        crowds = Counter(sharer.customer for sharer in sharing)
        victim = max(
            sharing,
            key=lambda sharer: (
                sharer.tier,
                crowds[sharer.customer] / sharer.worth,
                sharer.start_by_ms,
            ),
        )
        self._tickets.remove(victim)
        return victim

    def pop(self, *, top_only: bool) -> Ticket | None:
        """Take the next request to start.

        :param top_only: only tier 0 may start, for head-room.
        :returns: the request, or None if none may start.
        """
        eligible = [
            ticket for ticket in self._tickets if not (top_only and ticket.tier)
        ]
        if not eligible:
            return None
        chosen = self._floor(eligible) or self._by_tier(eligible)
        self._tickets.remove(chosen)
        self._charge(chosen)
        return chosen

    def ahead_of(self, tier: int) -> int:
        """Count the requests before a new one.

        :param tier: tier of the new one.
        :returns: those that wait in its tier and above.
        """
        return sum(ticket.tier <= tier for ticket in self._tickets)

    def sharing(self) -> list[Ticket]:
        """List the requests in shared places.

        :returns: all but the oldest of each class, which sit in its private
            places.
        """
        seated: Counter[str] = Counter()
        sharing: list[Ticket] = []
        for ticket in self._tickets:
            seated[ticket.class_name] += 1
            if seated[ticket.class_name] > ticket.private:
                sharing.append(ticket)
        return sharing

    def _floor(self, eligible: list[Ticket]) -> Ticket | None:
        shares = {ticket.class_name: ticket.share for ticket in self._tickets}
        scale = max(1, sum(shares.values()))
        self._credits = {
            name: self._credits.get(name, 0) + share / scale
            for name, share in shares.items()
        }
        owed = [
            ticket
            for ticket in eligible
            if self._credits[ticket.class_name] >= 1
        ]
        if not owed:
            return None
        return min(
            owed,
            key=lambda ticket: (
                -self._credits[ticket.class_name],
                ticket.start_by_ms,
            ),
        )

    def _by_tier(self, eligible: list[Ticket]) -> Ticket:
        return min(
            eligible,
            key=lambda ticket: (
                ticket.tier,
                self._served[ticket.tier, ticket.customer],
                ticket.start_by_ms,
            ),
        )

    def _join(self, ticket: Ticket) -> None:
        # One that was away starts level with those that waited.
        account = (ticket.tier, ticket.customer)
        level = self._levels.get(ticket.tier, 0)
        self._served[account] = max(level, self._served.get(account, 0))

    def _charge(self, chosen: Ticket) -> None:
        credit = self._credits[chosen.class_name]
        self._credits[chosen.class_name] = max(0, credit - 1)
        account = (chosen.tier, chosen.customer)
        level = self._served[account]
        self._levels[chosen.tier] = max(
            level,
            self._levels.get(chosen.tier, 0),
        )
        self._served[account] = level + 1 / chosen.worth
        self._forget()

    def _forget(self) -> None:
        # An account at its tier's level says no more than the level does.
        waiting = {(ticket.tier, ticket.customer) for ticket in self._tickets}
        self._served = {
            account: served
            for account, served in self._served.items()
            if account in waiting or served > self._levels.get(account[0], 0)
        }
