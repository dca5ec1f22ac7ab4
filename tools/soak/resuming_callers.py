"""Callers of a soak that take up streams that broke or that they left.

Apart from the other traffic, so that the seeds of soaks without them stay the
same series.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import gevent

from tools.soak.caller_group import CallerGroup

if TYPE_CHECKING:
    import random

    from tools.soak.site import SoakSite
    from tools.soak.traffic import Outcome, Traffic

_CALLERS: Final = 8
# Share of the streams that callers leave, after how many events, and how often
# they take a stream up.
_LEAVE: Final = 0.3
_LEAVE_AFTER: Final = (1, 2, 3)
_MOST_TRIES: Final = 4
# Seconds after which a caller sends again what was refused or not answered.
_PAUSE_S: Final = 0.1


@final
class ResumingCallers:
    """Sends streams to random gateways, and takes up those that broke."""

    def __init__(self, *, site: SoakSite, traffic: Traffic, seed: int) -> None:
        """Start to send.

        :param site: the site.
        :param traffic: sends and keeps what came back.
        :param seed: what callers draw from.
        """
        self._site = site
        self._traffic = traffic
        self._group = CallerGroup(callers=_CALLERS, seed=seed, call=self._call)

    def stop(self) -> None:
        """Begin no more streams, and wait for those that run."""
        self._group.stop()

    def _call(self, chance: random.Random) -> None:
        leaves = chance.random() < _LEAVE
        first = self._traffic.begin_stream(
            self._choose_gateway(chance),
            chance.choice(_LEAVE_AFTER) if leaves else 0,
        )
        self._take_up(chance, [first])
        gevent.sleep(chance.uniform(0, _PAUSE_S))

    def _take_up(self, chance: random.Random, tries: list[Outcome]) -> None:
        while tries[0].events and not tries[-1].whole:
            if len(tries) == _MOST_TRIES:
                return
            if not tries[-1].left:
                gevent.sleep(_PAUSE_S)
            gateway = self._choose_gateway(chance)
            tries.append(self._traffic.take_up_stream(gateway, tries))
            if tries[-1].status not in {0, 200}:
                # A refusal is whole, but no end of the stream.
                tries[-1].whole = False

    def _choose_gateway(self, chance: random.Random) -> str:
        return chance.choice(list(self._site.gateways))
