"""How fast all engines are, each by itself and a pool's on average.

Owns them by name; a new engine starts with the average of its pool.
"""

from __future__ import annotations

from typing import Any, final

from wingfall.gateway.knowledge.engine_speed import (
    EngineSpeed,
    LongestGap,
    ReadRate,
)


@final
class EngineSpeeds:
    """How fast each engine is, and the engines of a pool on average."""

    __slots__ = ('_by_engine', '_by_pool', '_longest_gaps')

    def __init__(self) -> None:
        """Start without a measurement."""
        self._by_engine: dict[str, EngineSpeed] = {}
        self._by_pool: dict[str, ReadRate] = {}
        self._longest_gaps: dict[str, LongestGap] = {}

    def find(self, engine: str, pool: str) -> EngineSpeed:
        """Give what an engine has shown.

        :param engine: its name.
        :param pool: its pool, whose average a new engine starts with.
        :returns: its speed.
        """
        speed = self._by_engine.get(engine)
        if speed is None:
            speed = EngineSpeed(
                tokens_per_ms=self.average(pool).tokens_per_ms,
                longest_gap=self._longest_gaps.setdefault(pool, LongestGap()),
            )
            self._by_engine[engine] = speed
        return speed

    def average(self, pool: str) -> ReadRate:
        """Give how fast the engines of a pool read on average.

        :param pool: its name.
        :returns: the rate.
        """
        return self._by_pool.setdefault(pool, ReadRate())

    def note_start(
        self,
        engine: str,
        pool: str,
        tokens: int,
        elapsed_ms: int,
    ) -> None:
        """Learn from a prompt whose answer has begun.

        :param engine: the engine that read it.
        :param pool: its pool.
        :param tokens: what was to be read before it and for it.
        :param elapsed_ms: time from its sending to its first event.
        """
        speed = self.find(engine, pool)
        # The first event takes a step of its own after the reading.
        read_ms = elapsed_ms - speed.idle_gap_ms
        speed.rate.note(tokens, read_ms)
        self.average(pool).note(tokens, read_ms)

    def take_told(self, engine: str, pool: str, rates: list[int]) -> None:
        """Take readings of an engine that another gateway has seen.

        :param engine: its name.
        :param pool: its pool.
        :param rates: tenths of a token a millisecond, the newest last.
        """

    def take_untold(self) -> list[list[Any]]:
        """Take the readings that peers have not heard of, as in a heartbeat.

        :returns: for each engine its name and the rates, the newest last.
        """
        return []

    def write_all(self) -> list[list[Any]]:
        """Write what is known of all engines, for a gateway that starts.

        :returns: for each engine its name and the rates, the newest last.
        """
        return []

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        :param names: the engines that are listed.
        """
        for name in self._by_engine.keys() - names:
            self._by_engine.pop(name)
