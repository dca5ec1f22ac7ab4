"""The faults of a soak that run at this moment."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import gevent

if TYPE_CHECKING:
    import random

    from tools.soak.faults import Fault
    from tools.soak.site import SoakSite

_SHORTEST_S: Final = 0.3
_LONGEST_S: Final = 4


@final
class RunningFaults:
    """Runs faults beside each other; one that fails fails the soak."""

    __slots__ = ('_chance', '_site', '_started')

    def __init__(self, *, site: SoakSite, chance: random.Random) -> None:
        """Start with none.

        :param site: what they strike.
        :param chance: draws how long each lasts.
        """
        self._site = site
        self._chance = chance
        self._started: list[gevent.Greenlet] = []

    def __len__(self) -> int:
        """Count those that run."""
        return sum(not each.ready() for each in self._started)

    def strike(self, fault: Fault) -> None:
        """Start a fault.

        :param fault: the fault.
        """
        lasts_s = self._chance.uniform(_SHORTEST_S, _LONGEST_S)
        each = gevent.spawn(fault, self._site, self._chance, lasts_s)
        self._started.append(each)

    def join(self) -> None:
        """Wait for all of them.

        :raises Exception: that of the first that failed.
        """
        for each in self._started:
            each.get()
