"""An estimate of the prompt parts that each engine caches.

Engines cache prompt parts until memory runs out and evict the least recently
used parts first. The estimate is based on where this gateway and its peers sent
prompts; an error costs the prefill of a part.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.model.prompt import PromptPart

# Assumed capacity of an engine whose memory size is unknown, close to that of
# the engines seen so far. An error costs the prefill of a part.
DEFAULT_CAPACITY_TOKENS: Final = 400_000


@final
class PendingRead:
    """Parts of a prompt that an engine is prefilling for another prompt."""

    __slots__ = ('ready_in_ms', 'tokens')

    def __init__(self, *, tokens: int, ready_in_ms: int) -> None:
        """Initialize the prefill.

        :param tokens: total length of the parts in tokens.
        :param ready_in_ms: estimated milliseconds until the prefill ends.
        """
        self.tokens = tokens
        self.ready_in_ms = ready_in_ms


@final
class PartIndex:
    """Index of the engines that are likely to cache each part."""

    __slots__ = ('_engines',)

    def __init__(self) -> None:
        """Create an empty index."""
        self._engines: dict[str, set[str]] = {}

    def engines(self, part_id: str) -> set[str]:
        """Return the engines that cache a part.

        :param part_id: id of the part.
        :returns: names of the engines.
        """
        return self._engines.get(part_id, set())

    def add(self, part_id: str, engine: str) -> None:
        """Record that an engine caches a part.

        :param part_id: id of the part.
        :param engine: name of the engine.
        """
        self._engines.setdefault(part_id, set()).add(engine)

    def discard(self, part_id: str, engine: str) -> None:
        """Record that an engine no longer caches a part.

        :param part_id: id of the part.
        :param engine: name of the engine.
        """
        engines = self._engines.get(part_id, set())
        engines.discard(engine)
        if not engines:
            self._engines.pop(part_id, None)


@final
class PrefixCache:
    """An LRU model of the prompt parts that one engine caches."""

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
        """Create an empty cache.

        :param engine: name of the engine.
        :param index: index to update with the parts that the engine caches.
        :param capacity: tokens that the engine can cache.
        """
        self._engine = engine
        self._index = index or PartIndex()
        self._capacity = capacity
        self._tokens = 0
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Estimated end of the prefill of each part that is not confirmed.
        self._ready_ms: dict[str, int] = {}

    @property
    def tokens(self) -> int:
        """Tokens of all parts that are likely cached."""
        return self._tokens

    def cached_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return how much of a prompt needs no prefill.

        :param parts: the shared parts of the prompt in order.
        :returns: tokens of the leading parts that are cached.
        """
        total = 0
        for part in parts:
            if part.part_id not in self._parts:
                break
            total += part.tokens
        return total

    def pending_prefill(
        self,
        parts: Iterable[PromptPart],
        now_ms: int,
    ) -> PendingRead:
        """Return how much of a prompt is being prefilled for another prompt.

        :param parts: the shared parts of the prompt in order.
        :param now_ms: time of the steady clock.
        :returns: length and estimated end of the parts not prefilled yet.
        """
        pending = [part for part in parts if part.part_id in self._ready_ms]
        ready = [self._ready_ms[part.part_id] for part in pending]
        return PendingRead(
            tokens=sum(part.tokens for part in pending),
            ready_in_ms=max(ready, default=now_ms) - now_ms,
        )

    def confirm_prefill(self, parts: Iterable[PromptPart]) -> None:
        """Record that the prefill of a prompt has ended.

        :param parts: the shared parts of the prompt.
        """
        for part in parts:
            self._ready_ms.pop(part.part_id, None)

    def drop_unconfirmed(self, parts: Iterable[PromptPart]) -> None:
        """Remove the parts of a prompt whose prefill is not confirmed.

        :param parts: the shared parts of the prompt.
        """
        for part in parts:
            if self._ready_ms.pop(part.part_id, None) is not None:
                self._remove(part.part_id)

    def note(self, parts: Iterable[PromptPart], ready_ms: int = 0) -> None:
        """Record that the engine caches the parts of a prompt.

        :param parts: the shared parts of the prompt in order.
        :param ready_ms: estimated end of the prefill, 0 if it has ended.
        """
        for part in parts:
            if ready_ms and part.part_id not in self._parts:
                self._ready_ms[part.part_id] = ready_ms
            self._tokens += part.tokens - self._parts.pop(part.part_id, 0)
            self._parts[part.part_id] = part.tokens
            self._index.add(part.part_id, self._engine)
        self._evict()

    def resize(self, capacity: int) -> None:
        """Set the capacity and evict the parts that exceed it.

        :param capacity: tokens that the engine can cache.
        """
        self._capacity = capacity
        self._evict()

    def clear(self) -> None:
        """Remove all parts, as when the engine is gone."""
        for part_id in list(self._parts):
            self._remove(part_id)
        self._ready_ms.clear()

    def recent_parts(self, limit: int) -> list[tuple[str, int]]:
        """Return the most recently used parts, for a peer.

        :param limit: maximum number of parts.
        :returns: ids and tokens, the most recently used last.
        """
        return list(self._parts.items())[-limit:]

    def _evict(self) -> None:
        while self._tokens > self._capacity:
            oldest = next(iter(self._parts))
            self._ready_ms.pop(oldest, None)
            self._remove(oldest)

    def _remove(self, part_id: str) -> None:
        self._tokens -= self._parts.pop(part_id, 0)
        self._index.discard(part_id, self._engine)
