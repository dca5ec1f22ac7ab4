"""How many requests may be sent a second time, over all routers together."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Part of the bound that is used, since windows slide and routers differ.
_USED_PART: Final = 0.8


@final
class ResendBudget:
    """A sliding window of requests and second sendings for each pool."""

    __slots__ = (
        '_clock',
        '_fresh',
        '_ratio',
        '_resent',
        '_routers',
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
        :param ratio: second sendings a fresh request, over all routers.
        :param slack: second sendings a window beyond that, over all routers.
        :param window_ms: length of the window.
        """
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._routers = 1
        self._fresh: dict[str, collections.deque[int]] = {}
        self._resent: dict[str, collections.deque[int]] = {}

    def set_bounds(self, ratio: float, slack: float, window_ms: int) -> None:
        """Change the bounds; what was counted stays counted.

        :param ratio: second sendings a fresh request, over all routers.
        :param slack: second sendings a window beyond that.
        :param window_ms: length of the window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def share_among(self, routers: int) -> None:
        """Tell how many routers share the slack.

        :param routers: how many there are, this one among them.
        """
        self._routers = max(1, routers)

    def note_fresh(self, pool: str) -> None:
        """Count a request.

        :param pool: the pool that it is for.
        """
        self._recent(self._fresh, pool).append(self._clock.now_ms())

    def take(self, pool: str) -> bool:
        """Ask to send a request once more.

        :param pool: the pool that it is for.
        :returns: whether it may be sent; it is counted if so.
        """
        resent = self._recent(self._resent, pool)
        fresh = self._recent(self._fresh, pool)
        allowed = self._ratio * len(fresh) + self._slack / self._routers
        if len(resent) + 1 > allowed * _USED_PART:
            return False
        resent.append(self._clock.now_ms())
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
