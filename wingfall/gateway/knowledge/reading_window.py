"""The last readings of an engine, and the rate that they show.

Answers engines that many gateways use at once: what waits there before a prompt
makes a reading too low, and only a prompt that was cached after all makes one
too high, so that a high quantile of the readings is the engine's rate and one
wrong reading moves it by one place.
"""

from __future__ import annotations

import collections
from typing import Final, final

from wingfall.gateway.knowledge.quantile import quantile

# Readings of one engine that are kept. Enough that a slow spell of half a
# second is a small part of them, few enough that an engine that turned slow is
# known after a dozen readings.
_KEPT: Final = 16
# The reading that counts, as a part of all in ascending order.
_RATE_PART: Final = 0.9
# Milliseconds after which a reading goes once there are newer ones.
_OLD_MS: Final = 10_000
# Newer readings that are enough to let an old one go.
_ENOUGH: Final = 4
# Readings in the time below that are enough for all gateways, so that further
# ones needn't be told.
_ENOUGH_TOLD: Final = 8
_RECENT_MS: Final = 2000


@final
class ReadingWindow:
    """How fast one engine read lately."""

    __slots__ = ('_rate', '_readings')

    def __init__(self) -> None:
        """Start without a reading."""
        # Tokens a millisecond and the reading of the clock of each.
        self._readings: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=_KEPT)
        )
        self._rate: float | None = None

    @property
    def rate(self) -> float | None:
        """Tokens that the engine reads in a millisecond, None if unseen."""
        return self._rate

    def needs_more(self, now_ms: int) -> bool:
        """Tell whether other gateways should hear of another reading.

        :param now_ms: the time.
        :returns: whether too few are recent.
        """
        recent = sum(
            now_ms - seen_ms < _RECENT_MS for _rate, seen_ms in self._readings
        )
        return recent < _ENOUGH_TOLD

    def is_old(self, now_ms: int) -> bool:
        """Tell whether the engine has not been seen for long.

        :param now_ms: the time.
        :returns: whether all readings are old.
        """
        if not self._readings:
            return True
        return now_ms - self._readings[-1][1] > _OLD_MS

    def note(self, tokens_per_ms: float, now_ms: int) -> None:
        """Add a reading.

        :param tokens_per_ms: how fast the engine read.
        :param now_ms: the time.
        """
        self._readings.append((tokens_per_ms, now_ms))
        while len(self._readings) > _ENOUGH:
            if now_ms - self._readings[0][1] <= _OLD_MS:
                break
            self._readings.popleft()
        self._rate = quantile(
            (rate for rate, _seen_ms in self._readings), _RATE_PART
        )

    def note_belief(self, tokens_per_ms: float, now_ms: int) -> None:
        """Take the rate that another gateway has worked out.

        It stands for its readings where this gateway has none; beside readings
        it would count them twice.

        :param tokens_per_ms: the rate.
        :param now_ms: the time.
        """
        if not self._readings:
            self.note(tokens_per_ms, now_ms)
