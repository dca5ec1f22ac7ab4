"""How many tokens of long prompts engines were sent lately.

Owns one fading sum an engine; both own prompts and those that peers tell count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.decaying_sum import DecayingSum

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Reads up to this length fit between the tokens of running streams: about the
# piece of a prompt that an engine reads at once.
SHORT_READ_TOKENS: Final = 1024
# Long enough that an engine which reads some long prompts a second is told
# apart from one that reads none, short enough to follow a burst.
_HALF_LIFE_MS: Final = 1000


@final
class LongReads:
    """Tokens of long reads that were sent to each engine, fading."""

    __slots__ = ('_clock', '_sums')

    def __init__(self, *, clock: Clock) -> None:
        """Start without a read.

        :param clock: the time, by which past reads fade.
        """
        self._clock = clock
        self._sums: dict[str, DecayingSum] = {}

    def note(self, engine: str, tokens: float) -> None:
        """Count a read that was sent.

        :param engine: the engine.
        :param tokens: its length.
        """
        known = self._sums.get(engine)
        if known is None:
            known = DecayingSum(half_life_ms=_HALF_LIFE_MS)
            self._sums[engine] = known
        known.add(tokens, self._clock.now_ms())

    def tokens(self, engine: str) -> float:
        """Tell how much an engine was sent.

        :param engine: the engine.
        :returns: tokens, those of a second ago counted half.
        """
        known = self._sums.get(engine)
        return known.at(self._clock.now_ms()) if known else 0

    def keep_only(self, names: set[str]) -> None:
        """Forget engines that are not listed any more.

        :param names: the engines that are listed.
        """
        for name in self._sums.keys() - names:
            self._sums.pop(name)
