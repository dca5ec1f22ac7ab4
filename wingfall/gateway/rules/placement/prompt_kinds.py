"""How long the prompts of each kind are, a kind being those with one gap."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.rules.placement.shortlist import SHORT_PROMPT_TOKENS

if TYPE_CHECKING:
    from wingfall.gateway.rules.placement.candidate import Demand

# Part of a new prompt's length in the mean of its kind. Fifty prompts tell what
# is asked.
_LENGTH_WEIGHT: Final = 0.05


@final
class PromptKinds:
    """The mean length of the prompts whose streams bear a gap."""

    __slots__ = ('_lengths',)

    def __init__(self) -> None:
        """Start without a prompt."""
        # Tokens by the gap in milliseconds.
        self._lengths: dict[int, float] = {}

    def note(self, demand: Demand) -> None:
        """Learn from a prompt.

        :param demand: what it asks.
        """
        gap_ms = demand.gap_target_ms
        if gap_ms is not None:
            mean = self._lengths.get(gap_ms, demand.tokens)
            mean += (demand.tokens - mean) * _LENGTH_WEIGHT
            self._lengths[gap_ms] = mean

    def is_short(self, gap_ms: int) -> bool:
        """Tell whether the prompts of a kind are short.

        :param gap_ms: the longest gap that its streams bear.
        :returns: whether they are, False if there was none.
        """
        return 0 < self._lengths.get(gap_ms, 0) <= SHORT_PROMPT_TOKENS

    def is_long(self, demand: Demand) -> bool:
        """Tell whether a prompt goes where long ones go.

        Prompts of one kind go one way: a short one among long ones is read
        with many others, and a long one among short ones is seldom.

        :param demand: what it asks.
        :returns: whether its kind is long; by itself where it bears any gap.
        """
        if demand.gap_target_ms is None:
            return demand.tokens > SHORT_PROMPT_TOKENS
        return not self.is_short(demand.gap_target_ms)
