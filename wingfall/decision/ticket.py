"""An offer as an agent's queue sees it."""

from __future__ import annotations

from typing import final


@final
class Ticket:
    """One waiting request; all times are readings of the agent's clock."""

    __slots__ = (
        'call_id',
        'class_name',
        'customer',
        'digest',
        'expires_ms',
        'first_token_ms',
        'key',
        'owner',
        'private',
        'queued_ms',
        'share',
        'start_by_ms',
        'tier',
        'token_gap_ms',
        'worth',
    )

    def __init__(
        self,
        *,
        call_id: str,
        class_name: str,
        tier: int,
        customer: str,
        worth: float,
        share: float,
        private: int,
        queued_ms: int,
        start_by_ms: int,
        expires_ms: int,
        owner: str = '',
        first_token_ms: int = 0,
        token_gap_ms: int = 0,
        key: str = '',
        digest: bytes = b'',
    ) -> None:
        """Describe a waiting request.

        :param call_id: id of the offer.
        :param class_name: its class.
        :param tier: tier of the class, 0 is the highest.
        :param customer: who sent it.
        :param worth: weight of the customer.
        :param share: guaranteed share of starts of the class.
        :param private: private waiting places of the class.
        :param queued_ms: when it came.
        :param start_by_ms: latest start that meets the target.
        :param expires_ms: when its caller gives up.
        :param owner: the router that sent it.
        :param first_token_ms: target of the class, 0 for none.
        :param token_gap_ms: target of the class, 0 for none.
        :param key: idempotency key, empty for none.
        :param digest: digest of the request that the key stands for.
        """
        self.call_id = call_id
        self.class_name = class_name
        self.tier = tier
        self.customer = customer
        self.worth = worth
        self.share = share
        self.private = private
        self.queued_ms = queued_ms
        self.start_by_ms = start_by_ms
        self.expires_ms = expires_ms
        self.owner = owner
        self.first_token_ms = first_token_ms
        self.token_gap_ms = token_gap_ms
        self.key = key
        self.digest = digest
