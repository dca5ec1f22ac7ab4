"""Wakes the attempts that have waited long enough, or for nobody.

A timer for each message of each stream cost a tenth of the forwarding path;
one greenlet that looks at all open attempts costs next to nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol, final

import gevent

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from wingfall.clock import Clock

_LOOK_MS: Final = 20
_LOOKS_PER_PEEK: Final = 12


class Sleeper(Protocol):
    """What can be woken."""

    def left_ms(self) -> int:
        """Tell how much time is left."""

    def look_for_caller(self) -> bool:
        """Tell whether the caller has left."""

    def wake(self) -> None:
        """End the wait."""


@final
class Wakeups:
    """All open attempts of a router."""

    __slots__ = ('_clock', '_sleepers')

    def __init__(self, *, clock: Clock) -> None:
        """Start with none.

        :param clock: the time.
        """
        self._clock = clock
        self._sleepers: set[Sleeper] = set()

    def add(self, sleeper: Sleeper) -> None:
        """Look after an attempt.

        :param sleeper: the attempt.
        """
        self._sleepers.add(sleeper)

    def remove(self, sleeper: Sleeper) -> None:
        """Look after it no longer.

        :param sleeper: the attempt.
        """
        self._sleepers.discard(sleeper)

    def run(self) -> None:
        """Look for as long as the process runs."""
        looks = 0
        while True:  # noqa: WPS457
            looks += 1
            self.look(peek=looks % _LOOKS_PER_PEEK == 0)
            gevent.sleep(_LOOK_MS / MS_PER_S)

    def look(self, *, peek: bool) -> None:
        """Wake those whose time is over or whose caller has left.

        :param peek: whether to look for callers too, a system call each.
        """
        for sleeper in list(self._sleepers):
            if sleeper.left_ms() <= 0 or (peek and sleeper.look_for_caller()):
                sleeper.wake()
