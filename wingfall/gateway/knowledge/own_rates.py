"""Prefill rates of engines, estimated from this gateway's samples."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from wingfall.gateway.knowledge.engine_speed import PrefillRate

if TYPE_CHECKING:
    from wingfall.clock import Clock


@final
class OwnRates:
    """Rates that each gateway estimates by itself, the baseline."""

    __slots__ = ('_by_engine', '_by_pool')

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Create rates without samples.

        :param clock: unused, since averages do not age.
        """
        self._by_engine: dict[str, PrefillRate] = {}
        self._by_pool: dict[str, PrefillRate] = {}

    def find(self, engine: str, pool: str) -> PrefillRate:
        """Return the rate of an engine, created if it is missing.

        :param engine: name of the engine.
        :param pool: name of its pool, whose rate a new engine starts with.
        :returns: the rate.
        """
        rate = self._by_engine.get(engine)
        if rate is None:
            rate = PrefillRate(tokens_per_ms=self.pool_rate(pool).tokens_per_ms)
            self._by_engine[engine] = rate
        return rate

    def look(self, engine: str, pool: str) -> PrefillRate:
        """Return the rate of an engine, or of its pool if it is unknown.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :returns: the rate.
        """
        return self._by_engine.get(engine) or self.pool_rate(pool)

    def pool_rate(self, pool: str) -> PrefillRate:
        """Return the average rate of a pool.

        :param pool: name of the pool.
        :returns: the rate.
        """
        return self._by_pool.setdefault(pool, PrefillRate())

    def note(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: float,
        waiting: int = 0,
    ) -> None:
        """Update the rates from a prompt whose response has begun.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :param tokens: prefill tokens of the prompt and of those before it.
        :param elapsed_ms: milliseconds of prefill.
        :param waiting: tokens that were pending before the prompt.
        """
        # Some pending tokens had their prefill already, so that a sample with
        # many of them would be too high.
        if waiting > tokens - waiting:
            return
        self.find(engine, pool).note(tokens, elapsed_ms)
        self.pool_rate(pool).note(tokens, elapsed_ms)

    def note_short_prefill(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Ignore a prompt too short for a sample.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :param tokens: prefill tokens.
        :param elapsed_ms: milliseconds from sending it to its first event.
        """

    def fixed_overhead_ms(self, pool: str) -> None:
        """Return no fixed overhead.

        :param pool: name of the pool.
        """

    def merge_reported(self, engine: str, pool: str, rates: list[int]) -> None:
        """Ignore samples of another gateway.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :param rates: the reported rates.
        """

    def take_unreported(self) -> list[list[Any]]:
        """Return no samples to report.

        :returns: an empty list.
        """
        return []

    def encode_all(self) -> list[list[Any]]:
        """Return no rates for a gateway that starts.

        :returns: an empty list.
        """
        return []

    def retain_only(self, names: set[str]) -> None:
        """Remove engines that are not listed any more.

        :param names: names of the listed engines.
        """
        for name in self._by_engine.keys() - names:
            self._by_engine.pop(name)
