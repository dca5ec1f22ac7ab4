"""What the engines are likely to hold of the prompts they have read.

Engines keep the parts of prompts until memory runs out, those unused the
longest give way first. The model follows where prompts were sent, by this
router and by its peers; a wrong guess costs the reading of a part.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.call import PromptPart

DEFAULT_CAPACITY_TOKENS: Final = 400_000


@final
class PrefixCache:
    """A model of one engine's memory of prompt parts."""

    __slots__ = ('_capacity', '_parts', '_tokens')

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY_TOKENS) -> None:
        """Start empty.

        :param capacity: tokens that the engine can keep.
        """
        self._capacity = capacity
        self._tokens = 0
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def tokens(self) -> int:
        """Tokens of all parts that are likely kept."""
        return self._tokens

    def cached_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Tell how much of a prompt need not be read again.

        :param parts: the shared parts of the prompt in order.
        :returns: tokens of the leading parts that are kept.
        """
        total = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            total += part.tokens
        return total

    def note(self, parts: Iterable[PromptPart]) -> None:
        """Remember that the engine reads a prompt.

        :param parts: the shared parts of the prompt in order.
        """
        for part in parts:
            self._tokens += part.tokens - self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
        while self._tokens > self._capacity:
            _part_id, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def recent(self, most: int) -> list[tuple[str, int]]:
        """List the parts used last, to tell a peer.

        :param most: how many.
        :returns: ids and tokens, the latest last.
        """
        return list(self._parts.items())[-most:]
