"""Mean prompt lengths by token gap target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.rules.placement.shortlist import SHORT_PROMPT_TOKENS

if TYPE_CHECKING:
    from wingfall.gateway.rules.placement.candidate import Demand

# Weight of a new prompt's length in the moving average, which about fifty
# prompts determine.
_NEW_LENGTH_WEIGHT: Final = 0.05


@final
class PromptLengths:
    """The mean length of the prompts of each token gap target."""

    __slots__ = ('_mean_tokens',)

    def __init__(self) -> None:
        """Create an empty record."""
        # Mean tokens by the token gap target in milliseconds.
        self._mean_tokens: dict[int, float] = {}

    def note(self, demand: Demand) -> None:
        """Record the length of a prompt.

        :param demand: the demand of the prompt.
        """
        gap_ms = demand.gap_target_ms
        if gap_ms is not None:
            mean = self._mean_tokens.get(gap_ms, demand.tokens)
            mean += (demand.tokens - mean) * _NEW_LENGTH_WEIGHT
            self._mean_tokens[gap_ms] = mean

    def is_short(self, gap_ms: int) -> bool:
        """Check if the prompts with a token gap target are short.

        :param gap_ms: the token gap target in milliseconds.
        :returns: True if their mean length is short, False if unknown.
        """
        return 0 < self._mean_tokens.get(gap_ms, 0) <= SHORT_PROMPT_TOKENS

    def is_long(self, demand: Demand) -> bool:
        """Check if a prompt is placed as a long prompt.

        Prompts with one token gap target are placed alike: a short prompt
        among long ones is prefilled with many others, and a long prompt among
        short ones is rare.

        :param demand: the demand of the prompt.
        :returns: True if the prompts with its token gap target are long; a
            prompt without a target is judged by its own length.
        """
        if demand.gap_target_ms is None:
            return demand.tokens > SHORT_PROMPT_TOKENS
        return not self.is_short(demand.gap_target_ms)
