"""Limit of the lines that a frequent decision may write per second."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from wingfall.clock import Clock


@final
class LogLimit:
    """Admits a bounded number of lines per second and counts the others."""

    __slots__ = ('_admitted', '_clock', '_omitted', '_per_second', '_since_ms')

    def __init__(self, *, clock: Clock, per_second: int) -> None:
        """Create a limit that has admitted no line.

        :param clock: source of the current time.
        :param per_second: maximum number of lines in a second.
        """
        self._clock = clock
        self._per_second = per_second
        self._since_ms = clock.now_ms()
        self._admitted = 0
        self._omitted = 0

    def admit(self) -> bool:
        """Check if a line may be written; an omitted line is counted.

        :returns: whether the line may be written.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._since_ms >= MS_PER_S:
            self._since_ms = now_ms
            self._admitted = 0
        if self._admitted >= self._per_second:
            self._omitted += 1
            return False
        self._admitted += 1
        return True

    def take_omitted(self) -> int:
        """Return the number of omitted lines, and reset it.

        :returns: lines omitted since the last call.
        """
        omitted = self._omitted
        self._omitted = 0
        return omitted
