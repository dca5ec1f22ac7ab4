"""Retry budgets of several gateways, with all requests and retries recorded."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Final, final

from tools.soak.retry_bound import RetryBound, find_worst_window
from wingfall.clock import MS_PER_S, ManualClock
from wingfall.gateway.rules.retries.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.soak.retry_bound import RetryWindow

POOL: Final = 'pool'
# More retries than any budget of these tests allows at once.
STORM: Final = 10_000


@final
class RetryFleet:
    """Gateways whose retries are judged together."""

    def __init__(
        self,
        *,
        gateways: int,
        ratio: float = 0.2,
        slack: float = 12,
        window_ms: int = 10_000,
    ) -> None:
        """Start the gateways; each knows of all others."""
        self.clock = ManualClock(start_ms=1000)
        self._terms: dict[str, Any] = {
            'clock': self.clock,
            'ratio': ratio,
            'slack': slack,
            'window_ms': window_ms,
        }
        self.budgets: list[RetryBudget] = []
        self.requests_s: list[float] = []
        self.retries_s: list[float] = []
        for _gateway in range(gateways):
            self.budgets.append(self._make())
        self.introduce()

    def introduce(self) -> None:
        """Let each gateway know of all others."""
        for budget in self.budgets:
            budget.set_gateway_count(len(self.budgets))

    def restart(self, gateways: Iterable[int]) -> None:
        """Replace gateways by new processes that know of all others."""
        for number in gateways:
            self.budgets[number] = self._make()
        self.introduce()

    def serve(self, gateways: Iterable[int], requests: int) -> None:
        """Let each of some gateways take requests at this moment."""
        for number in gateways:
            for _request in range(requests):
                self.budgets[number].note_request(POOL)
                self.requests_s.append(self.clock.now_ms() / MS_PER_S)

    def retry(self, gateways: Iterable[int], retries: int = STORM) -> int:
        """Let each of some gateways retry as often as its budget allows."""
        granted = 0
        for number in gateways:
            for _retry in range(retries):
                if not self.budgets[number].take(POOL):
                    break
                granted += 1
        now_s = self.clock.now_ms() / MS_PER_S
        self.retries_s.extend(itertools.repeat(now_s, granted))
        return granted

    def run(
        self,
        seconds: float,
        gateways: Iterable[int],
        *,
        failing: bool = False,
        requests: int = 1,
    ) -> None:
        """Serve ten times a second; retry each time if requests fail."""
        for _step in range(int(seconds * 10)):
            self.serve(gateways, requests)
            if failing:
                self.retry(gateways)
            self.clock.advance(100)

    def worst(self) -> RetryWindow:
        """Return the window with the most retries beyond the bound."""
        assert self.retries_s, 'no retry was granted'
        worst = find_worst_window(
            self.requests_s,
            sorted(self.retries_s),
            RetryBound(
                ratio=self._terms['ratio'],
                slack=self._terms['slack'],
                window_s=self._terms['window_ms'] / MS_PER_S,
            ),
        )
        assert worst is not None
        return worst

    def _make(self) -> RetryBudget:
        return RetryBudget(**self._terms)
