"""Callers of a soak whose prompts share a part that crashes engines.

No two of their requests are alike. Their other parts are those of all prompts.
"""

from __future__ import annotations

import itertools
import random
import time
from typing import TYPE_CHECKING, Final, final

import gevent

from standins.prompt_crash import PromptCrash
from tools.soak.site import BAD_PROMPT_ROUTE, STEADY_KEY

if TYPE_CHECKING:
    from tools.soak.engine_crashes import EngineCrashes
    from tools.soak.site import SoakSite
    from tools.soak.traffic import Traffic

# Parts that crash engines, one after the other.
_CRASH_PARTS: Final = ('dead01', 'dead02', 'dead03', 'dead04')
# Events that an engine writes before it crashes.
_MAX_EVENTS_BEFORE: Final = 1
# Seconds for which one part comes, and between two requests of a caller.
_LASTS_S: Final = 12
_PAUSE_S: Final = 0.2
_CALLERS: Final = 2


@final
class CrashingPrompts:
    """Sends prompts with one part after another that crashes engines."""

    def __init__(
        self,
        *,
        site: SoakSite,
        traffic: Traffic,
        engines: EngineCrashes,
        seed: int,
    ) -> None:
        """Start to send.

        :param site: the site.
        :param traffic: sends and keeps what came back.
        :param engines: the engines that crash.
        :param seed: what gateways are drawn by.
        """
        self._site = site
        self._traffic = traffic
        self._chance = random.Random(seed)
        self._numbers = itertools.count()
        self._part = _CRASH_PARTS[0]
        self._stopped = False
        crash = PromptCrash(
            parts=_CRASH_PARTS,
            after_events=self._chance.randint(0, _MAX_EVENTS_BEFORE),
        )
        engines.add(lambda standin: setattr(standin, 'prompt_crash', crash))
        self._calling = [
            gevent.spawn(self._choose_parts),
            *(gevent.spawn(self._call) for _caller in range(_CALLERS)),
        ]

    def stop(self) -> None:
        """End the sending."""
        self._stopped = True
        gevent.joinall(self._calling)

    def _choose_parts(self) -> None:
        for part in itertools.cycle(_CRASH_PARTS):
            self._part = part
            until_s = time.monotonic() + _LASTS_S
            while time.monotonic() < until_s:
                if self._stopped:
                    return
                gevent.sleep(_PAUSE_S)

    def _call(self) -> None:
        while not self._stopped:
            number = next(self._numbers)
            gateway = self._chance.choice(list(self._site.gateways))
            self._traffic.ask(
                'stream',
                gateway,
                STEADY_KEY,
                parts=f'aa:200,{self._part}:50,{number:x}:20',
                route=f'{BAD_PROMPT_ROUTE}{number}',
            )
            gevent.sleep(_PAUSE_S * 2 * self._chance.random())
