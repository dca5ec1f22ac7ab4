"""Whether a call is sent again after an attempt without an answer.

A request runs at most once unless it may be repeated: it is sent again only
after a proof that it did not run. Retries that put load on endpoints take from
a budget that all gateways share.
"""

from __future__ import annotations

import enum
from typing import Final, final

from wingfall.gateway.model.attempt_end import AttemptEnd

# Endpoints that take no connection before a call is given up; each takes 0.3 s
# at most, so that a call ends soon although its whole pool is gone, and finds
# one where a quarter of it is.
_MOST_UNREACHED: Final = 8


# Ends of attempts that reached no endpoint.
_UNSENT: Final = frozenset((AttemptEnd.not_sent, AttemptEnd.held))


class RetryVerdict(enum.Enum):
    """Whether a call may be sent again."""

    never = 'never'
    # Nothing was sent, so the shared budget isn't touched.
    free = 'free'
    # If the budget that all gateways share allows it.
    from_budget = 'from_budget'


@final
class CallProgress:
    """What has become of a call's attempts so far."""

    __slots__ = ('may_have_run', 'sent', 'unreached')

    def __init__(self) -> None:
        """Start without an attempt."""
        # Names of endpoints that took the request, one an attempt.
        self.sent: list[str] = []
        # Names of endpoints that took no connection.
        self.unreached: set[str] = set()
        # Whether an endpoint may have run it, by what attempts have shown.
        self.may_have_run = False

    def note(self, endpoint: str, end: AttemptEnd) -> None:
        """Note the end of an attempt.

        :param endpoint: where it went.
        :param end: how it ended, not with an answer.
        """
        if end is AttemptEnd.not_sent:
            self.unreached.add(endpoint)
        if end in _UNSENT:
            return
        self.sent.append(endpoint)
        if end is not AttemptEnd.not_run:
            self.may_have_run = True


@final
class RetryTerms:
    """What a call allows."""

    __slots__ = ('idempotent', 'max_attempts', 'resumes')

    def __init__(
        self,
        *,
        idempotent: bool,
        max_attempts: int,
        resumes: bool,
    ) -> None:
        """Describe a call.

        :param idempotent: whether a second run does no harm.
        :param max_attempts: endpoints that it may be sent to.
        :param resumes: whether its answer has not begun, or can go on after
            its last event.
        """
        self.idempotent = idempotent
        self.max_attempts = max_attempts
        self.resumes = resumes


def judge_retry(
    end: AttemptEnd,
    progress: CallProgress,
    terms: RetryTerms,
) -> RetryVerdict:
    """Tell whether a call may be sent again.

    :param end: how the last attempt ended.
    :param progress: all attempts, the last among them.
    :param terms: what the call allows.
    :returns: the verdict.
    """
    # First of all: also where the last endpoint could not be reached, an
    # earlier one may have run it.
    if progress.may_have_run and not terms.idempotent:
        return RetryVerdict.never
    if end is AttemptEnd.held:
        # It is not placed there again before the endpoint takes requests.
        return RetryVerdict.free
    if end is AttemptEnd.not_sent:
        reachable = len(progress.unreached) < _MOST_UNREACHED
        return RetryVerdict.free if reachable else RetryVerdict.never
    if len(progress.sent) >= terms.max_attempts or not terms.resumes:
        return RetryVerdict.never
    return RetryVerdict.from_budget
