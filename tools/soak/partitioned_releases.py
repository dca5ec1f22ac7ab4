"""Releases of a soak beside a gateway that is out of step with the others.

Each release takes a pool that had one version for long. A second version joins
it while one gateway does not learn of it. Callers begin streams at the other
gateways, leave, and take them up at this one.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Callable, Final, TypeVar, final

import gevent

from tools.soak.caller_group import CallerGroup
from tools.soak.partitions import partitions
from tools.soak.stream_promises import find_mixed_streams
from wingfall.registry import Registry

if TYPE_CHECKING:
    from tools.soak.partitions import Partition
    from tools.soak.site import Server, SoakSite
    from tools.soak.traffic import Outcome, Traffic

_Drawn = TypeVar('_Drawn')
Release = Callable[['SoakSite', str, random.Random], None]

releases: Final[Registry[Release]] = Registry(kind='release')

# Faults that strike beside; others have all gateways doubt what they know of
# versions, so that none of them takes up a stream of unknown origin.
BESIDE_PARTITIONS: Final = (
    'answers_broken',
    'config_changes',
    'gateway_kill',
    'gateway_reload',
    'gateway_stop',
    'server_crash',
    'server_drain',
)
_SECOND_VERSION: Final = 'v2'
_JOINING: Final = 2
_CALLERS: Final = 8
_LEAVE_AFTER: Final = (1, 2, 3)
# Seconds from the cut to the release, and that callers go on after both.
_LEAD_S: Final = (0.1, 1)
_AFTER_S: Final = 1.5
# Seconds that the second version serves, where it leaves, where it stays.
_ROLLED_BACK_S: Final = (0.4, 1)
_SERVES_S: Final = 2.5
_GAP_S: Final = (0.3, 1)
# The shortest time from one release to the next.
_SHORTEST_ROUND_S: Final = 2
_PAUSE_S: Final = 0.1
_MOST_SEEDS: Final = 1_000_000


def most_rounds(seconds: float) -> int:
    """Return how many releases a soak has at most.

    :param seconds: how long it strikes.
    :returns: the number of pools that it needs.
    """
    return 1 + int(seconds / _SHORTEST_ROUND_S)


@releases.register('joins')
def join_version(site: SoakSite, pool: str, chance: random.Random) -> None:
    """Have a second version join and stay."""
    _join(site, pool)
    gevent.sleep(_SERVES_S)


@releases.register('replaces')
def replace_version(site: SoakSite, pool: str, chance: random.Random) -> None:
    """Have a second version join, and one engine of the first leave."""
    leaving = site.listed(pool)[0]
    _join(site, pool)
    gevent.sleep(chance.uniform(*_ROLLED_BACK_S))
    _leave(site, leaving)
    gevent.sleep(_SERVES_S)


@releases.register('rolled_back')
def roll_back(site: SoakSite, pool: str, chance: random.Random) -> None:
    """Have a second version join, serve, and leave within a second."""
    joined = _join(site, pool)
    gevent.sleep(chance.uniform(*_ROLLED_BACK_S))
    for server in joined:
        _leave(site, server)
        site.store.delete('servers', server.name)


@final
class PartitionedReleases:
    """Releases one pool after the other until it is stopped."""

    def __init__(self, *, site: SoakSite, traffic: Traffic, seed: int) -> None:
        """Start with the first one.

        :param site: the site, whose gateways reach each other over links.
        :param traffic: sends and keeps what came back.
        :param seed: what is drawn by.
        """
        self._site = site
        self._traffic = traffic
        self._seed = seed
        self._stopped = False
        self._rounds: list[ReleaseRound] = []
        self._releasing = gevent.spawn(self._release)

    def stop(self) -> list[str]:
        """Begin no more releases, and wait until the last one has ended.

        :returns: a line for each release.
        """
        self._stopped = True
        self._releasing.get()
        return [each.describe() for each in self._rounds]

    def _release(self) -> None:
        chance = random.Random(self._seed)
        for pool in self._site.released_pools:
            gevent.sleep(chance.uniform(*_GAP_S))
            if self._stopped:
                return
            played = ReleaseRound(
                site=self._site,
                traffic=self._traffic,
                pool=pool,
                gateway=chance.choice(list(self._site.gateways)),
                partition=_draw(partitions, chance),
                release=_draw(releases, chance),
                seed=chance.randrange(_MOST_SEEDS),
            )
            self._rounds.append(played)
            played.play()


@final
class ReleaseRound:
    """One release and the gateway that is out of step beside it."""

    def __init__(
        self,
        *,
        site: SoakSite,
        traffic: Traffic,
        pool: str,
        gateway: str,
        partition: Partition,
        release: Release,
        seed: int,
    ) -> None:
        """Start with nothing played.

        :param site: the site, whose gateways reach each other over links.
        :param traffic: sends and keeps what came back.
        :param pool: the pool that is released.
        :param gateway: name of the gateway that is out of step.
        :param partition: the way in which it is.
        :param release: the release.
        :param seed: what is drawn by.
        """
        self.tries: list[Outcome] = []
        self._site = site
        self._traffic = traffic
        self._pool = pool
        self._gateway = gateway
        self._partition = partition
        self._release = release
        self._chance = random.Random(seed)

    @property
    def taken_up(self) -> list[Outcome]:
        """The requests that took up a stream at the gateway out of step."""
        return [
            each
            for each in self.tries
            if each.resumes and each.gateway == self._gateway
        ]

    def play(self) -> None:
        """Cut the gateway off, release the pool, and end both."""
        site, chance = self._site, self._chance
        site.disturb(self._gateway)
        with self._partition(site, self._gateway, chance):
            gevent.sleep(chance.uniform(*_LEAD_S))
            callers = CallerGroup(
                callers=_CALLERS,
                seed=chance.randrange(_MOST_SEEDS),
                call=self._call,
            )
            self._release(site, self._pool, chance)
        site.disturb(self._gateway)
        gevent.sleep(_AFTER_S)
        callers.stop()

    def describe(self) -> str:
        """Return a line with what was played and how the streams went on."""
        taken_up = self.taken_up
        went_on = sum(bool(each.events) for each in taken_up)
        mixed = find_mixed_streams(self.tries)
        return (
            f'{self._pool}: {self._partition.__name__},'
            f' {self._release.__name__} at'
            f' {self._gateway}: {len(taken_up)} taken up there, {went_on} went'
            f' on, {len(mixed)} of two versions {mixed[:5]}'
        )

    def _call(self, chance: random.Random) -> None:
        others = [each for each in self._site.gateways if each != self._gateway]
        tries = [
            self._traffic.begin_stream(
                chance.choice(others), chance.choice(_LEAVE_AFTER), self._pool
            )
        ]
        if tries[0].events:
            tries.append(self._traffic.take_up_stream(self._gateway, tries))
        self.tries.extend(tries)
        gevent.sleep(chance.uniform(0, _PAUSE_S))


def _draw(registry: Registry[_Drawn], chance: random.Random) -> _Drawn:
    return registry.find(chance.choice(list(registry.names))).unwrap()


def _join(site: SoakSite, pool: str) -> list[Server]:
    return [
        site.add_server(pool, _SECOND_VERSION) for _joins in range(_JOINING)
    ]


def _leave(site: SoakSite, server: Server) -> None:
    site.list_server(server, 'draining')
    server.draining_since_s = time.monotonic()
