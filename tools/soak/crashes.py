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
    from gevent import Greenlet

    from standins.pool_server import Run
    from tools.soak.site import Server, SoakSite
    from tools.soak.traffic import Traffic

_POOL: Final = 'engines'
# So many that one request leaves some for the other faults.
_MORE_ENGINES: Final = 4
# Seconds that one request comes again, and between two sendings.
_LASTS_S: Final = 8
_PAUSE_S: Final = 0.1
# Seconds after which an engine that crashed is back as another one, and after
# which its entry is gone.
_BACK_S: Final = 1.5
_LAPSE_S: Final = 1.5


@final
class CrashingCaller:
    """Sends one request again and again, then the next one."""

    def __init__(self, *, site: SoakSite, traffic: Traffic, seed: int) -> None:
        """Start to send.

        :param site: the site.
        :param traffic: sends and keeps what came back.
        :param seed: what gateways are drawn by.
        """
        self._site = site
        self._traffic = traffic
        self._chance = random.Random(seed)
        self._stopped = False
        self._back: list[Greenlet] = []
        # Each engine, also one that another fault adds, before it is listed:
        # one that answered such a request would prove it harmless.
        site.arm = self._arm
        for server in site.servers:
            server.arm = self._arm
            server.set_up()
        for _engine in range(_MORE_ENGINES):
            site.add_server(_POOL)
        self._calling = gevent.spawn(self._call)

    def stop(self) -> None:
        """End the sending, and wait until all engines are back."""
        self._stopped = True
        self._calling.join()
        gevent.joinall(self._back)

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

    def _arm(self, server: Server) -> None:
        standin = server.standin
        if server.pool == _POOL:
            standin.ends_by = lambda target: target.startswith(
                f'/{CRASH_ROUTE}/'
            )
            standin.on_crash = lambda run: self._note(server, run)

    def _note(self, server: Server, run: Run) -> None:
        self._site.crashed_s.setdefault(run.target, []).append(time.monotonic())
        if not server.alive:
            return
        server.alive = False
        server.link.close()
        self._back.append(gevent.spawn(self._replace, server))

    def _replace(self, server: Server) -> None:
        gevent.sleep(_BACK_S)
        self._site.add_server(_POOL)
        gevent.sleep(_LAPSE_S)
        # One that was leaving is taken off the list by that.
        if server.draining_since_s is None:
            self._site.store.delete('servers', server.name)
