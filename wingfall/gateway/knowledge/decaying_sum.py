"""A sum whose entries decay exponentially with a half-life."""

from __future__ import annotations

from typing import final


@final
class DecayingSum:
    """An exponentially decaying sum."""

    __slots__ = ('_as_of_ms', '_half_life_ms', '_sum')

    def __init__(self, *, half_life_ms: int) -> None:
        """Create a sum of zero.

        :param half_life_ms: milliseconds after which an entry counts half.
        """
        self._half_life_ms = half_life_ms
        self._sum: float = 0
        self._as_of_ms = 0

    def at(self, now_ms: int) -> float:
        """Return the decayed sum at a time.

        :param now_ms: the time in milliseconds.
        :returns: the sum of all entries after their decay.
        """
        return self._sum * 2 ** ((self._as_of_ms - now_ms) / self._half_life_ms)

    def add(self, amount: float, now_ms: int) -> None:
        """Add an entry.

        :param amount: value of the entry.
        :param now_ms: the time in milliseconds.
        """
        self._sum = self.at(now_ms) + amount
        self._as_of_ms = now_ms
