"""Connects to known gateways that are not connected yet.

Owns the rounds of dials; :mod:`wingfall.gateway.peers.peer_addresses` holds the
addresses and chooses which to dial.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Callable, Final, final

import gevent

from wingfall.address import parse_destination
from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.address import Address
    from wingfall.gateway.peers.peer_addresses import PeerAddresses
    from wingfall.supervisor import Supervisor

# Timeout of a connect. A slow link may need several attempts.
_CONNECT_TIMEOUT_S: Final = 1
# Time between two rounds of dials.
_DIAL_INTERVAL_MS: Final = 300


@final
class PeerDialer:
    """Dials peers until the process stops."""

    __slots__ = ('_addresses', '_connected', '_run', '_supervisor')

    def __init__(
        self,
        *,
        addresses: PeerAddresses,
        connected_addresses: Callable[[], Iterable[str]],
        run_session: Callable[[socket.socket], None],
        supervisor: Supervisor,
    ) -> None:
        """Create a dialer that has not dialed yet.

        :param addresses: known addresses of other gateways.
        :param connected_addresses: returns addresses of the connected peers.
        :param run_session: runs a session on a socket until the session ends.
        :param supervisor: signals when to stop.
        """
        self._addresses = addresses
        self._connected = connected_addresses
        self._run = run_session
        self._supervisor = supervisor

    def dial_forever(self, on_removed: Callable[[], None]) -> None:
        """Dial some missing peers in each round, until the process stops.

        :param on_removed: called when an address is removed after too
            many failed dials.
        """
        while not self._supervisor.stopped:
            connected = set(self._connected())
            for address in self._addresses.choose_dial_targets(connected):
                gevent.spawn(self._dial, address, on_removed)
            gevent.sleep(_DIAL_INTERVAL_MS / MS_PER_S)

    def _dial(self, address: str, on_removed: Callable[[], None]) -> None:
        self._addresses.begin_dial(address)
        try:
            self._connect(address, on_removed)
        finally:
            self._addresses.end_dial(address)

    def _connect(
        self,
        address: str,
        on_removed: Callable[[], None],
    ) -> None:
        sock = parse_destination(address).map(_open_connection).value_or(None)
        if sock is None:
            if self._addresses.note_dial_failed(address):
                on_removed()
            return
        self._addresses.note_reached(address)
        self._run(sock)


def _open_connection(address: Address) -> socket.socket | None:
    target = (address.host, address.port)
    try:
        return socket.create_connection(target, _CONNECT_TIMEOUT_S)
    except OSError:
        return None
