"""Known addresses of other gateways, and which of them are reachable."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, final

from returns.pipeline import is_successful

from wingfall.address import parse_destination

if TYPE_CHECKING:
    from collections.abc import Iterable

# Dials per round. With a round each 0.3 s, 300 gateways are connected some ten
# seconds after a start, by calculation.
_MAX_DIALS: Final = 8
# Consecutive failed dials after which an address is removed: some ten seconds
# with a round each 0.3 s.
_MAX_FAILED_DIALS: Final = 30
# Addresses in a hello: all are known after some hellos. Hellos with all
# addresses caused the most traffic between zones with 298 gateways.
_MOST_NAMED: Final = 24
# Maximum addresses that peers can add.
_MAX_NAMED_ADDRESSES: Final = 2_480


@final
class PeerAddresses:
    """Addresses (``host:port``) of gateways from the settings and peers."""

    __slots__ = ('_active_dials', '_failed_dials', '_own', '_seeds')

    def __init__(self, *, own: Iterable[str], seeds: Iterable[str]) -> None:
        """Create the set of addresses from the seeds.

        :param own: addresses of this gateway.
        :param seeds: addresses that are never removed.
        """
        self._own = set(own)
        self._seeds = set(seeds)
        # Consecutive failed dials by address.
        self._failed_dials: dict[str, int] = {}
        # Addresses with a dial in progress or a dialed connection in use.
        self._active_dials: set[str] = set()
        self.add(self._seeds)

    @property
    def count(self) -> int:
        """Number of known addresses."""
        return len(self._failed_dials)

    def add_own(self, addresses: Iterable[str]) -> None:
        """Add addresses of this gateway, which are not dialed.

        :param addresses: the addresses.
        """
        self._own.update(addresses)

    def add(self, addresses: Iterable[str]) -> None:
        """Add addresses of other gateways.

        :param addresses: addresses to add; own addresses are skipped.
        """
        for address in addresses:
            if address not in self._own:
                self._failed_dials.setdefault(address, 0)

    def add_named(self, addresses: Iterable[str]) -> int:
        """Add addresses that a peer has named.

        :param addresses: what the peer has named.
        :returns: how many were left out, since they are no addresses or too
            many are known.
        """
        left_out = 0
        for address in addresses:
            if address in self._failed_dials:
                continue
            is_full = self.count >= _MAX_NAMED_ADDRESSES
            if is_full or not is_successful(parse_destination(address)):
                left_out += 1
            else:
                self.add((address,))
        return left_out

    def sample(self) -> list[str]:
        """Return a random sample of addresses for a hello.

        :returns: a bounded number of addresses.
        """
        known = list(self._failed_dials)
        return random.sample(known, min(_MOST_NAMED, len(known)))

    def choose_dial_targets(self, connected: set[str]) -> list[str]:
        """Choose addresses to dial.

        The choice is random, so that two gateways rarely dial each other.

        :param connected: addresses of the connected peers.
        :returns: a bounded number of addresses.
        """
        # Over a slow link a dial takes longer than the time between rounds.
        missing = sorted(
            self._failed_dials.keys() - connected - self._active_dials
        )
        return random.sample(missing, min(_MAX_DIALS, len(missing)))

    def begin_dial(self, address: str) -> None:
        """Record the start of a dial.

        :param address: address that is dialed.
        """
        self._active_dials.add(address)

    def end_dial(self, address: str) -> None:
        """Record the end of a dialed connection, or a failed dial.

        :param address: address that was dialed.
        """
        self._active_dials.discard(address)

    def note_reached(self, address: str) -> None:
        """Record a successful dial.

        :param address: address that was dialed.
        """
        self._failed_dials[address] = 0

    def note_dial_failed(self, address: str) -> bool:
        """Record a failed dial.

        :param address: address that was dialed.
        :returns: whether the address was removed.
        """
        failed_dials = self._failed_dials.get(address, 0) + 1
        self._failed_dials[address] = failed_dials
        if failed_dials <= _MAX_FAILED_DIALS or address in self._seeds:
            return False
        self._failed_dials.pop(address)
        return True
