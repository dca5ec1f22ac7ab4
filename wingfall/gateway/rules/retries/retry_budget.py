"""How many requests may be sent a second time, over all gateways together.

Without a bound a failing pool would get each request several times, just when
its capacity is short. The platform bounds the retries of all gateways; each
takes its part without asking the others.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Part of the bound that is used, since the windows of gateways don't slide
# together, so that a fifth of them may be late.
_USED_PART: Final = 0.8


@final
class RetryBudget:
    """A sliding window of requests and retries for each pool."""

    __slots__ = (
        '_clock',
        '_gateways',
        '_ratio',
        '_requests',
        '_retries',
        '_slack',
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
        """Start with the whole budget.

        :param clock: the time.
        :param ratio: retries a request, over all gateways.
        :param slack: retries a window beyond that, over all gateways.
        :param window_ms: length of the window.
        """
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._gateways = 1
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}

    def set_bounds(self, ratio: float, slack: float, window_ms: int) -> None:
        """Change the bounds; what was counted stays counted.

        :param ratio: retries a request, over all gateways.
        :param slack: retries a window beyond that.
        :param window_ms: length of the window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def share_among(self, gateways: int) -> None:
        """Tell how many gateways share the slack.

        :param gateways: how many there are, this one among them.
        """
        self._gateways = max(1, gateways)

    def note_request(self, pool: str) -> None:
        """Count a request.

        :param pool: the pool that it is for.
        """
        self._recent(self._requests, pool).append(self._clock.now_ms())

    def take(self, pool: str) -> bool:
        """Ask to send a request once more.

        :param pool: the pool that it is for.
        :returns: whether it may be sent; it is counted if so.
        """
        retries = self._recent(self._retries, pool)
        requests = self._recent(self._requests, pool)
        allowed = self._ratio * len(requests) + self._slack / self._gateways
        if len(retries) + 1 > allowed * _USED_PART:
            return False
        retries.append(self._clock.now_ms())
        return True

    def _recent(
        self,
        counts: dict[str, collections.deque[int]],
        pool: str,
    ) -> collections.deque[int]:
        recent = counts.setdefault(pool, collections.deque())
        oldest_ms = self._clock.now_ms() - self._window_ms
        while recent and recent[0] <= oldest_ms:
            recent.popleft()
        return recent
