"""Prefill rates of engines, local or shared depending on the pool.

In a small pool each gateway uses each engine so often that its own average
settles and follows the engine's present rate. In a large pool many gateways
have few samples of each engine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, final

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.engine_speed import Rate
    from wingfall.gateway.knowledge.engine_speeds import Rates


@final
class SelectedRate:
    """The rate of an engine, of the kind that its pool uses at present."""

    __slots__ = ('_rates', 'engine', 'pool')

    def __init__(self, *, rates: SelectedRates, engine: str) -> None:
        """Create the rate of an engine without a pool.

        :param rates: the rates of all engines.
        :param engine: name of the engine.
        """
        self._rates = rates
        self.engine = engine
        self.pool = ''

    @property
    def tokens_per_ms(self) -> float:
        """Prefill rate of the engine in tokens per millisecond."""
        return self._rates.look(self.engine, self.pool).tokens_per_ms


@final
class SelectedRates:
    """Rates that are local or shared, selected for each pool."""

    __slots__ = ('_by_engine', '_is_shared_pool', '_shared', '_own')

    def __init__(
        self,
        *,
        own: Rates,
        shared: Rates,
        is_shared_pool: Callable[[str], bool],
    ) -> None:
        """Create rates from both kinds.

        :param own: rates that this gateway estimates by itself.
        :param shared: rates that gateways share.
        :param is_shared_pool: returns whether a pool uses the shared rates.
        """
        self._own = own
        self._shared = shared
        self._is_shared_pool = is_shared_pool
        self._by_engine: dict[str, SelectedRate] = {}

    def find(self, engine: str, pool: str) -> SelectedRate:
        """Return the rate of an engine, created if it is missing.

        An engine may be known before it is listed, so that its pool is set by
        any later call that names it.

        :param engine: name of the engine.
        :param pool: name of its pool, empty while the engine isn't listed.
        :returns: the rate, which is updated by later samples.
        """
        self._own.find(engine, pool)
        self._shared.find(engine, pool)
        rate = self._by_engine.get(engine)
        if rate is None:
            rate = SelectedRate(rates=self, engine=engine)
            self._by_engine[engine] = rate
        rate.pool = pool or rate.pool
        return rate

    def look(self, engine: str, pool: str) -> Rate:
        """Return the rate of an engine, or of its pool if it is unknown.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :returns: the rate.
        """
        return self._rates_of(pool).look(engine, pool)

    def pool_rate(self, pool: str) -> Rate:
        """Return the overall rate of a pool.

        :param pool: name of the pool.
        :returns: the rate.
        """
        return self._rates_of(pool).pool_rate(pool)

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
        self.find(engine, pool)
        for rates in (self._own, self._shared):
            rates.note(engine, pool, tokens, elapsed_ms, waiting)

    def note_short_prefill(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Update the rates from a prompt too short for a sample.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :param tokens: prefill tokens.
        :param elapsed_ms: milliseconds from sending it to its first event.
        """
        for rates in (self._own, self._shared):
            rates.note_short_prefill(engine, pool, tokens, elapsed_ms)

    def fixed_overhead_ms(self, pool: str) -> float | None:
        """Return the fixed overhead of first events of a pool.

        :param pool: name of the pool.
        :returns: milliseconds, None if it is unknown.
        """
        return self._rates_of(pool).fixed_overhead_ms(pool)

    def merge_reported(self, engine: str, pool: str, rates: list[int]) -> None:
        """Merge samples that another gateway reported.

        :param engine: name of the engine.
        :param pool: name of its pool.
        :param rates: the reported rates.
        """
        self.find(engine, pool)
        self._shared.merge_reported(engine, pool, rates)

    def take_unreported(self) -> list[list[Any]]:
        """Return and clear the samples that were not reported to peers.

        :returns: for each engine its name and the rates in wire format.
        """
        return self._shared.take_unreported()

    def encode_all(self) -> list[list[Any]]:
        """Encode the shared rates for a gateway that starts.

        :returns: for each engine its name and its rate in wire format.
        """
        return self._shared.encode_all()

    def retain_only(self, names: set[str]) -> None:
        """Remove engines that are not listed any more.

        :param names: names of the listed engines.
        """
        self._own.retain_only(names)
        self._shared.retain_only(names)
        for name in self._by_engine.keys() - names:
            self._by_engine.pop(name)

    def _rates_of(self, pool: str) -> Rates:
        return self._shared if self._is_shared_pool(pool) else self._own
