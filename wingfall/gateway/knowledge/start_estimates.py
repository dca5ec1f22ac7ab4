"""When first events come, beside when they were estimated to come.

An estimate by what waits at an engine knows neither that urgent prompts
overtake there, nor how much of what waits was read already, nor what other
gateways have sent since. How far it is off on the whole is learned for each
pool and tier.
"""

from __future__ import annotations

from typing import final


@final
class StartEstimates:
    """Corrects estimates of first events by what came."""

    __slots__ = ()

    def expected_ms(self, pool: str, tier: int, estimate_ms: float) -> float:
        """Correct an estimate.

        :param pool: name of the pool.
        :param tier: how urgent the prompt is at its engine, 0 the most.
        :param estimate_ms: milliseconds to the first event by what waits.
        :returns: milliseconds to the first event as it is likely to come.
        """
        return estimate_ms

    def note(
        self,
        pool: str,
        tier: int,
        estimate_ms: float,
        came_ms: float,
    ) -> None:
        """Learn from a first event.

        :param pool: name of the pool.
        :param tier: how urgent the prompt was at its engine.
        :param estimate_ms: milliseconds as they were estimated by what waited.
        :param came_ms: milliseconds as they came.
        """
