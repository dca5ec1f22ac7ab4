"""A caller of a soak whose requests end the engines that run them.

Apart from the other traffic, so that the seeds of soaks without it stay the
same series. Its requests come again under new ids at any gateway.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Final, final

import gevent

from tools.soak.site import CRASH_ROUTE, STEADY_KEY

if TYPE_CHECKING:
    from standins.pool_server import PoolServerStandIn
    from tools.soak.engine_crashes import EngineCrashes
    from tools.soak.site import SoakSite
    from tools.soak.traffic import Traffic

# Seconds that one request comes again, and between two sendings.
_LASTS_S: Final = 8
_PAUSE_S: Final = 0.1


@final
class CrashingCaller:
    """Sends one request again and again, then the next one."""

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
        self._stopped = False
        engines.add(_arm)
        self._calling = gevent.spawn(self._call)

    def stop(self) -> None:
        """End the sending."""
        self._stopped = True
        self._calling.join()

    def _call(self) -> None:
        number = 0
        while not self._stopped:
            number += 1
            until_s = time.monotonic() + _LASTS_S
            while time.monotonic() < until_s and not self._stopped:
                self._send(f'{CRASH_ROUTE}/{number}')
                gevent.sleep(_PAUSE_S)

    def _send(self, route: str) -> None:
        gateway = self._chance.choice(list(self._site.gateways))
        self._traffic.ask('stream', gateway, STEADY_KEY, route=route)


def _arm(standin: PoolServerStandIn) -> None:
    standin.ends_by = lambda target: target.startswith(f'/{CRASH_ROUTE}/')
