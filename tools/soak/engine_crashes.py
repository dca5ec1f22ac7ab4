"""Engines of a soak that some requests crash, and that come back.

Each engine is armed before it is listed, also one that another fault adds: one
that answered such a request would prove it harmless.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Callable, Final, final

import gevent

if TYPE_CHECKING:
    from gevent import Greenlet

    from standins.pool_server import PoolServerStandIn, Run
    from tools.soak.site import Server, SoakSite

_POOL: Final = 'engines'
# So many that one request leaves some for the other faults.
_MORE_ENGINES: Final = 4
# Seconds after which an engine that crashed is back as another one, and after
# which its entry is gone.
_BACK_S: Final = 1.5
_LAPSE_S: Final = 1.5

Arm = Callable[['PoolServerStandIn'], None]


@final
class EngineCrashes:
    """Arms engines, records their crashes and brings them back."""

    def __init__(self, *, site: SoakSite) -> None:
        """Add engines, which nothing crashes yet.

        :param site: the site.
        """
        self._site = site
        self._arms: list[Arm] = []
        self._back: list[Greenlet] = []
        site.arm = self._arm_server
        for _engine in range(_MORE_ENGINES):
            site.add_server(_POOL)

    def add(self, arm: Arm) -> None:
        """Have more requests crash engines.

        :param arm: changes the stand-in of an engine so that they do.
        """
        self._arms.append(arm)
        for server in self._site.servers:
            server.arm = self._arm_server
            server.set_up()

    def join(self) -> None:
        """Wait until all engines are back."""
        gevent.joinall(self._back)

    def _arm_server(self, server: Server) -> None:
        standin = server.standin
        if server.pool == _POOL:
            for arm in self._arms:
                arm(standin)
            standin.on_crash = lambda run: self._note(server, run)

    def _note(self, server: Server, run: Run) -> None:
        now_s = time.monotonic()
        self._site.crashed_s.setdefault(run.target, []).append(now_s)
        crash_parts = server.standin.prompt_crash.parts
        for part in crash_parts.intersection(run.parts):
            self._site.part_crashed_s.setdefault(part, []).append(now_s)
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
