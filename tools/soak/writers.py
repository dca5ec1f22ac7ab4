"""Faults of a soak on a platform that tells starts and has other writers.

Apart from the other faults, so that the seeds of soaks without them stay the
same series.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Final

import gevent

from standins.pool_server import PoolServerStandIn
from tools.soak.site import POOLS
from wingfall.clock import MS_PER_S
from wingfall.registry import Registry

if TYPE_CHECKING:
    import random

    from tools.soak.faults import Fault
    from tools.soak.site import Server, SoakSite

writer_faults: Final[Registry[Fault]] = Registry(kind='writer fault')

_LATE_WRITE_S: Final = 0.5
_MOST_DOWN_S: Final = 1.5
# What other writers leave of an entry: fields that are missing or of another
# type, names that mean nothing.
_SPOILT: Final = (
    {'slots': '8'},
    {'slots': -3},
    {'state': 'quarantined'},
    {'service': ['plain']},
    {'address': 'nowhere'},
    {'zone': None},
    {'born': 'yesterday'},
)
# What they leave in its place.
_NO_ENTRIES: Final[tuple[Any, ...]] = (
    None,
    'text',
    [],
    {'metadata': None, 'spec': {}},
    {'metadata': {'name': 'foreign'}, 'spec': None},
)
_foreign_names: Final = (f'foreign-{number}' for number in itertools.count())


@writer_faults.register('server_starts_again')
def start_server_again(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """End an endpoint and start it at its address, under its id."""
    server = site.pick_listed(chance.choice(POOLS), chance)
    if not server.lock.acquire(blocking=False):
        return
    earlier = site.entry(server, 'ready')
    restart_server(server, chance.uniform(0, _MOST_DOWN_S))
    server.born_ms += 1 + int(for_s * MS_PER_S)
    _beat(site, server)
    gevent.sleep(_LATE_WRITE_S)
    if chance.choice((True, False)) and _is_listed(server):
        # A write of the earlier start that was under way, then the next beat.
        site.store.put('servers', server.name, earlier)
        gevent.sleep(_LATE_WRITE_S)
        _beat(site, server)
    server.lock.release()


@writer_faults.register('entry_spoilt')
def spoil_entry(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Spoil the entry of an endpoint until its next beat."""
    pool = chance.choice(POOLS)
    server = chance.choice(site.listed(pool))
    if len(site.listed(pool)) <= 2 or not server.lock.acquire(blocking=False):
        return
    spoilt = {**site.entry(server, 'ready'), **chance.choice(_SPOILT)}
    site.store.put('servers', server.name, spoilt)
    gevent.sleep(for_s)
    _beat(site, server)
    server.lock.release()


@writer_faults.register('foreign_entries')
def write_foreign_entries(
    site: SoakSite,
    chance: random.Random,
    for_s: float,
) -> None:
    """Write entries that name no endpoint, and no entries at all."""
    server = site.pick_listed(chance.choice(POOLS), chance)
    names = [next(_foreign_names) for _entry in range(chance.randrange(1, 5))]
    for name in names:
        spoilt = {**site.entry(server, 'ready'), **chance.choice(_SPOILT)}
        site.store.put('servers', name, spoilt)
    odd = next(_foreign_names)
    site.store.put_raw('servers', odd, chance.choice(_NO_ENTRIES))
    gevent.sleep(for_s)
    for name in (*names, odd):
        site.store.delete('servers', name)


def _is_listed(server: Server) -> bool:
    return server.alive and server.draining_since_s is None


def _beat(site: SoakSite, server: Server) -> None:
    # Another fault may have had it leave or end meanwhile.
    if _is_listed(server):
        site.list_server(server, 'ready')


def restart_server(server: Server, down_s: float) -> None:
    """End an endpoint and start it again at its address.

    :param server: the endpoint.
    :param down_s: seconds until it listens again.
    """
    before = server.standin
    before.stop()
    server.link.reset()
    gevent.sleep(down_s)
    if not server.alive:
        return
    port = int(before.address.rpartition(':')[2])
    server.standin = PoolServerStandIn(name=server.name, port=port)
    server.set_up()
    # The ledger outlives the start, so that runs of both are compared.
    server.standin.runs = before.runs
