"""Faults of a soak whose engines are of several software versions.

Apart from the other faults, so that the seeds of soaks without them stay the
same series.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import gevent

from tools.soak.faults import kill_all_gateways
from tools.soak.writers import restart_server
from wingfall.registry import Registry

if TYPE_CHECKING:
    import random

    from tools.soak.faults import Fault
    from tools.soak.site import Server, SoakSite

version_faults: Final[Registry[Fault]] = Registry(kind='version fault')

_POOL: Final = 'engines'
# One answer in this many is cut.
_CUT: Final = 4
_MOST_ANSWERS: Final = 10_000
# Seconds between two engines that are replaced, and until an entry goes after
# its engine said that it leaves.
_RELEASE_GAP_S: Final = 0.4
_DRAIN_S: Final = 4
# Most seconds that an engine is down before it is back as another version.
_MOST_DOWN_S: Final = 0.5
_LISTED_LATE_S: Final = 0.3


@version_faults.register('streams_cut')
def cut_streams(site: SoakSite, chance: random.Random, for_s: float) -> None:
    """Have all engines cut a part of their streams."""
    cutting = site.listed(_POOL)
    answers = ('cut', *('' for _whole in range(_CUT - 1)))
    for server in cutting:
        server.standin.faults = chance.choices(answers, k=_MOST_ANSWERS)
    gevent.sleep(for_s)
    for server in cutting:
        server.standin.faults = []


@version_faults.register('engines_released')
def release_engines(
    site: SoakSite, chance: random.Random, for_s: float
) -> None:
    """Replace all but two engines of a version by those of another one."""
    before, after = chance.sample(site.versions, 2)
    leaving = [each for each in site.listed(_POOL) if each.version == before]
    for server in leaving[2:]:
        site.add_server(_POOL, after)
        gevent.sleep(_RELEASE_GAP_S)
        if not server.alive or server.draining_since_s is not None:
            continue
        site.list_server(server, 'draining')
        server.draining_since_s = time.monotonic()
        gevent.spawn(_remove, site, server)


@version_faults.register('gateways_killed_beside_release')
def kill_gateways_beside_release(
    site: SoakSite, chance: random.Random, for_s: float
) -> None:
    """Kill all gateways while engines of two versions serve."""
    releasing = gevent.spawn(release_engines, site, chance, for_s)
    gevent.sleep(chance.uniform(0, for_s))
    kill_all_gateways(site, chance, for_s)
    releasing.get()


@version_faults.register('version_not_named')
def hide_version(site: SoakSite, chance: random.Random, for_s: float) -> None:
    """Leave the version out of an engine's entry for a while."""
    server = chance.choice(site.listed(_POOL))
    if not server.lock.acquire(blocking=False):
        return
    server.names_version = False
    _list_again(site, server)
    gevent.sleep(for_s)
    server.names_version = True
    _list_again(site, server)
    server.lock.release()


@version_faults.register('engine_starts_as_another_version')
def restart_as_another_version(
    site: SoakSite, chance: random.Random, for_s: float
) -> None:
    """Start an engine again under its id and address as another version."""
    server = chance.choice(site.listed(_POOL))
    if not site.tells_starts or not server.lock.acquire(blocking=False):
        return
    others = [each for each in site.versions if each != server.version]
    server.version = chance.choice(others)
    restart_server(server, chance.uniform(0, _MOST_DOWN_S))
    server.born_ms += 1 + int(for_s)
    gevent.sleep(chance.uniform(0, _LISTED_LATE_S))
    _list_again(site, server)
    server.lock.release()


def _list_again(site: SoakSite, server: Server) -> None:
    if server.alive and server.draining_since_s is None:
        site.list_server(server, 'ready')


def _remove(site: SoakSite, server: Server) -> None:
    gevent.sleep(_DRAIN_S)
    site.store.delete('servers', server.name)
