"""Tokens of long prompts that were recently sent to each engine.

Stores one decaying sum per engine of the prompts of this gateway and of those
that peers report.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.decaying_sum import DecayingSum

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Prefills up to this length fit between the tokens of running streams: about
# the chunk of a prompt that an engine prefills at once.
SHORT_PREFILL_TOKENS: Final = 1024
# Long enough to distinguish an engine that prefills some long prompts a second
# from an engine without long prompts, short enough to follow a burst.
_HALF_LIFE_MS: Final = 1000


@final
class LongPrefills:
    """Decaying sums of the long prefill tokens sent to each engine."""

    __slots__ = ('_clock', '_sums')

    def __init__(self, *, clock: Clock) -> None:
        """Initialize the sums as empty.

        :param clock: the clock by which past prefills decay.
        """
        self._clock = clock
        self._sums: dict[str, DecayingSum] = {}

    def note(self, engine: str, tokens: float) -> None:
        """Record a long prefill that was sent to an engine.

        :param engine: name of the engine.
        :param tokens: length of the prefill in tokens.
        """
        engine_sum = self._sums.get(engine)
        if engine_sum is None:
            engine_sum = DecayingSum(half_life_ms=_HALF_LIFE_MS)
            self._sums[engine] = engine_sum
        engine_sum.add(tokens, self._clock.now_ms())

    def tokens(self, engine: str) -> float:
        """Return the decayed sum of tokens sent to an engine.

        :param engine: name of the engine.
        :returns: number of tokens, those of a second ago counted half.
        """
        engine_sum = self._sums.get(engine)
        return engine_sum.at(self._clock.now_ms()) if engine_sum else 0

    def retain_only(self, names: set[str]) -> None:
        """Remove engines that are no longer listed.

        :param names: names of the listed engines.
        """
        for name in self._sums.keys() - names:
            self._sums.pop(name)
