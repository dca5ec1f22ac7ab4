"""Retry decision for a call after an attempt without an answer.

A request that is not idempotent runs at most once: it is sent again only if it
provably did not run. Retries that put load on endpoints are charged to a budget
that all gateways share.
"""

from __future__ import annotations

import enum
from typing import Final, final

from wingfall.gateway.model.attempt_end import AttemptEnd

# Maximum endpoints without a connection before a call is abandoned. Each takes
# 0.3 s at most, so a call ends soon if its whole pool is gone, and reaches an
# endpoint if a quarter of the pool is gone.
_MAX_UNREACHED_ENDPOINTS: Final = 8


# Ends of attempts that reached no endpoint.
_UNSENT_ENDS: Final = frozenset((AttemptEnd.not_sent, AttemptEnd.held))


class RetryDecision(enum.Enum):
    """Decision whether a call may be sent again."""

    never = 'never'
    # Nothing was sent, so the shared budget is not charged.
    free = 'free'
    # Allowed only within the budget that all gateways share.
    from_budget = 'from_budget'


@final
class CallProgress:
    """Outcomes of the attempts of a call so far."""

    __slots__ = ('may_have_run', 'sent', 'unreached')

    def __init__(self) -> None:
        """Create the record of a call without attempts."""
        # Names of endpoints that took the request, one per attempt.
        self.sent: list[str] = []
        # Names of endpoints that accepted no connection.
        self.unreached: set[str] = set()
        # Whether an endpoint may have run the call, by the ends of attempts.
        self.may_have_run = False

    def note(self, endpoint: str, end: AttemptEnd) -> None:
        """Record the end of an attempt.

        :param endpoint: name of the endpoint of the attempt.
        :param end: how the attempt ended without an answer.
        """
        if end is AttemptEnd.not_sent:
            self.unreached.add(endpoint)
        if end in _UNSENT_ENDS:
            return
        self.sent.append(endpoint)
        if end is not AttemptEnd.not_run:
            self.may_have_run = True


@final
class RetryTerms:
    """Conditions of a call that restrict its retries."""

    __slots__ = ('idempotent', 'max_attempts', 'is_resumable')

    def __init__(
        self,
        *,
        idempotent: bool,
        max_attempts: int,
        is_resumable: bool,
    ) -> None:
        """Initialize the conditions.

        :param idempotent: whether a second run does no harm.
        :param max_attempts: maximum number of endpoints to send the call to.
        :param is_resumable: whether its answer has not begun, or can continue
            after its last event.
        """
        self.idempotent = idempotent
        self.max_attempts = max_attempts
        self.is_resumable = is_resumable


def decide_retry(
    end: AttemptEnd,
    progress: CallProgress,
    terms: RetryTerms,
) -> RetryDecision:
    """Decide whether a call may be sent again.

    :param end: how the last attempt ended.
    :param progress: all attempts, including the last one.
    :param terms: conditions of the call.
    :returns: the decision.
    """
    # Checked first: an earlier endpoint may have run the call even if the last
    # one could not be reached.
    if progress.may_have_run and not terms.idempotent:
        return RetryDecision.never
    if end is AttemptEnd.held:
        # The call is not sent there again before the endpoint takes requests.
        return RetryDecision.free
    if end is AttemptEnd.not_sent:
        may_try_others = len(progress.unreached) < _MAX_UNREACHED_ENDPOINTS
        return RetryDecision.free if may_try_others else RetryDecision.never
    if len(progress.sent) >= terms.max_attempts or not terms.is_resumable:
        return RetryDecision.never
    return RetryDecision.from_budget
