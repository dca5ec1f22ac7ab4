"""What is known of a prompt before it runs: its parts and their tokens.

Parts that other prompts share come first; the last one is its own.
"""

from __future__ import annotations

from typing import final


@final
class PromptPart:
    """A piece of a prompt that other prompts may share."""

    __slots__ = ('part_id', 'tokens')

    def __init__(self, *, part_id: str, tokens: int) -> None:
        """Describe a part.

        :param part_id: names the same piece in all prompts.
        :param tokens: its length.
        """
        self.part_id = part_id
        self.tokens = tokens


@final
class Prompt:
    """What is known of a prompt before it runs."""

    __slots__ = ('output_tokens', 'parts')

    def __init__(
        self,
        *,
        parts: tuple[PromptPart, ...] = (),
        output_tokens: int = 0,
    ) -> None:
        """Describe a prompt.

        :param parts: its pieces in order; the last is its own.
        :param output_tokens: likely length of the answer.
        """
        self.parts = parts
        self.output_tokens = output_tokens

    @property
    def tokens(self) -> int:
        """Length of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """All parts but the last."""
        return self.parts[:-1]
