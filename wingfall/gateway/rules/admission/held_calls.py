"""Calls that a pool holds off: who goes first, and when they come back.

Answers a pool whose endpoints all name limits or ask for rest. Calls wait for
nothing; each is told a time of its own, so that those who were told do not all
come back at the same moment. What is free meanwhile is kept for a more urgent
tier that was held off a moment ago.
"""

from __future__ import annotations

from typing import Final, final

# Milliseconds by which a time that a caller is told may lie ahead, so that one
# crowd doesn't turn callers away for long after it.
_MOST_AHEAD_MS: Final = 10_000
# Milliseconds that a caller needs to come back at all.
_WAY_BACK_MS: Final = 200
# Steps for which what becomes free is kept for a more urgent tier: the one that
# it was told, and the one after it if it comes late.
_KEPT_STEPS: Final = 2


@final
class Opening:
    """When a pool takes a request again, and how many from then on."""

    __slots__ = ('every_ms', 'first_ms')

    def __init__(self, *, first_ms: float, every_ms: float) -> None:
        """Describe an opening.

        :param first_ms: milliseconds until the first endpoint takes one.
        :param every_ms: milliseconds from one request of this gateway to the
            next after that.
        """
        self.first_ms = first_ms
        self.every_ms = every_ms


@final
class HeldCalls:
    """What callers of each pool were told when they were held off."""

    __slots__ = ('_kept_until_ms', '_next_ms')

    def __init__(self) -> None:
        """Start with nothing told."""
        # The next time that is free, by pool.
        self._next_ms: dict[str, float] = {}
        # Until when what is free is kept, by pool and tier.
        self._kept_until_ms: dict[str, dict[int, float]] = {}

    def gives_way(self, pool: str, tier: int, now_ms: int) -> bool:
        """Tell whether a call leaves what is free to a more urgent tier.

        :param pool: name of its pool.
        :param tier: its tier, 0 is the most urgent.
        :param now_ms: the time.
        :returns: whether it does.
        """
        kept = self._kept_until_ms.get(pool)
        if not kept:
            return False
        return any(
            until_ms > now_ms
            for urgent, until_ms in kept.items()
            if urgent < tier
        )

    def hold(self, pool: str, tier: int, opening: Opening, now_ms: int) -> int:
        """Tell a call when to come back.

        :param pool: name of its pool.
        :param tier: its tier.
        :param opening: when the pool takes requests again.
        :param now_ms: the time.
        :returns: milliseconds from now.
        """
        first_ms = now_ms + opening.first_ms
        due_ms = max(first_ms, self._next_ms.get(pool, 0))
        due_ms = min(due_ms, first_ms + _MOST_AHEAD_MS)
        self._next_ms[pool] = due_ms + opening.every_ms
        kept_ms = opening.first_ms + opening.every_ms * _KEPT_STEPS
        kept = self._kept_until_ms.setdefault(pool, {})
        kept[tier] = now_ms + min(kept_ms, _MOST_AHEAD_MS) + _WAY_BACK_MS
        return int(due_ms - now_ms)
