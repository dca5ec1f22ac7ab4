"""Faults of a soak: pools that fail most requests while gateways end."""

from __future__ import annotations

import contextlib
import itertools
import random
from typing import TYPE_CHECKING, Final, final

import gevent

from tools.soak.faults import Fault, fail_store
from tools.soak.series import roll_gateways
from tools.soak.site import POOLS
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.site import SoakSite

pool_faults: Final[Registry[Fault]] = Registry(kind='pool fault')

# Retry budget of the gateways: small beside the requests that fail.
FAILING_POOL_BOUND: Final = {'ratio': 0.1, 'slack': 2, 'window_s': 8}
# Seconds from the first failures to the end of gateways.
_USED_S: Final = (0.2, 1.5)
# Seconds of failures after that, in which the gateways earn anew.
_AFTER_S: Final = (4, 6)
# One request in this many is answered well.
_ANSWERED: Final = 10
# More answers than a soak has requests.
_MOST_ANSWERS: Final = 10_000
# Most seconds between the stops of two gateways.
_ROLL_GAP_S: Final = 0.5
# Seconds before each of these faults, so that gateways have requests of a
# whole window to earn retries by.
_PAUSE_S: Final = (8, 12)


@pool_faults.register('pool_fails')
def fail_pool(site: SoakSite, chance: random.Random, for_s: float) -> None:
    """Have all endpoints of a pool fail most requests."""
    with _failing(site, chance):
        gevent.sleep(for_s)


@pool_faults.register('pool_fails_beside_kills')
def kill_beside_failures(
    site: SoakSite, chance: random.Random, for_s: float
) -> None:
    """Kill all gateways while a pool fails."""
    with _failing(site, chance):
        gevent.sleep(chance.uniform(*_USED_S))
        _restart_all_gateways(site)
        gevent.sleep(for_s)


@pool_faults.register('pool_fails_beside_kill_series')
def kill_often_beside_failures(
    site: SoakSite, chance: random.Random, for_s: float
) -> None:
    """Kill gateways one after the other while a pool fails."""
    with _failing(site, chance):
        for name in list(site.gateways):
            gevent.sleep(chance.uniform(*_USED_S) / 2)
            with site.held[name]:
                site.disturb(name)
                site.gateways[name].restart()
                site.disturb(name)
        gevent.sleep(for_s)


@pool_faults.register('pool_fails_beside_stops')
def stop_beside_failures(
    site: SoakSite, chance: random.Random, for_s: float
) -> None:
    """Stop gateways by plan while a pool fails."""
    with _failing(site, chance):
        gevent.sleep(chance.uniform(*_USED_S))
        roll_gateways(site, chance, _ROLL_GAP_S)
        gevent.sleep(for_s)


@pool_faults.register('pool_fails_beside_store_down')
def lose_store_beside_failures(
    site: SoakSite, chance: random.Random, for_s: float
) -> None:
    """Kill all gateways while a pool fails and the store is away."""
    with _failing(site, chance):
        gevent.sleep(chance.uniform(*_USED_S))
        store = gevent.spawn(fail_store, site, chance, chance.uniform(*_USED_S))
        _restart_all_gateways(site)
        store.get()
        gevent.sleep(for_s)


@final
class FailingPools:
    """Strikes with these faults beside all others, one after the other."""

    def __init__(self, *, site: SoakSite, seed: int) -> None:
        """Start to strike.

        :param site: the site.
        :param seed: what faults are drawn by.
        """
        self._site = site
        self._chance = random.Random(seed)
        self._stopped = False
        self._striking = gevent.spawn(self._strike)

    def stop(self) -> None:
        """Strike no more, and wait until the last one has ended."""
        self._stopped = True
        self._striking.get()

    def _strike(self) -> None:
        while not self._stopped:
            gevent.sleep(self._chance.uniform(*_PAUSE_S))
            name = self._chance.choice(pool_faults.names)
            fault = pool_faults.find(name).unwrap()
            fault(self._site, self._chance, self._chance.uniform(*_AFTER_S))


def _restart_all_gateways(site: SoakSite) -> None:
    # Side by side: one after the other they would take half of a window.
    with contextlib.ExitStack() as held:
        for name, gateway in site.gateways.items():
            held.enter_context(site.held[name])
            site.disturb(name)
            gateway.kill()
        started = [
            gevent.spawn(gateway.restart) for gateway in site.gateways.values()
        ]
        for each in started:
            each.get()
        for name in site.gateways:
            site.disturb(name)


@contextlib.contextmanager
def _failing(site: SoakSite, chance: random.Random) -> Iterator[None]:
    failing = site.listed(chance.choice(POOLS))
    answers = ('', *itertools.repeat('error', _ANSWERED - 1))
    for server in failing:
        server.standin.faults = chance.choices(answers, k=_MOST_ANSWERS)
    try:
        yield
    finally:
        for server in failing:
            server.standin.faults = []
