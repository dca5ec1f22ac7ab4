"""Budget for retries of requests, over all gateways together.

Without a bound, a failing pool would get each request several times just when
its capacity is short. The platform bounds the retries that all gateways send in
any window by their requests in it. Each gateway keeps its own part without
coordination with the others: each request earns a fraction of a retry, and each
retry uses up what it costs. What a gateway earned is lost when its process
ends, so the sum over all gateways doesn't depend on how often they restart, nor
on which of them a caller uses.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Fraction of the bound that requests earn. In one window a gateway may use what
# it earned in that window and what it still had from the one before.
_EARNED_FRACTION: Final = 0.5
# Tolerance of the comparison with a whole retry: sums of fractions are inexact.
_ROUNDING: Final = 1e-9


@final
class BudgetUsage:
    """Counts that a decision of the budget is based on."""

    __slots__ = (
        'age_ms',
        'available',
        'gateways',
        'gateways_age_ms',
        'requests',
        'retries',
    )

    def __init__(
        self,
        *,
        available: float,
        requests: int,
        retries: int,
        gateways: int | None,
        gateways_age_ms: int,
        age_ms: int,
    ) -> None:
        """Initialize the counts.

        :param available: retries that the pool may use now.
        :param requests: requests of the pool in the window at this gateway.
        :param retries: retries among them.
        :param gateways: number of gateways that share the slack, None if it
            isn't known.
        :param gateways_age_ms: milliseconds since that number last changed.
        :param age_ms: milliseconds since this gateway began to count.
        """
        self.available = available
        self.requests = requests
        self.retries = retries
        self.gateways = gateways
        self.gateways_age_ms = gateways_age_ms
        self.age_ms = age_ms


@final
class _PoolBudget:
    """What a pool has earned, and its recent requests and retries."""

    __slots__ = ('available', 'requests_ms', 'retries_ms', 'updated_ms')

    def __init__(self, *, updated_ms: int) -> None:
        self.available: float = 0
        # Time until which the share of the slack is added.
        self.updated_ms = updated_ms
        self.requests_ms: collections.deque[int] = collections.deque()
        self.retries_ms: collections.deque[int] = collections.deque()


@final
class RetryBudget:
    """Retry budget of each pool at this gateway."""

    __slots__ = (
        '_clock',
        '_gateways',
        '_gateways_changed_ms',
        '_pools',
        '_ratio',
        '_shares_since_ms',
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
        """Create a budget that has earned no retries.

        :param clock: source of the current time.
        :param ratio: retries per request, over all gateways.
        :param slack: additional retries per window, over all gateways.
        :param window_ms: length of the window in milliseconds.
        """
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = max(1, window_ms)
        self._gateways: int | None = None
        self._started_ms = clock.now_ms()
        self._gateways_changed_ms = self._started_ms
        # Since when this gateway has a share of the slack.
        self._shares_since_ms = self._started_ms
        self._pools: dict[str, _PoolBudget] = {}

    def set_bounds(self, ratio: float, slack: float, window_ms: int) -> None:
        """Change the bounds, without resetting the counts.

        :param ratio: retries per request, over all gateways.
        :param slack: additional retries per window, over all gateways.
        :param window_ms: length of the window in milliseconds.
        """
        self._update_all()
        self._ratio = ratio
        self._slack = slack
        self._window_ms = max(1, window_ms)

    def set_gateway_count(self, gateways: int | None) -> None:
        """Set the number of gateways that share the slack.

        :param gateways: number of gateways, including this one; None if it
            isn't known, so that this gateway has no share of the slack.
        """
        if gateways == self._gateways:
            return
        self._update_all()
        self._gateways_changed_ms = self._clock.now_ms()
        if self._gateways is None:
            self._shares_since_ms = self._gateways_changed_ms
        self._gateways = gateways

    def note_request(self, pool: str) -> None:
        """Record a request.

        :param pool: name of its pool.
        """
        budget = self._update(pool)
        budget.requests_ms.append(self._clock.now_ms())
        budget.available += self._ratio * _EARNED_FRACTION

    def take(self, pool: str) -> bool:
        """Use one retry of the budget if enough was earned.

        :param pool: name of the request's pool.
        :returns: whether the retry is allowed; an allowed retry is counted.
        """
        budget = self._update(pool)
        if budget.available + _ROUNDING < 1:
            return False
        budget.available = max(0, budget.available - 1)
        budget.retries_ms.append(self._clock.now_ms())
        return True

    def usage(self, pool: str) -> BudgetUsage:
        """Return the counts of a pool, for logs.

        :param pool: name of the pool.
        :returns: the counts at this moment.
        """
        budget = self._update(pool)
        now_ms = self._clock.now_ms()
        return BudgetUsage(
            available=budget.available,
            requests=len(budget.requests_ms),
            retries=len(budget.retries_ms),
            gateways=self._gateways,
            gateways_age_ms=now_ms - self._gateways_changed_ms,
            age_ms=now_ms - self._started_ms,
        )

    @property
    def _slack_share(self) -> float:
        # Retries per window that the slack earns at this gateway.
        if self._gateways is None:
            return 0
        return self._slack / self._gateways * _EARNED_FRACTION

    def _update_all(self) -> None:
        for pool in self._pools:
            self._update(pool)

    def _update(self, pool: str) -> _PoolBudget:
        budget = self._pools.get(pool)
        if budget is None:
            # The slack is earned whether or not the pool had requests.
            budget = _PoolBudget(updated_ms=self._shares_since_ms)
            self._pools[pool] = budget
        now_ms = self._clock.now_ms()
        self._drop_expired(budget.requests_ms, now_ms)
        self._drop_expired(budget.retries_ms, now_ms)
        elapsed_ms = now_ms - budget.updated_ms
        budget.updated_ms = now_ms
        budget.available = min(
            budget.available + self._slack_share * elapsed_ms / self._window_ms,
            self._most_available(budget),
        )
        return budget

    def _most_available(self, budget: _PoolBudget) -> float:
        # Nothing that was earned before the last window may be left.
        earned = self._ratio * _EARNED_FRACTION * len(budget.requests_ms)
        return earned + self._slack_share

    def _drop_expired(
        self, times_ms: collections.deque[int], now_ms: int
    ) -> None:
        oldest_ms = now_ms - self._window_ms
        while times_ms and times_ms[0] <= oldest_ms:
            times_ms.popleft()
