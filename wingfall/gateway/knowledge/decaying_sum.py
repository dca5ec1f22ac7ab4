"""A sum that forgets: each entry counts half after a half-life."""

from __future__ import annotations

from typing import final


@final
class DecayingSum:
    """A sum in which each entry is halved again and again."""

    __slots__ = ('_at_ms', '_half_life_ms', '_sum')

    def __init__(self, *, half_life_ms: int) -> None:
        """Start at zero.

        :param half_life_ms: time after which an entry counts half.
        """
        self._half_life_ms = half_life_ms
        self._sum: float = 0
        self._at_ms = 0

    def at(self, now_ms: int) -> float:
        """Read the sum.

        :param now_ms: the time.
        :returns: what is left of all entries.
        """
        return self._sum * 2 ** ((self._at_ms - now_ms) / self._half_life_ms)

    def add(self, amount: float, now_ms: int) -> None:
        """Add an entry.

        :param amount: its size.
        :param now_ms: the time.
        """
        self._sum = self.at(now_ms) + amount
        self._at_ms = now_ms
