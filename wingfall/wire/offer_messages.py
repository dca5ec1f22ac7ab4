"""The messages by which routers and agents agree on a slot."""

from __future__ import annotations

from typing import Final, final

from wingfall.wire.message import Message, message

_NUMBER: Final = (int, float)
# Fields of an offer: the terms of the class, then times and targets.
_TERMS: Final = (str, str, int, str, _NUMBER, _NUMBER, int)
_TARGETS: Final = (int, int, int, bool, int, int)


@final
@message(4, int, int, int, int, int, bool, int, int, int)
class Report(Message):
    """State of an agent, sent now and then and as the heartbeat."""

    __slots__ = (
        'limit',
        'running',
        'waiting',
        'mean_run_ms',
        'config_version',
        'leaving',
        'headroom',
        'token_gap_us',
        'first_token_ms',
    )

    def __init__(
        self,
        *,
        limit: int,
        running: int,
        waiting: int,
        mean_run_ms: int,
        config_version: int,
        leaving: bool,
        headroom: int = 0,
        token_gap_us: int = 0,
        first_token_ms: int = 0,
    ) -> None:
        """Report the load.

        :param limit: calls that may run at once.
        :param running: calls that run or hold a slot.
        :param waiting: offers that wait.
        :param mean_run_ms: mean time of a finished call.
        :param config_version: highest configuration the agent has seen.
        :param leaving: whether it takes no new work.
        :param headroom: slots of the limit that only tier 0 may take.
        :param token_gap_us: smoothed microseconds between two tokens.
        :param first_token_ms: smoothed time to a first token, uncached.
        """
        self.limit = limit
        self.running = running
        self.waiting = waiting
        self.mean_run_ms = mean_run_ms
        self.config_version = config_version
        self.leaving = leaving
        self.headroom = headroom
        self.token_gap_us = token_gap_us
        self.first_token_ms = first_token_ms


@final
@message(17, str, bytes)
class HomeMembers(Message):
    """Which endpoints share the idempotency keys of a home."""

    __slots__ = ('home', 'members')

    def __init__(self, *, home: str, members: bytes) -> None:
        """Tell the members.

        :param home: what the keys are homed by.
        :param members: digest of the endpoints.
        """
        self.home = home
        self.members = members


@final
@message(5, *_TERMS, *_TARGETS, str, bytes, str, bytes)
class Offer(Message):
    """Ask for a slot; carries all that an agent must know of the class."""

    __slots__ = (
        'call_id',
        'class_name',
        'tier',
        'customer',
        'worth',
        'share',
        'private',
        'first_left_ms',
        'complete_left_ms',
        'expires_ms',
        'eager',
        'first_token_ms',
        'token_gap_ms',
        'key',
        'digest',
        'home',
        'members',
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
        first_left_ms: int,
        complete_left_ms: int,
        expires_ms: int,
        eager: bool = False,
        first_token_ms: int = 0,
        token_gap_ms: int = 0,
        key: str = '',
        digest: bytes = b'',
        home: str = '',
        members: bytes = b'',
    ) -> None:
        """Offer a call.

        :param call_id: id of the call, unique in the site.
        :param class_name: its class.
        :param tier: tier of the class, 0 is the highest.
        :param customer: who sent it.
        :param worth: weight of the customer.
        :param share: guaranteed share of starts of the class.
        :param private: private waiting places of the class.
        :param first_left_ms: time left to the first token, 0 for no target.
        :param complete_left_ms: time left to the end, 0 for no target.
        :param expires_ms: time left until the caller is refused.
        :param eager: whether run follows at once, without a grant.
        :param first_token_ms: target of the class, 0 for none.
        :param token_gap_ms: target of the class, 0 for none.
        :param key: idempotency key, empty for none.
        :param digest: digest of the request that the key stands for.
        :param home: what the key is homed by.
        :param members: digest of the endpoints that share such keys.
        """
        self.call_id = call_id
        self.class_name = class_name
        self.tier = tier
        self.customer = customer
        self.worth = worth
        self.share = share
        self.private = private
        self.first_left_ms = first_left_ms
        self.complete_left_ms = complete_left_ms
        self.expires_ms = expires_ms
        self.eager = eager
        self.first_token_ms = first_token_ms
        self.token_gap_ms = token_gap_ms
        self.key = key
        self.digest = digest
        self.home = home
        self.members = members


@final
@message(6, str)
class Grant(Message):
    """A slot is held for the call until run or withdraw comes."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Grant a slot.

        :param call_id: the call.
        """
        self.call_id = call_id


@final
@message(8, str)
class Withdraw(Message):
    """The offer is void; answered by withdrawn or by the running call."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Withdraw an offer.

        :param call_id: the call.
        """
        self.call_id = call_id


@final
@message(9, str)
class Withdrawn(Message):
    """Proof that the call has not run here and never will."""

    __slots__ = ('call_id',)

    def __init__(self, *, call_id: str) -> None:
        """Confirm a withdrawal.

        :param call_id: the call.
        """
        self.call_id = call_id


@final
@message(10, str, str, int)
class Refused(Message):
    """The offer or run is refused; the call has not run here."""

    __slots__ = ('call_id', 'reason', 'retry_after_ms')  # noqa: WPS607

    def __init__(
        self,
        *,
        call_id: str,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """Refuse a call.

        :param call_id: the call.
        :param reason: a word of :class:`RefusalReason`.
        :param retry_after_ms: estimate of when there is room.
        """
        self.call_id = call_id
        self.reason = reason
        self.retry_after_ms = retry_after_ms
