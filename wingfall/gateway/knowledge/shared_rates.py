"""How fast engines read, by what all gateways have seen.

Owns the readings of each engine, seen here or told by other gateways, and those
that they have not heard of. An engine without a reading has its pool's median.
"""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.knowledge.engine_speed import (
    FIRST_RATE,
    MAX_RATE,
    MEASURED_TOKENS,
    MIN_RATE,
)
from wingfall.gateway.knowledge.reading_window import ReadingWindow

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Readings of one engine that a heartbeat tells at most.
_MOST_TOLD: Final = 4
# A told reading is in tenths of a token a millisecond.
_TOLD_PARTS: Final = 10


@final
class PoolRate:
    """The median rate of a pool's engines."""

    __slots__ = ('_median', 'windows')

    def __init__(self) -> None:
        """Start without an engine."""
        self.windows: dict[str, ReadingWindow] = {}
        # Tokens a millisecond, None if it must be worked out anew.
        self._median: float | None = None

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that an engine of the pool reads in a millisecond."""
        if self._median is None:
            seen = [each.rate for each in self.windows.values() if each.rate]
            self._median = statistics.median(seen) if seen else FIRST_RATE
        return self._median

    def note_change(self) -> None:
        """Note that an engine's rate has changed."""
        self._median = None


@final
class SharedRate:
    """How fast one engine reads, or its pool while it is unseen."""

    __slots__ = ('_pool', '_window')

    def __init__(self, *, window: ReadingWindow, pool: PoolRate) -> None:
        """Join what is known.

        :param window: readings of the engine.
        :param pool: readings of all engines of its pool.
        """
        self._window = window
        self._pool = pool

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that the engine reads in a millisecond."""
        return self._window.rate or self._pool.tokens_per_ms


@final
class SharedRates:
    """The rates of all engines."""

    __slots__ = ('_clock', '_pools', '_untold')

    def __init__(self, *, clock: Clock) -> None:
        """Start without a reading.

        :param clock: the time, by which readings age.
        """
        self._clock = clock
        self._pools: dict[str, PoolRate] = {}
        # Tenths of a token a millisecond, by engine.
        self._untold: dict[str, collections.deque[int]] = {}

    def find(self, engine: str, pool: str) -> SharedRate:
        """Give the rate of an engine.

        :param engine: its name.
        :param pool: its pool.
        :returns: the rate, which follows later readings.
        """
        return SharedRate(
            window=self._window(engine, pool), pool=self.of_pool(pool)
        )

    def of_pool(self, pool: str) -> PoolRate:
        """Give the median rate of a pool.

        :param pool: its name.
        :returns: the rate, which follows later readings.
        """
        return self._pools.setdefault(pool, PoolRate())

    def note(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Add a reading of this gateway.

        :param engine: the engine.
        :param pool: its pool.
        :param tokens: what was to be read before a prompt and for it.
        :param elapsed_ms: how long reading took.
        """
        if tokens < MEASURED_TOKENS or elapsed_ms <= 0:
            return
        rate = _bound(tokens / elapsed_ms)
        now_ms = self._clock.now_ms()
        if self._window(engine, pool).needs_more(now_ms):
            untold = self._untold.setdefault(
                engine, collections.deque(maxlen=_MOST_TOLD)
            )
            untold.append(round(rate * _TOLD_PARTS))
        self._add(engine, pool, rate)

    def take_told(self, engine: str, pool: str, rates: list[int]) -> None:
        """Add readings of another gateway.

        :param engine: the engine.
        :param pool: its pool.
        :param rates: tenths of a token a millisecond, the newest last.
        """
        for told in rates:
            self._add(engine, pool, _bound(told / _TOLD_PARTS))

    def take_untold(self) -> list[list[Any]]:
        """Take the readings that peers have not heard of.

        :returns: for each engine its name and the rates, as they are told.
        """
        untold = self._untold
        self._untold = {}
        return [[engine, *rates] for engine, rates in untold.items()]

    def write_all(self) -> list[list[Any]]:
        """Write the rates that are known, for a gateway that starts.

        :returns: for each engine its name and its rate, as they are told.
        """
        return [
            [engine, round(window.rate * _TOLD_PARTS)]
            for pool in self._pools.values()
            for engine, window in pool.windows.items()
            if window.rate
        ]

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        :param names: the engines that are listed.
        """
        for pool in self._pools.values():
            for name in pool.windows.keys() - names:
                pool.windows.pop(name)
                pool.note_change()

    def _window(self, engine: str, pool: str) -> ReadingWindow:
        return self.of_pool(pool).windows.setdefault(engine, ReadingWindow())

    def _add(self, engine: str, pool: str, rate: float) -> None:
        self._window(engine, pool).note(rate, self._clock.now_ms())
        self.of_pool(pool).note_change()


def _bound(tokens_per_ms: float) -> float:
    return min(MAX_RATE, max(MIN_RATE, tokens_per_ms))
