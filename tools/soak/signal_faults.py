"""Faults of a soak: endpoints that say in their answers what they need."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Final, final

import gevent

from tools.soak.faults import Fault
from tools.soak.running_faults import RunningFaults
from tools.soak.site import POOLS
from wingfall.registry import Registry

if TYPE_CHECKING:
    from tools.soak.site import Server, SoakSite

signal_faults: Final[Registry[Fault]] = Registry(kind='signal fault')

_LIMITS: Final = ('0.2', '1', '2', '8')
_NONSENSE: Final = ('many', 'nan', '-1', '1, 2')
_RESTS: Final = ('1.5', '3')
# Seconds for which endpoints ask for rest, so that they are asked in it again.
_ASKED_S: Final = 3
# Seconds for which a limit is named, so that it must be kept for some of them.
_LIMITED_S: Final = 5
# Seconds from an endpoint's word that it is leaving to its end, and from the
# word to its entry in the store.
_LEAVES_S: Final = 6
_LISTED_LATE_S: Final = 3
_FEWEST: Final = 2
# Seconds between two of these faults.
_PAUSE_S: Final = (0.5, 2)
# How often all of a pool is struck, not one endpoint.
_WHOLE_POOL: Final = 0.3


@signal_faults.register('limit_named')
def name_limit(site: SoakSite, chance: random.Random, for_s: float) -> None:
    """Have endpoints name a limit, then another one, then none."""
    servers = _pick(site, chance)
    for _limit in range(chance.randrange(1, 3)):
        limit = chance.choice(_LIMITS)
        for server in servers:
            server.standin.signals.limit = limit
        gevent.sleep(_LIMITED_S + for_s)
    for server in servers:
        server.standin.signals.limit = ''


@signal_faults.register('limit_unreadable')
def name_nonsense(site: SoakSite, chance: random.Random, for_s: float) -> None:
    """Have endpoints name what is no limit."""
    servers = _pick(site, chance)
    for server in servers:
        server.standin.signals.limit = chance.choice(_NONSENSE)
    gevent.sleep(for_s)
    for server in servers:
        server.standin.signals.limit = ''


@signal_faults.register('rest_asked')
def ask_for_rest(site: SoakSite, chance: random.Random, for_s: float) -> None:
    """Have endpoints turn all requests away and ask for rest."""
    servers = _pick(site, chance)
    for server in servers:
        server.standin.signals.rest = chance.choice(_RESTS)
    gevent.sleep(_ASKED_S + for_s)
    for server in servers:
        server.standin.signals.rest = ''


@signal_faults.register('leaving_said')
def say_leaving(site: SoakSite, chance: random.Random, for_s: float) -> None:
    """Have an endpoint say that it leaves long before its entry does."""
    pool = chance.choice(POOLS)
    if len(site.listed(pool)) <= _FEWEST:
        return
    server = chance.choice(site.listed(pool))
    site.add_server(pool)
    server.standin.signals.leaving = True
    gevent.sleep(chance.uniform(0, _LISTED_LATE_S))
    if server.alive and server.draining_since_s is None:
        site.list_server(server, 'draining')
        server.draining_since_s = time.monotonic()
        gevent.sleep(_LEAVES_S)
        site.store.delete('servers', server.name)


@final
class SpeakingEndpoints:
    """Strikes with these faults beside all others, one after the other.

    Apart from the other faults, so that the seeds of soaks without them stay
    the same series.
    """

    def __init__(self, *, site: SoakSite, seed: int) -> None:
        """Start to strike.

        :param site: the site.
        :param seed: what faults are drawn by.
        """
        self._chance = random.Random(seed)
        self._running = RunningFaults(site=site, chance=self._chance)
        self._stopped = False
        self._striking = gevent.spawn(self._strike)

    def stop(self) -> None:
        """Strike no more, and wait until all have ended."""
        self._stopped = True
        self._striking.join()
        self._running.join()

    def _strike(self) -> None:
        while not self._stopped:
            name = self._chance.choice(signal_faults.names)
            self._running.strike(signal_faults.find(name).unwrap())
            gevent.sleep(self._chance.uniform(*_PAUSE_S))


def _pick(site: SoakSite, chance: random.Random) -> list[Server]:
    pool = chance.choice(POOLS)
    if chance.random() < _WHOLE_POOL:
        return site.listed(pool)
    return [site.pick_listed(pool, chance)]
