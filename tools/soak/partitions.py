"""Ways in which one gateway of a soak is out of step with the others.

Each begins in the body of a ``with`` statement and ends after it.
"""

from __future__ import annotations

import contextlib
import random
import signal
from collections.abc import Iterator
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING, Callable, Final

import gevent

from standins.link import LinkState
from wingfall.registry import Registry

if TYPE_CHECKING:
    from tools.soak.site import SoakSite

_Playing = Iterator[None]
Partition = Callable[
    ['SoakSite', str, random.Random], AbstractContextManager[None]
]
partitions: Final[Registry[Partition]] = Registry(kind='partition')

# Bounds of the delay of peers' messages in milliseconds.
_LATE_MS: Final = (110, 400)
# Seconds that a gateway stands still in a cut, and that the cut lasts after.
_STILL_S: Final = (1, 2.5)
_CUT_AFTER_S: Final = (0.2, 1)


@partitions.register('store_alone')
@contextlib.contextmanager
def cut_store(site: SoakSite, name: str, chance: random.Random) -> _Playing:
    """Cut a gateway off from the store, both ways or one."""
    site.store_links[name].fail(_draw_cut(chance))
    yield
    site.store_links[name].heal(resets=_draw_resets(chance))


@partitions.register('peers_alone')
@contextlib.contextmanager
def cut_peers(site: SoakSite, name: str, chance: random.Random) -> _Playing:
    """Cut a gateway off from all others."""
    links = site.peer_links
    links.cut(name, _others(site, name))
    yield
    links.heal(name, resets=_draw_resets(chance))


@partitions.register('peers_one_way')
@contextlib.contextmanager
def cut_peers_one_way(
    site: SoakSite, name: str, chance: random.Random
) -> _Playing:
    """Lose what a gateway sends to all others, or what they send to it."""
    links = site.peer_links
    state = chance.choice((LinkState.cut_there, LinkState.cut_back))
    links.cut(name, _others(site, name), state)
    yield
    links.heal(name, resets=_draw_resets(chance))


@partitions.register('pair')
@contextlib.contextmanager
def cut_pair(site: SoakSite, name: str, chance: random.Random) -> _Playing:
    """Cut two gateways off from each other, and one of them from the store."""
    links = site.peer_links
    links.cut(name, [chance.choice(_others(site, name))], _draw_cut(chance))
    with cut_store(site, name, chance):
        yield
    links.heal(name, resets=_draw_resets(chance))


@partitions.register('store_and_peers')
@contextlib.contextmanager
def cut_store_and_peers(
    site: SoakSite, name: str, chance: random.Random
) -> _Playing:
    """Cut a gateway off from the store and from all others."""
    with cut_store(site, name, chance), cut_peers(site, name, chance):
        yield


@partitions.register('store_and_late_peers')
@contextlib.contextmanager
def cut_store_and_delay_peers(
    site: SoakSite, name: str, chance: random.Random
) -> _Playing:
    """Cut a gateway off from the store, and delay what its peers send."""
    links = site.peer_links
    links.delay_answers(name, _others(site, name), chance.randrange(*_LATE_MS))
    with cut_store(site, name, chance):
        yield
    links.heal(name, resets=False)


@partitions.register('stands_still')
@contextlib.contextmanager
def stand_still(site: SoakSite, name: str, chance: random.Random) -> _Playing:
    """Stop a gateway and have it go on while it is cut off."""
    gateway = site.gateways[name]
    with cut_store_and_peers(site, name, chance), site.held[name]:
        gateway.signal(signal.SIGSTOP)
        going_on = gevent.spawn_later(
            chance.uniform(*_STILL_S), gateway.signal, signal.SIGCONT
        )
        yield
        going_on.join()
        gevent.sleep(chance.uniform(*_CUT_AFTER_S))


def _others(site: SoakSite, name: str) -> list[str]:
    return [each for each in site.gateways if each != name]


def _draw_cut(chance: random.Random) -> LinkState:
    return chance.choice(
        (LinkState.cut, LinkState.cut_there, LinkState.cut_back)
    )


def _draw_resets(chance: random.Random) -> bool:
    return chance.choice((True, False))
