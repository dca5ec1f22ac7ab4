"""Parts of a prompt and their tokens, as known before it runs.

Parts shared with other prompts come first; the last part is not shared.
"""

from __future__ import annotations

from typing import final


@final
class PromptPart:
    """Part of a prompt that other prompts may share."""

    __slots__ = ('part_id', 'tokens')

    def __init__(self, *, part_id: str, tokens: int) -> None:
        """Create a prompt part.

        :param part_id: id of the part, the same in all prompts.
        :param tokens: length in tokens.
        """
        self.part_id = part_id
        self.tokens = tokens


@final
class Prompt:
    """Properties of a prompt that are known before it runs."""

    __slots__ = ('output_tokens', 'parts')

    def __init__(
        self,
        *,
        parts: tuple[PromptPart, ...] = (),
        output_tokens: int = 0,
    ) -> None:
        """Create a prompt.

        :param parts: its parts in order; the last is not shared.
        :param output_tokens: expected length of the answer in tokens.
        """
        self.parts = parts
        self.output_tokens = output_tokens

    @property
    def tokens(self) -> int:
        """Length of the whole prompt in tokens."""
        return sum(part.tokens for part in self.parts)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other prompts may share: all but the last."""
        return self.parts[:-1]
