"""How fast all engines are, each by itself and a pool's on average.

Owns them by name. How rates are learned is a choice of the settings: by each
gateway alone, as an average that a new engine begins with as well, or by all
gateways together.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, Protocol, final

from wingfall.gateway.knowledge.engine_speed import (
    EngineSpeed,
    LongestGap,
    Rate,
)
from wingfall.gateway.knowledge.own_rates import OwnRates
from wingfall.gateway.knowledge.shared_rates import SharedRates
from wingfall.registry import Registry

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.full_gaps import FullGaps


class Rates(Protocol):
    """How the rates of engines are learned."""

    def find(self, engine: str, pool: str) -> Rate:
        """Give the rate of an engine."""

    def look(self, engine: str, pool: str) -> Rate:
        """Give the rate of an engine, or its pool's, and learn nothing."""

    def of_pool(self, pool: str) -> Rate:
        """Give the rate of a pool's engines on the whole."""

    def note(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: float,
        waiting: int = 0,
    ) -> None:
        """Learn from a prompt whose answer has begun."""

    def note_short(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Learn from one that was too short to tell of the reading."""

    def fixed_ms(self, pool: str) -> float | None:
        """Tell the fixed time of a first event, None if it isn't learned."""

    def take_told(self, engine: str, pool: str, rates: list[int]) -> None:
        """Take readings of another gateway."""

    def take_untold(self) -> list[list[Any]]:
        """Take the readings that peers have not heard of."""

    def write_all(self) -> list[list[Any]]:
        """Write what is known, for a gateway that starts."""

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more."""


class RatesFactory(Protocol):
    """How the rates of engines are made."""

    def __call__(self, *, clock: Clock) -> Rates:
        """Make them without a reading."""


read_rates: Final[Registry[RatesFactory]] = Registry(kind='read rates')
read_rates.register('own')(OwnRates)
read_rates.register('shared')(SharedRates)


@final
class EngineSpeeds:
    """How fast each engine is."""

    __slots__ = ('_by_engine', '_full_gaps', '_longest_gaps', 'rates')

    def __init__(
        self,
        *,
        rates: Rates | None = None,
        full_gaps: FullGaps | None = None,
    ) -> None:
        """Start without a measurement.

        :param rates: how fast engines read.
        :param full_gaps: keeps gaps beside reads of each engine, if given.
        """
        self.rates: Rates = rates or OwnRates()
        self._full_gaps = full_gaps
        self._by_engine: dict[str, EngineSpeed] = {}
        self._longest_gaps: dict[str, LongestGap] = {}

    def find(self, engine: str, pool: str) -> EngineSpeed:
        """Give what an engine has shown.

        :param engine: its name.
        :param pool: its pool, by whose engines a new engine is judged.
        :returns: its speed.
        """
        speed = self._by_engine.get(engine)
        if speed is None:
            gaps = self._full_gaps
            speed = EngineSpeed(
                rate=self.rates.find(engine, pool),
                longest_gap=self._longest_gaps.setdefault(pool, LongestGap()),
                full_gaps=gaps.find(engine) if gaps else None,
            )
            self._by_engine[engine] = speed
        return speed

    def average(self, pool: str) -> Rate:
        """Give how fast the engines of a pool read on the whole.

        :param pool: its name.
        :returns: the rate.
        """
        return self.rates.of_pool(pool)

    def note_start(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: int,
        waiting: int = 0,
    ) -> None:
        """Learn from a prompt whose answer has begun.

        :param engine: the engine that read it.
        :param pool: its pool.
        :param tokens: what was to be read before it and for it.
        :param elapsed_ms: time from its sending to its first event.
        :param waiting: how much of that was before it.
        """
        self.rates.note_short(engine, pool, tokens, elapsed_ms)
        fixed_ms = self.rates.fixed_ms(pool)
        if fixed_ms is None:
            # The first event takes a step of its own after the reading.
            fixed_ms = self.find(engine, pool).idle_gap_ms
        read_ms = elapsed_ms - fixed_ms
        self.rates.note(engine, pool, tokens, read_ms, waiting)

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        :param names: the engines that are listed.
        """
        self.rates.keep_only(names)
        for name in self._by_engine.keys() - names:
            self._by_engine.pop(name)
