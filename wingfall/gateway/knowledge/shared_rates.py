"""Prefill rates of engines, estimated from the samples of all gateways.

Stores the samples of each engine, measured here or reported by other gateways,
and the samples to report to them. An engine without a sample has the median
rate of its pool.
"""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.knowledge.engine_speed import (
    INITIAL_TOKENS_PER_MS,
    MAX_TOKENS_PER_MS,
    MIN_SAMPLE_TOKENS,
    MIN_TOKENS_PER_MS,
)
from wingfall.gateway.knowledge.fixed_start import FixedOverhead
from wingfall.gateway.knowledge.reading_window import PrefillRateWindow

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Samples of one engine that a heartbeat reports at most.
_MAX_REPORTED_SAMPLES: Final = 4
# Reported rates are in tenths of a token per millisecond. A rate that a gateway
# has estimated is sent as a negative number: peers neither count nor relay it
# as a sample.
_REPORTED_UNITS_PER_TOKEN: Final = 10


@final
class PoolRate:
    """The median prefill rate of a pool and its fixed overhead."""

    __slots__ = ('_median', '_windows', 'fixed_overhead')

    def __init__(self) -> None:
        """Create the rate of a pool without engines."""
        self._windows: dict[str, PrefillRateWindow] = {}
        # Tokens per millisecond, None if it must be recomputed.
        self._median: float | None = None
        self.fixed_overhead = FixedOverhead()

    @property
    def tokens_per_ms(self) -> float:
        """Median prefill rate of the pool in tokens per millisecond."""
        if self._median is None:
            rates = [each.rate for each in self._windows.values() if each.rate]
            self._median = (
                statistics.median(rates) if rates else INITIAL_TOKENS_PER_MS
            )
        return self._median

    def add(self, engine: str, window: PrefillRateWindow) -> None:
        """Add an engine to the pool.

        :param engine: name of the engine.
        :param window: samples of the engine.
        """
        self._windows[engine] = window
        self._median = None

    def remove(self, engine: str) -> None:
        """Remove an engine from the pool.

        :param engine: name of the engine.
        """
        self._windows.pop(engine, None)
        self._median = None

    def note_change(self) -> None:
        """Discard the median after the rate of an engine has changed."""
        self._median = None


@final
class SharedRate:
    """The prefill rate of an engine, or of its pool without samples."""

    __slots__ = ('_engine', '_pool', 'window')

    def __init__(self, *, engine: str) -> None:
        """Create a rate without samples or pool.

        :param engine: name of the engine.
        """
        self._engine = engine
        self._pool: PoolRate | None = None
        self.window = PrefillRateWindow()

    @property
    def tokens_per_ms(self) -> float:
        """Prefill rate of the engine in tokens per millisecond."""
        if self.window.rate is not None:
            return self.window.rate
        return self._pool.tokens_per_ms if self._pool else INITIAL_TOKENS_PER_MS

    def join(self, pool: PoolRate) -> None:
        """Move the engine to a pool.

        :param pool: the rate of the pool.
        """
        if self._pool is not pool:
            self.leave()
            self._pool = pool
            pool.add(self._engine, self.window)

    def leave(self) -> None:
        """Remove the engine from its pool."""
        if self._pool is not None:
            self._pool.remove(self._engine)
            self._pool = None

    def note_change(self) -> None:
        """Update the pool after the rate of the engine has changed."""
        if self._pool is not None:
            self._pool.note_change()


@final
class SharedRates:
    """Prefill rates of all engines, shared between gateways."""

    __slots__ = ('_clock', '_engines', '_pools', '_unreported')

    def __init__(self, *, clock: Clock) -> None:
        """Create rates without samples.

        :param clock: clock that determines the age of samples.
        """
        self._clock = clock
        self._pools: dict[str, PoolRate] = {}
        self._engines: dict[str, SharedRate] = {}
        # Tenths of a token per millisecond, by engine.
        self._unreported: dict[str, collections.deque[int]] = {}

    def find(self, engine: str, pool: str) -> SharedRate:
        """Return the rate of an engine, created if it is missing.

        :param engine: name of the engine.
        :param pool: name of its pool, empty while the engine isn't listed.
        :returns: the rate, which is updated by later samples.
        """
        rate = self._engines.get(engine)
        if rate is None:
            rate = SharedRate(engine=engine)
            self._engines[engine] = rate
        if pool:
            rate.join(self.pool_rate(pool))
        return rate

    def look(self, engine: str, pool: str) -> SharedRate | PoolRate:
        """Return the rate of an engine, or of its pool if it is unknown.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :returns: the rate.
        """
        return self._engines.get(engine) or self.pool_rate(pool)

    def pool_rate(self, pool: str) -> PoolRate:
        """Return the median rate of a pool.

        :param pool: name of the pool.
        :returns: the rate, which is updated by later samples.
        """
        rate = self._pools.get(pool)
        if rate is None:
            rate = PoolRate()
            self._pools[pool] = rate
        return rate

    def fixed_overhead_ms(self, pool: str) -> float | None:
        """Return the fixed overhead of first events of a pool.

        :param pool: name of the pool.
        :returns: milliseconds, None until there are enough samples.
        """
        return self.pool_rate(pool).fixed_overhead.fixed_overhead_ms

    def note(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: float,
        waiting: int = 0,
    ) -> None:
        """Add a sample of this gateway.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :param tokens: prefill tokens of a prompt and of those before it.
        :param elapsed_ms: milliseconds of prefill.
        :param waiting: tokens that were pending before the prompt. They are
            excluded: some had their prefill already, which would make the
            sample too high.
        """
        prompt_tokens = tokens - waiting
        if prompt_tokens < MIN_SAMPLE_TOKENS or elapsed_ms <= 0:
            return
        rate = _clamp_rate(prompt_tokens / elapsed_ms)
        shared, now_ms = self.find(engine, pool), self._clock.now_ms()
        # A prompt behind more tokens than its own shows only a lower bound of
        # the rate. Under high load there are few other prompts.
        if waiting > prompt_tokens and rate <= shared.tokens_per_ms:
            return
        if shared.window.needs_more_samples(now_ms):
            unreported = self._unreported.setdefault(
                engine, collections.deque(maxlen=_MAX_REPORTED_SAMPLES)
            )
            unreported.append(round(rate * _REPORTED_UNITS_PER_TOKEN))
        shared.window.note(rate, now_ms)
        shared.note_change()

    def note_short_prefill(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Update the fixed overhead from a prompt too short for a sample.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :param tokens: prefill tokens of the prompt and of those before it.
        :param elapsed_ms: milliseconds from sending it to its first event.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            prefill_ms = tokens / self.find(engine, pool).tokens_per_ms
            self.pool_rate(pool).fixed_overhead.note(elapsed_ms - prefill_ms)

    def merge_reported(self, engine: str, pool: str, rates: list[int]) -> None:
        """Merge samples that another gateway reported.

        :param engine: name of the engine.
        :param pool: name of its pool, empty while the engine isn't listed.
        :param rates: tenths of a token per millisecond, the newest last;
            negative numbers are rates that the other gateway estimated.
        """
        shared, now_ms = self.find(engine, pool), self._clock.now_ms()
        for tenths in rates:
            rate = _clamp_rate(abs(tenths) / _REPORTED_UNITS_PER_TOKEN)
            if tenths < 0:
                shared.window.note_peer_rate(rate, now_ms)
            else:
                shared.window.note(rate, now_ms)
        shared.note_change()

    def take_unreported(self) -> list[list[Any]]:
        """Return and clear the samples that were not reported to peers.

        :returns: for each engine its name and the rates in wire format.
        """
        unreported = self._unreported
        self._unreported = {}
        return [[engine, *rates] for engine, rates in unreported.items()]

    def encode_all(self) -> list[list[Any]]:
        """Encode the estimated rates for a gateway that starts.

        :returns: for each engine its name and its rate in wire format.
        """
        return [
            [engine, -round(shared.window.rate * _REPORTED_UNITS_PER_TOKEN)]
            for engine, shared in self._engines.items()
            if shared.window.rate is not None
        ]

    def retain_only(self, names: set[str]) -> None:
        """Remove engines that are not listed any more.

        Samples of engines that aren't listed yet are retained for a while: a
        gateway that starts receives them before it has the list of engines.

        :param names: names of the listed engines.
        """
        now_ms = self._clock.now_ms()
        for name in self._engines.keys() - names:
            self._unreported.pop(name, None)
            shared = self._engines[name]
            shared.leave()
            if shared.window.is_stale(now_ms):
                self._engines.pop(name)


def _clamp_rate(tokens_per_ms: float) -> float:
    return min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, tokens_per_ms))
