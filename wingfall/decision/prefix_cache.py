"""What the engines are likely to hold of the prompts they have read.

Engines keep the parts of prompts until memory runs out, those unused the
longest give way first. The model follows where prompts were sent, by this
router and by its peers; a wrong guess costs the reading of a part.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

from wingfall.decision.shared_read import PendingRead

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.call import PromptPart

DEFAULT_CAPACITY_TOKENS: Final = 400_000


@final
class PrefixCache:
    """A model of one engine's memory of prompt parts."""

    __slots__ = ('_capacity', '_parts', '_ready_ms', '_tokens')

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY_TOKENS) -> None:
        """Start empty.

        :param capacity: tokens that the engine can keep.
        """
        self._capacity = capacity
        self._tokens = 0
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # When the parts that are still being read are likely read.
        self._ready_ms: dict[str, int] = {}

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

    def being_read(
        self,
        parts: Iterable[PromptPart],
        now_ms: int,
    ) -> PendingRead:
        """Tell how much of a prompt is being read for another one.

        :param parts: the shared parts of the prompt in order.
        :param now_ms: a reading of the clock.
        :returns: the parts that are not read yet.
        """
        pending = [part for part in parts if part.part_id in self._ready_ms]
        ready = [self._ready_ms[part.part_id] for part in pending]
        return PendingRead(
            tokens=sum(part.tokens for part in pending),
            ready_in_ms=max(ready, default=now_ms) - now_ms,
        )

    def note_read(self, parts: Iterable[PromptPart]) -> None:
        """Remember that a prompt has been read.

        :param parts: its shared parts.
        """
        for part in parts:
            self._ready_ms.pop(part.part_id, None)

    def note_unread(self, parts: Iterable[PromptPart]) -> None:
        """Forget what a prompt that has failed was to bring.

        :param parts: its shared parts.
        """
        for part in parts:
            if self._ready_ms.pop(part.part_id, None) is not None:
                self._tokens -= self._parts.pop(part.part_id, 0)

    def note(self, parts: Iterable[PromptPart], ready_ms: int = 0) -> None:
        """Remember that the engine reads a prompt.

        :param parts: the shared parts of the prompt in order.
        :param ready_ms: when it is likely read, 0 if it is already.
        """
        for part in parts:
            if ready_ms and part.part_id not in self._parts:
                self._ready_ms[part.part_id] = ready_ms
            self._tokens += part.tokens - self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
        while self._tokens > self._capacity:
            part_id, tokens = self._parts.popitem(last=False)
            self._ready_ms.pop(part_id, None)
            self._tokens -= tokens

    def recent(self, most: int) -> list[tuple[str, int]]:
        """List the parts used last, to tell a peer.

        :param most: how many.
        :returns: ids and tokens, the latest last.
        """
        return list(self._parts.items())[-most:]
