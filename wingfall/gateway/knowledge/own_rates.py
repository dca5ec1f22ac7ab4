"""How fast engines read, by what this gateway alone has seen."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from wingfall.gateway.knowledge.engine_speed import ReadRate

if TYPE_CHECKING:
    from wingfall.clock import Clock


@final
class OwnRates:
    """Rates that each gateway learns by itself, as the baseline."""

    __slots__ = ('_by_engine', '_by_pool')

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Start without a reading.

        :param clock: not needed, averages do not age.
        """
        self._by_engine: dict[str, ReadRate] = {}
        self._by_pool: dict[str, ReadRate] = {}

    def find(self, engine: str, pool: str) -> ReadRate:
        """Give the rate of an engine.

        :param engine: its name.
        :param pool: its pool, whose average a new engine starts with.
        :returns: the rate.
        """
        rate = self._by_engine.get(engine)
        if rate is None:
            rate = ReadRate(tokens_per_ms=self.of_pool(pool).tokens_per_ms)
            self._by_engine[engine] = rate
        return rate

    def look(self, engine: str, pool: str) -> ReadRate:
        """Give the rate of an engine, or its pool's while it is unseen.

        :param engine: its name.
        :param pool: its pool.
        :returns: the rate.
        """
        return self._by_engine.get(engine) or self.of_pool(pool)

    def of_pool(self, pool: str) -> ReadRate:
        """Give how fast the engines of a pool read on average.

        :param pool: its name.
        :returns: the rate.
        """
        return self._by_pool.setdefault(pool, ReadRate())

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
        # Of what waited, part was read already; that must not count for much.
        if waiting > tokens - waiting:
            return
        self.find(engine, pool).note(tokens, elapsed_ms)
        self.of_pool(pool).note(tokens, elapsed_ms)

    def note_short(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Learn nothing from a short prompt.

        :param engine: the engine.
        :param pool: its pool.
        :param tokens: what was to be read.
        :param elapsed_ms: time from its sending to its first event.
        """

    def fixed_ms(self, pool: str) -> None:
        """Know no fixed time.

        :param pool: name of the pool.
        """

    def take_told(self, engine: str, pool: str, rates: list[int]) -> None:
        """Pass over what another gateway tells.

        :param engine: the engine.
        :param pool: its pool.
        :param rates: what it read.
        """

    def take_untold(self) -> list[list[Any]]:
        """Tell nothing.

        :returns: nothing.
        """
        return []

    def write_all(self) -> list[list[Any]]:
        """Tell nothing.

        :returns: nothing.
        """
        return []

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        :param names: the engines that are listed.
        """
        for name in self._by_engine.keys() - names:
            self._by_engine.pop(name)
