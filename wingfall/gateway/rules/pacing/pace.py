"""A token bucket that limits the request rate and the size of bursts."""

from __future__ import annotations

import math
from typing import Final, final

from wingfall.clock import MS_PER_S

# Capacity of the bucket in milliseconds of its rate, so that a gateway whose
# calls arrive unevenly can use its share. Together with the rate it stays below
# the 50 % excess that an endpoint tolerates over four seconds.
_BURST_MS: Final = 1500


@final
class TokenBucket:
    """A token bucket with one token per request."""

    __slots__ = ('_refilled_ms', '_tokens', '_rate')

    def __init__(self, *, rate: float, now_ms: int) -> None:
        """Create an empty bucket.

        A full bucket would send a burst each time that the gateways' shares
        of a limit change.

        :param rate: requests per second, not negative.
        :param now_ms: current time in milliseconds.
        """
        self._rate = rate
        self._tokens: float = 0
        self._refilled_ms = now_ms

    @property
    def rate(self) -> float:
        """Refill rate in requests per second."""
        return self._rate

    def update_rate(self, rate: float, now_ms: int) -> None:
        """Set another rate.

        :param rate: requests per second, not negative.
        :param now_ms: current time in milliseconds.
        """
        if rate == self._rate:
            return
        self._refill(now_ms)
        self._rate = rate
        self._tokens = min(self._tokens, self._capacity())

    def ready_in_ms(self, now_ms: int) -> float:
        """Return the time until the next request may be sent.

        :param now_ms: current time in milliseconds.
        :returns: milliseconds from now, infinite if the rate is zero.
        """
        self._refill(now_ms)
        if not self._rate:
            return math.inf
        return max(0, 1 - self._tokens) / self._rate * MS_PER_S

    def take(self, now_ms: int) -> bool:
        """Consume a token for a request that is about to be sent.

        :param now_ms: current time in milliseconds.
        :returns: whether a token was available.
        """
        if self.ready_in_ms(now_ms) > 0:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        gained = (now_ms - self._refilled_ms) * self._rate / MS_PER_S
        self._tokens = min(self._capacity(), self._tokens + gained)
        self._refilled_ms = now_ms

    def _capacity(self) -> float:
        if not self._rate:
            return 0
        return max(1, self._rate * _BURST_MS / MS_PER_S)
