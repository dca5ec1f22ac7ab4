"""Tickets for tests of the decisions."""

from __future__ import annotations

import itertools

from wingfall.decision.ticket import Ticket

_NUMBERS = itertools.count()


def make_ticket(
    tier: int = 1,
    class_name: str = '',
    *,
    customer: str = 'oslo',
    worth: float = 1,
    share: float = 0.02,
    private: int = 1,
    queued_ms: int = 1000,
    start_by_ms: int = 6000,
    expires_ms: int = 9000,
    owner: str = 'router',
) -> Ticket:
    """Make a ticket with an id of its own.

    :param tier: its tier.
    :param class_name: its class, by default one a tier.
    :param customer: who sent it.
    :param worth: weight of the customer.
    :param share: guaranteed share of the class.
    :param private: private places of the class.
    :param queued_ms: when it came.
    :param start_by_ms: latest useful start.
    :param expires_ms: when its caller gives up.
    :param owner: the router.
    :returns: the ticket.
    """
    return Ticket(
        call_id=f'call-{next(_NUMBERS)}',
        class_name=class_name or f'class-{tier}',
        tier=tier,
        customer=customer,
        worth=worth,
        share=share,
        private=private,
        queued_ms=queued_ms,
        start_by_ms=start_by_ms,
        expires_ms=expires_ms,
        owner=owner,
    )
