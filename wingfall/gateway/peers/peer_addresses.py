"""Where other gateways may be found, and which of them can be reached."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

# Dials of a round. With a round each 0.3 s, by arithmetic, 300 gateways are
# connected some ten seconds after a start.
_MOST_DIALS: Final = 8
# Dials in a row that fail before an address is forgotten: some ten seconds with
# a round each 0.3 s.
_MOST_MISSED: Final = 30
# Addresses that a hello names: all are known after some hellos. Hellos that
# named all were the largest price between zones with 298 gateways.
_MOST_NAMED: Final = 24


@final
class PeerAddresses:
    """The addresses (``host:port``) that settings and peers have named."""

    __slots__ = ('_dialing', '_missed', '_own', '_seeds')

    def __init__(self, *, own: str, seeds: Iterable[str]) -> None:
        """Start with the seeds.

        :param own: address of this gateway.
        :param seeds: addresses that are never forgotten.
        """
        self._own = own
        self._seeds = set(seeds)
        # Dials in a row that failed, by address.
        self._missed: dict[str, int] = {}
        # Where a connection is being opened, or one that was is still used.
        self._dialing: set[str] = set()
        self.add(self._seeds)

    @property
    def count(self) -> int:
        """How many addresses are known."""
        return len(self._missed)

    def add(self, addresses: Iterable[str]) -> None:
        """Learn of further gateways.

        :param addresses: where they may be found.
        """
        for address in addresses:
            if address != self._own:
                self._missed.setdefault(address, 0)

    def name_some(self) -> list[str]:
        """Draw addresses for a hello.

        :returns: a bounded number of addresses.
        """
        known = list(self._missed)
        return random.sample(known, min(_MOST_NAMED, len(known)))

    def choose_dials(self, connected: set[str]) -> list[str]:
        """Draw where to connect now, so that two rarely dial each other.

        :param connected: addresses of the connected peers.
        :returns: a bounded number of addresses.
        """
        # Over a slow link a dial takes longer than the time between two.
        missing = sorted(self._missed.keys() - connected - self._dialing)
        return random.sample(missing, min(_MOST_DIALS, len(missing)))

    def begin_dial(self, address: str) -> None:
        """Note that a connection is being opened.

        :param address: where.
        """
        self._dialing.add(address)

    def end_dial(self, address: str) -> None:
        """Note that a connection that was opened has ended, or none came up.

        :param address: where.
        """
        self._dialing.discard(address)

    def note_reached(self, address: str) -> None:
        """Note that a connection came up.

        :param address: where.
        """
        self._missed[address] = 0

    def note_missed(self, address: str) -> bool:
        """Note that no connection came up.

        :param address: where.
        :returns: whether the address is forgotten by now.
        """
        missed = self._missed.get(address, 0) + 1
        self._missed[address] = missed
        if missed <= _MOST_MISSED or address in self._seeds:
            return False
        self._missed.pop(address)
        return True
