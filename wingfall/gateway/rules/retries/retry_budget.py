"""Budget for retries of requests, over all gateways together.

Without a bound, a failing pool would get each request several times just when
its capacity is short. The platform bounds the retries of all gateways; each
gateway uses its share without coordination with the others.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Fraction of the bound that is used: the windows of gateways don't slide
# together, so a fifth of them may be late.
_USED_FRACTION: Final = 0.8


@final
class BudgetUsage:
    """Counts that a decision of the budget is based on."""

    __slots__ = (
        'age_ms',
        'gateways',
        'gateways_age_ms',
        'requests',
        'retries',
    )

    def __init__(
        self,
        *,
        requests: int,
        retries: int,
        gateways: int,
        gateways_age_ms: int,
        age_ms: int,
    ) -> None:
        """Initialize the counts.

        :param requests: requests of the pool in the window at this gateway.
        :param retries: retries among them.
        :param gateways: number of gateways that share the slack.
        :param gateways_age_ms: milliseconds since that number last changed.
        :param age_ms: milliseconds since this gateway began to count.
        """
        self.requests = requests
        self.retries = retries
        self.gateways = gateways
        self.gateways_age_ms = gateways_age_ms
        self.age_ms = age_ms


@final
class RetryBudget:
    """Retry budget of each pool, over a sliding window."""

    __slots__ = (
        '_clock',
        '_gateways',
        '_gateways_changed_ms',
        '_ratio',
        '_requests',
        '_retries',
        '_slack',
        '_started_ms',
        '_window_ms',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        slack: float,
        window_ms: int,
    ) -> None:
        """Create a budget with no retries used.

        :param clock: source of the current time.
        :param ratio: retries per request, over all gateways.
        :param slack: additional retries per window, over all gateways.
        :param window_ms: length of the window in milliseconds.
        """
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._gateways = 1
        self._started_ms = clock.now_ms()
        self._gateways_changed_ms = self._started_ms
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}

    def set_bounds(self, ratio: float, slack: float, window_ms: int) -> None:
        """Change the bounds, without resetting the counts.

        :param ratio: retries per request, over all gateways.
        :param slack: additional retries per window, over all gateways.
        :param window_ms: length of the window in milliseconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def set_gateway_count(self, gateways: int) -> None:
        """Set the number of gateways that share the slack.

        :param gateways: number of gateways, including this one.
        """
        if gateways != self._gateways:
            self._gateways_changed_ms = self._clock.now_ms()
        self._gateways = max(1, gateways)

    def note_request(self, pool: str) -> None:
        """Record a request.

        :param pool: name of its pool.
        """
        self._recent(self._requests, pool).append(self._clock.now_ms())

    def take(self, pool: str) -> bool:
        """Use one retry of the budget if the bound allows it.

        :param pool: name of the request's pool.
        :returns: whether the retry is allowed; an allowed retry is counted.
        """
        retries = self._recent(self._retries, pool)
        requests = self._recent(self._requests, pool)
        allowed = self._ratio * len(requests) + self._slack / self._gateways
        if len(retries) + 1 > allowed * _USED_FRACTION:
            return False
        retries.append(self._clock.now_ms())
        return True

    def usage(self, pool: str) -> BudgetUsage:
        """Return the counts of a pool, for logs.

        :param pool: name of the pool.
        :returns: the counts at this moment.
        """
        now_ms = self._clock.now_ms()
        return BudgetUsage(
            requests=len(self._recent(self._requests, pool)),
            retries=len(self._recent(self._retries, pool)),
            gateways=self._gateways,
            gateways_age_ms=now_ms - self._gateways_changed_ms,
            age_ms=now_ms - self._started_ms,
        )

    def _recent(
        self,
        times_ms: dict[str, collections.deque[int]],
        pool: str,
    ) -> collections.deque[int]:
        recent = times_ms.setdefault(pool, collections.deque())
        oldest_ms = self._clock.now_ms() - self._window_ms
        while recent and recent[0] <= oldest_ms:
            recent.popleft()
        return recent
