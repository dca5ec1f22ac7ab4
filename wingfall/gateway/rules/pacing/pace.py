"""How requests are spread over time so that a rate is kept, not a burst."""

from __future__ import annotations

import math
from typing import Final, final

from wingfall.clock import MS_PER_S

# Milliseconds of the rate that are saved up while nothing is sent, so that a
# gateway whose calls come unevenly uses its part. With the rate itself that
# stays below the half more that an endpoint bears in four seconds.
_SAVED_MS: Final = 1500


@final
class Pace:
    """A number of requests a second, counted from now on."""

    __slots__ = ('_at_ms', '_level', '_rate')

    def __init__(self, *, rate: float, now_ms: int) -> None:
        """Start with nothing saved up.

        What starts full would send at once whenever gateways come to new
        parts of a limit.

        :param rate: requests a second, not negative.
        :param now_ms: the time.
        """
        self._rate = rate
        self._level: float = 0
        self._at_ms = now_ms

    @property
    def rate(self) -> float:
        """Requests a second."""
        return self._rate

    def change(self, rate: float, now_ms: int) -> None:
        """Go on with another rate.

        :param rate: requests a second.
        :param now_ms: the time.
        """
        if rate == self._rate:
            return
        self._fill(now_ms)
        self._rate = rate
        self._level = min(self._level, self._most())

    def ready_in_ms(self, now_ms: int) -> float:
        """Tell when the next request may be sent.

        :param now_ms: the time.
        :returns: milliseconds from now, infinite without a rate.
        """
        self._fill(now_ms)
        if not self._rate:
            return math.inf
        return max(0, 1 - self._level) / self._rate * MS_PER_S

    def take(self, now_ms: int) -> bool:
        """Count a request that is about to be sent.

        :param now_ms: the time.
        :returns: whether it may be.
        """
        if self.ready_in_ms(now_ms) > 0:
            return False
        self._level -= 1
        return True

    def _fill(self, now_ms: int) -> None:
        gained = (now_ms - self._at_ms) * self._rate / MS_PER_S
        self._level = min(self._most(), self._level + gained)
        self._at_ms = now_ms

    def _most(self) -> float:
        if not self._rate:
            return 0
        return max(1, self._rate * _SAVED_MS / MS_PER_S)
