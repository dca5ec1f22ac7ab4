"""Speeds of all engines, and the average prefill rates of pools.

The speeds are stored by engine name. A setting selects how prefill rates are
measured: by each gateway alone, as an average that a new engine starts with as
well, or by all gateways together.
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
    """The measured prefill rates of engines."""

    def find(self, engine: str, pool: str) -> Rate:
        """Return the rate of an engine."""

    def look(self, engine: str, pool: str) -> Rate:
        """Return the rate of an engine, or of its pool if it is unknown."""

    def pool_rate(self, pool: str) -> Rate:
        """Return the overall rate of a pool's engines."""

    def note(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: float,
        waiting: int = 0,
    ) -> None:
        """Update the rates from a prompt whose answer has begun."""

    def note_short_prefill(
        self, engine: str, pool: str, tokens: int, elapsed_ms: float
    ) -> None:
        """Record a prompt that is too short to measure the prefill rate."""

    def fixed_overhead_ms(self, pool: str) -> float | None:
        """Return the fixed time of a first event, None if not measured."""

    def merge_reported(self, engine: str, pool: str, rates: list[int]) -> None:
        """Merge samples that another gateway reported."""

    def take_unreported(self) -> list[list[Any]]:
        """Return and clear the samples not yet reported to peers."""

    def encode_all(self) -> list[list[Any]]:
        """Encode all rates for a gateway that starts."""

    def retain_only(self, names: set[str]) -> None:
        """Remove engines that are no longer listed."""


class RatesFactory(Protocol):
    """A factory of prefill rates."""

    def __call__(self, *, clock: Clock) -> Rates:
        """Create rates without samples."""


read_rates: Final[Registry[RatesFactory]] = Registry(kind='read rates')
read_rates.register('own')(OwnRates)
read_rates.register('shared')(SharedRates)


@final
class EngineSpeeds:
    """The speeds of all engines by name."""

    __slots__ = ('_by_engine', '_full_gaps', '_longest_gaps', 'rates')

    def __init__(
        self,
        *,
        rates: Rates | None = None,
        full_gaps: FullGaps | None = None,
    ) -> None:
        """Initialize the speeds without samples.

        :param rates: prefill rates of the engines.
        :param full_gaps: stores each engine's gaps during prefill, if given.
        """
        self.rates: Rates = rates or OwnRates()
        self._full_gaps = full_gaps
        self._by_engine: dict[str, EngineSpeed] = {}
        self._longest_gaps: dict[str, LongestGap] = {}

    def find(self, engine: str, pool: str) -> EngineSpeed:
        """Return the speed of an engine.

        :param engine: name of the engine.
        :param pool: its pool, whose estimates a new engine starts with.
        :returns: the speed, which follows later samples.
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

    def pool_rate(self, pool: str) -> Rate:
        """Return the overall prefill rate of a pool's engines.

        :param pool: name of the pool.
        :returns: the rate.
        """
        return self.rates.pool_rate(pool)

    def note_start(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: int,
        waiting: int = 0,
    ) -> None:
        """Record a prompt whose answer has begun.

        :param engine: name of the engine that prefilled the prompt.
        :param pool: name of the engine's pool.
        :param tokens: prefill tokens of the prompt and of those before it.
        :param elapsed_ms: milliseconds from sending the prompt to the first
            event of its answer.
        :param waiting: how many of the tokens were pending before the prompt.
        """
        self.rates.note_short_prefill(engine, pool, tokens, elapsed_ms)
        fixed_overhead_ms = self.rates.fixed_overhead_ms(pool)
        if fixed_overhead_ms is None:
            # The first event takes a step of its own after the prefill.
            fixed_overhead_ms = self.find(engine, pool).idle_gap_ms
        prefill_ms = elapsed_ms - fixed_overhead_ms
        self.rates.note(engine, pool, tokens, prefill_ms, waiting)

    def retain_only(self, names: set[str]) -> None:
        """Remove engines that are no longer listed.

        :param names: names of the listed engines.
        """
        self.rates.retain_only(names)
        for name in self._by_engine.keys() - names:
            self._by_engine.pop(name)
