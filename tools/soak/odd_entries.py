"""Entries of other writers whose address is none, as long as a soak strikes.

Drawn apart from the faults, so that the seeds of soaks with other writers stay
the same series.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Any, Final, final

import gevent

from tools.soak.promises import promises
from tools.soak.site import POOLS, ZONES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.soak.site import Server, SoakSite
    from tools.soak.traffic import Outcome

# Texts that fail at once where they are dialed, so that nothing looks them up.
_ODD_ADDRESSES: Final = ('a..b:8080', f'{"x" * 70}:8080', '.:8080')
# What else such entries say.
_CHANGES: Final[tuple[dict[str, Any], ...]] = (
    {},
    {'slots': 10**9},
    {'state': 'draining'},
)
# Bounds of the seconds that entries stay as they are.
_STAY_S: Final = (0.3, 1.5)
_FEWEST: Final = 2
_FAULT: Final = b'A fault of the program ended a call.'
_MOST_SHOWN: Final = 300


@promises.register('no_fault_ends_a_call')
def no_fault_ends_a_call(
    site: SoakSite,
    outcomes: list[Outcome],
) -> Iterator[str]:
    """No gateway ends a call by a fault of the program."""
    for name, gateway in site.gateways.items():
        told = [
            line
            for line in gateway.log.read_bytes().splitlines()
            if _FAULT in line
        ]
        if told:
            first = told[0][:_MOST_SHOWN].decode('utf-8', 'replace')
            yield f'{name} ended {len(told)} calls by a fault: {first}'


@final
class OddEntries:
    """Keeps odd entries in each pool and zone, and spoils sound ones."""

    def __init__(self, *, site: SoakSite, seed: int) -> None:
        """Start to write.

        :param site: the site.
        :param seed: draws the entries and how long they stay.
        """
        self._site = site
        self._chance = random.Random(seed)
        self._names: set[str] = set()
        self._is_over = False
        self._write_all()
        self._writing = [
            gevent.spawn(self._write_on),
            *(gevent.spawn(self._alternate, pool) for pool in POOLS),
        ]

    def stop(self) -> None:
        """Write no more, and leave no odd entry."""
        self._is_over = True
        gevent.joinall(self._writing, raise_error=True)
        for name in self._names:
            self._site.store.delete('servers', name)

    def _write_on(self) -> None:
        while not self._is_over:
            self._stay()
            self._write_all()

    def _write_all(self) -> None:
        for pool, zone in itertools.product(POOLS, ZONES):
            for number, changes in enumerate(_CHANGES):
                name = f'odd-{pool}-{zone}-{number}'
                self._names.add(name)
                self._write(name, service=pool, zone=zone, **changes)

    def _write(self, name: str, **changes: Any) -> None:
        # All but what is changed is as in an entry of an endpoint.
        sound = self._site.entry(self._site.servers[0], 'ready')
        odd = self._chance.choice(_ODD_ADDRESSES)
        entry = {**sound, 'address': odd, **changes}
        self._site.store.put('servers', name, entry)

    def _alternate(self, pool: str) -> None:
        while not self._is_over:
            listed = self._site.listed(pool)
            if len(listed) > _FEWEST:
                self._spoil(self._chance.choice(listed))
            self._stay()

    def _spoil(self, server: Server) -> None:
        # Another fault may start it again or spoil its entry.
        if not server.lock.acquire(blocking=False):
            return
        odd = self._chance.choice(_ODD_ADDRESSES)
        entry = {**self._site.entry(server, 'ready'), 'address': odd}
        self._site.store.put('servers', server.name, entry)
        self._stay()
        # It may have left or ended meanwhile.
        if server.alive and server.draining_since_s is None:
            self._site.list_server(server, 'ready')
        server.lock.release()

    def _stay(self) -> None:
        gevent.sleep(self._chance.uniform(*_STAY_S))
