"""What the engines are likely to hold of the prompts they have read.

Engines keep the parts of prompts until memory runs out, those unused the
longest give way first. The model follows where prompts were sent, by this
gateway and by its peers; a wrong guess costs the reading of a part.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.model.prompt import PromptPart

# Tokens that an engine holds whose memory isn't known. About what the engines
# seen so far hold; a wrong guess costs the reading of a part.
DEFAULT_CAPACITY_TOKENS: Final = 400_000


@final
class PendingRead:
    """Parts of a prompt that an engine reads for another prompt."""

    __slots__ = ('ready_in_ms', 'tokens')

    def __init__(self, *, tokens: int, ready_in_ms: int) -> None:
        """Describe the reading.

        :param tokens: length of the parts.
        :param ready_in_ms: when they are read, by an estimate.
        """
        self.tokens = tokens
        self.ready_in_ms = ready_in_ms


@final
class PartIndex:
    """Which engines are likely to keep a part, without asking each."""

    __slots__ = ('_engines',)

    def __init__(self) -> None:
        """Start empty."""
        self._engines: dict[str, set[str]] = {}

    def engines(self, part_id: str) -> set[str]:
        """Name the engines that keep a part.

        :param part_id: id of the part.
        :returns: names of the engines.
        """
        return self._engines.get(part_id, set())

    def add(self, part_id: str, engine: str) -> None:
        """Note that an engine keeps a part.

        :param part_id: id of the part.
        :param engine: name of the engine.
        """
        self._engines.setdefault(part_id, set()).add(engine)

    def discard(self, part_id: str, engine: str) -> None:
        """Note that an engine keeps a part no longer.

        :param part_id: id of the part.
        :param engine: name of the engine.
        """
        engines = self._engines.get(part_id, set())
        engines.discard(engine)
        if not engines:
            self._engines.pop(part_id, None)


@final
class PrefixCache:
    """A model of one engine's memory of prompt parts."""

    __slots__ = (
        '_capacity',
        '_engine',
        '_index',
        '_parts',
        '_ready_ms',
        '_tokens',
    )

    def __init__(
        self,
        *,
        engine: str = '',
        index: PartIndex | None = None,
        capacity: int = DEFAULT_CAPACITY_TOKENS,
    ) -> None:
        """Start empty.

        :param engine: name of the engine.
        :param index: where it is noted what the engine keeps.
        :param capacity: tokens that the engine can keep.
        """
        self._engine = engine
        self._index = index or PartIndex()
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

    def pending_read(
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

    def confirm_read(self, parts: Iterable[PromptPart]) -> None:
        """Remember that a prompt has been read.

        :param parts: its shared parts.
        """
        for part in parts:
            self._ready_ms.pop(part.part_id, None)

    def drop_unconfirmed(self, parts: Iterable[PromptPart]) -> None:
        """Forget the parts of a prompt that have not been read.

        :param parts: its shared parts.
        """
        for part in parts:
            if self._ready_ms.pop(part.part_id, None) is not None:
                self._drop(part.part_id)

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
            self._index.add(part.part_id, self._engine)
        self._trim()

    def resize(self, capacity: int) -> None:
        """Take how much the engine can keep; what is beyond gives way.

        :param capacity: tokens.
        """
        self._capacity = capacity
        self._trim()

    def clear(self) -> None:
        """Forget all parts, as when the engine is gone."""
        for part_id in list(self._parts):
            self._drop(part_id)
        self._ready_ms.clear()

    def recent(self, most: int) -> list[tuple[str, int]]:
        """List the parts used last, to tell a peer.

        :param most: how many.
        :returns: ids and tokens, the latest last.
        """
        return list(self._parts.items())[-most:]

    def _trim(self) -> None:
        while self._tokens > self._capacity:
            oldest = next(iter(self._parts))
            self._ready_ms.pop(oldest, None)
            self._drop(oldest)

    def _drop(self, part_id: str) -> None:
        self._tokens -= self._parts.pop(part_id, 0)
        self._index.discard(part_id, self._engine)
