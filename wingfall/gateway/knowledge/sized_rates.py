"""How fast engines read: in some pools learned apart, in others together.

Answers a small pool, each engine of which each gateway sees so often that its
own average settles and follows what the engine does at the moment, beside a
large one, where many gateways see little of each engine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, final

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.engine_speed import Rate
    from wingfall.gateway.knowledge.engine_speeds import Rates


@final
class SizedRate:
    """The rate of one engine, by how its pool is judged now."""

    __slots__ = ('_rates', 'engine', 'pool')

    def __init__(self, *, rates: SizedRates, engine: str) -> None:
        """Start in no pool.

        :param rates: the rates of all engines.
        :param engine: its name.
        """
        self._rates = rates
        self.engine = engine
        self.pool = ''

    @property
    def tokens_per_ms(self) -> float:
        """Tokens that the engine reads in a millisecond."""
        return self._rates.look(self.engine, self.pool).tokens_per_ms


@final
class SizedRates:
    """Rates of two kinds, learned apart and together."""

    __slots__ = ('_by_engine', '_is_together', '_shared', '_own')

    def __init__(
        self,
        *,
        own: Rates,
        shared: Rates,
        is_together: Callable[[str], bool],
    ) -> None:
        """Join the kinds.

        :param own: rates that this gateway learns by itself.
        :param shared: those that gateways share.
        :param is_together: tells whether gateways judge a pool together.
        """
        self._own = own
        self._shared = shared
        self._is_together = is_together
        self._by_engine: dict[str, SizedRate] = {}

    def find(self, engine: str, pool: str) -> SizedRate:
        """Give the rate of an engine.

        An engine may be heard of before it is listed, so that its pool is taken
        whenever it is told.

        :param engine: its name.
        :param pool: its pool, empty while the engine isn't listed.
        :returns: the rate, which follows later readings.
        """
        self._own.find(engine, pool)
        self._shared.find(engine, pool)
        rate = self._by_engine.get(engine)
        if rate is None:
            rate = SizedRate(rates=self, engine=engine)
            self._by_engine[engine] = rate
        rate.pool = pool or rate.pool
        return rate

    def look(self, engine: str, pool: str) -> Rate:
        """Give the rate of an engine, or its pool's while it is unseen.

        :param engine: its name.
        :param pool: its pool.
        :returns: the rate.
        """
        return self._of(pool).look(engine, pool)

    def of_pool(self, pool: str) -> Rate:
        """Give the rate of a pool's engines on the whole.

        :param pool: its name.
        :returns: the rate.
        """
        return self._of(pool).of_pool(pool)

    def note(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: float,
        waiting: int = 0,
    ) -> None:
        """Learn from a prompt whose answer has begun.

        :param engine: the engine that read it.
        :param pool: its pool.
        :param tokens: what was to be read before it and for it.
        :param elapsed_ms: how long reading took.
        :param waiting: how much of that was before it.
        """
        self.find(engine, pool)
        for rates in (self._own, self._shared):
            rates.note(engine, pool, tokens, elapsed_ms, waiting)

    def note_short(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Learn from one that was too short to tell of the reading.

        :param engine: the engine.
        :param pool: its pool.
        :param tokens: what was to be read.
        :param elapsed_ms: time from its sending to its first event.
        """
        for rates in (self._own, self._shared):
            rates.note_short(engine, pool, tokens, elapsed_ms)

    def fixed_ms(self, pool: str) -> float | None:
        """Tell the fixed time of a pool's first events.

        :param pool: its name.
        :returns: milliseconds, None if it isn't learned.
        """
        return self._of(pool).fixed_ms(pool)

    def take_told(self, engine: str, pool: str, rates: list[int]) -> None:
        """Take readings of another gateway.

        :param engine: the engine.
        :param pool: its pool.
        :param rates: what it told.
        """
        self.find(engine, pool)
        self._shared.take_told(engine, pool, rates)

    def take_untold(self) -> list[list[Any]]:
        """Take the readings that peers have not heard of.

        :returns: for each engine its name and what is told.
        """
        return self._shared.take_untold()

    def write_all(self) -> list[list[Any]]:
        """Write what is known, for a gateway that starts.

        :returns: for each engine its name and what is told.
        """
        return self._shared.write_all()

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        :param names: the engines that are listed.
        """
        self._own.keep_only(names)
        self._shared.keep_only(names)
        for name in self._by_engine.keys() - names:
            self._by_engine.pop(name)

    def _of(self, pool: str) -> Rates:
        return self._shared if self._is_together(pool) else self._own
