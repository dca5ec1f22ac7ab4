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
from wingfall.gateway.knowledge.fixed_start import FixedStart
from wingfall.gateway.knowledge.reading_window import ReadingWindow

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Readings of one engine that a heartbeat tells at most.
_MOST_TOLD: Final = 4
# A told reading is in tenths of a token a millisecond. A rate that a gateway
# believes, which its peers neither count nor relay as a reading, is told below
# zero.
_TOLD_PARTS: Final = 10


@final
class PoolRate:
    """The median rate of a pool's engines, and their fixed time."""

    __slots__ = ('_median', '_windows', 'fixed_start')

    def __init__(self) -> None:
        """Start without an engine."""
        self._windows: dict[str, ReadingWindow] = {}
        # Tokens a millisecond, None if it must be worked out anew.
        self._median: float | None = None
        self.fixed_start = FixedStart()

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that an engine of the pool reads in a millisecond."""
        if self._median is None:
            seen = [each.rate for each in self._windows.values() if each.rate]
            self._median = statistics.median(seen) if seen else FIRST_RATE
        return self._median

    def add(self, engine: str, window: ReadingWindow) -> None:
        """Take an engine into the pool.

        :param engine: its name.
        :param window: its readings.
        """
        self._windows[engine] = window
        self._median = None

    def remove(self, engine: str) -> None:
        """Forget an engine.

        :param engine: its name.
        """
        self._windows.pop(engine, None)
        self._median = None

    def note_change(self) -> None:
        """Note that an engine's rate has changed."""
        self._median = None


@final
class SharedRate:
    """How fast one engine reads, or its pool while it is unseen."""

    __slots__ = ('_engine', '_pool', 'window')

    def __init__(self, *, engine: str) -> None:
        """Start without a reading, in no pool.

        :param engine: its name.
        """
        self._engine = engine
        self._pool: PoolRate | None = None
        self.window = ReadingWindow()

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that the engine reads in a millisecond."""
        if self.window.rate is not None:
            return self.window.rate
        return self._pool.tokens_per_ms if self._pool else FIRST_RATE

    def join(self, pool: PoolRate) -> None:
        """Count the engine to its pool.

        :param pool: the rate of the pool.
        """
        if self._pool is not pool:
            self.leave()
            self._pool = pool
            pool.add(self._engine, self.window)

    def leave(self) -> None:
        """Count the engine to no pool."""
        if self._pool is not None:
            self._pool.remove(self._engine)
            self._pool = None

    def note_change(self) -> None:
        """Note that the engine's rate has changed."""
        if self._pool is not None:
            self._pool.note_change()


@final
class SharedRates:
    """The rates of all engines."""

    __slots__ = ('_clock', '_engines', '_pools', '_untold')

    def __init__(self, *, clock: Clock) -> None:
        """Start without a reading.

        :param clock: the time, by which readings age.
        """
        self._clock = clock
        self._pools: dict[str, PoolRate] = {}
        self._engines: dict[str, SharedRate] = {}
        # Tenths of a token a millisecond, by engine.
        self._untold: dict[str, collections.deque[int]] = {}

    def find(self, engine: str, pool: str) -> SharedRate:
        """Give the rate of an engine.

        :param engine: its name.
        :param pool: its pool, empty while the engine isn't listed.
        :returns: the rate, which follows later readings.
        """
        rate = self._engines.get(engine)
        if rate is None:
            rate = SharedRate(engine=engine)
            self._engines[engine] = rate
        if pool:
            rate.join(self.of_pool(pool))
        return rate

    def look(self, engine: str, pool: str) -> SharedRate | PoolRate:
        """Give the rate of an engine, or its pool's while it is unseen.

        :param engine: its name.
        :param pool: its pool.
        :returns: the rate.
        """
        return self._engines.get(engine) or self.of_pool(pool)

    def of_pool(self, pool: str) -> PoolRate:
        """Give the median rate of a pool.

        :param pool: its name.
        :returns: the rate, which follows later readings.
        """
        rate = self._pools.get(pool)
        if rate is None:
            rate = PoolRate()
            self._pools[pool] = rate
        return rate

    def fixed_ms(self, pool: str) -> float | None:
        """Tell the fixed time of a pool's first events.

        :param pool: its name.
        :returns: milliseconds, None until it is known.
        """
        return self.of_pool(pool).fixed_start.fixed_ms

    def note(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: float,
        waiting: int = 0,
    ) -> None:
        """Add a reading of this gateway.

        :param engine: the engine.
        :param pool: its pool.
        :param tokens: what was to be read before a prompt and for it.
        :param elapsed_ms: how long reading took.
        :param waiting: how much of that was before it. It doesn't count: some
            of it was read already, so that it would make readings too high.
        """
        own = tokens - waiting
        if own < MEASURED_TOKENS or elapsed_ms <= 0:
            return
        rate = _bound(own / elapsed_ms)
        shared, now_ms = self.find(engine, pool), self._clock.now_ms()
        # Behind much else a prompt tells no more than that the engine is at
        # least so fast. Under high load there are few others.
        if waiting > own and rate <= shared.tokens_per_ms:
            return
        if shared.window.needs_more(now_ms):
            untold = self._untold.setdefault(
                engine, collections.deque(maxlen=_MOST_TOLD)
            )
            untold.append(round(rate * _TOLD_PARTS))
        shared.window.note(rate, now_ms)
        shared.note_change()

    def note_short(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Learn the fixed time from a prompt that is too short for a reading.

        :param engine: the engine.
        :param pool: its pool.
        :param tokens: what was to be read before the prompt and for it.
        :param elapsed_ms: time from its sending to its first event.
        """
        if tokens < MEASURED_TOKENS:
            read_ms = tokens / self.find(engine, pool).tokens_per_ms
            self.of_pool(pool).fixed_start.note(elapsed_ms - read_ms)

    def take_told(self, engine: str, pool: str, rates: list[int]) -> None:
        """Add readings of another gateway.

        :param engine: the engine.
        :param pool: its pool, empty while the engine isn't listed here.
        :param rates: tenths of a token a millisecond, the newest last; below
            zero what the other gateway believes.
        """
        shared, now_ms = self.find(engine, pool), self._clock.now_ms()
        for told in rates:
            rate = _bound(abs(told) / _TOLD_PARTS)
            if told < 0:
                shared.window.note_belief(rate, now_ms)
            else:
                shared.window.note(rate, now_ms)
        shared.note_change()

    def take_untold(self) -> list[list[Any]]:
        """Take the readings that peers have not heard of.

        :returns: for each engine its name and the rates, as they are told.
        """
        untold = self._untold
        self._untold = {}
        return [[engine, *rates] for engine, rates in untold.items()]

    def write_all(self) -> list[list[Any]]:
        """Write the rates that are believed, for a gateway that starts.

        :returns: for each engine its name and its rate, as they are told.
        """
        return [
            [engine, -round(shared.window.rate * _TOLD_PARTS)]
            for engine, shared in self._engines.items()
            if shared.window.rate is not None
        ]

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        What was told of engines that aren't listed yet is kept for a while:
        a gateway that starts hears of them before it has their list.

        :param names: the engines that are listed.
        """
        now_ms = self._clock.now_ms()
        for name in self._engines.keys() - names:
            self._untold.pop(name, None)
            shared = self._engines[name]
            shared.leave()
            if shared.window.is_old(now_ms):
                self._engines.pop(name)


def _bound(tokens_per_ms: float) -> float:
    return min(MAX_RATE, max(MIN_RATE, tokens_per_ms))
