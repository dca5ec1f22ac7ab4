"""Connects to gateways that are known and not connected.

Owns the rounds of dials; which addresses there are, and which are due, is the
matter of :mod:`wingfall.gateway.peers.peer_addresses`.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Callable, Final, final

import gevent

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.peers.peer_addresses import PeerAddresses
    from wingfall.supervisor import Supervisor

# Seconds for a connect. A slow link may need several tries.
_CONNECT_S: Final = 1
# Milliseconds between two rounds of dials.
_DIAL_MS: Final = 300


@final
class PeerDialer:
    """Dials until the process stops."""

    __slots__ = ('_addresses', '_connected', '_run', '_supervisor')

    def __init__(
        self,
        *,
        addresses: PeerAddresses,
        connected: Callable[[], Iterable[str]],
        run: Callable[[socket.socket], None],
        supervisor: Supervisor,
    ) -> None:
        """Set up the dials; none is made yet.

        :param addresses: where gateways may be found.
        :param connected: tells the addresses of the connected peers.
        :param run: holds a session over a connection until it ends.
        :param supervisor: tells when to stop.
        """
        self._addresses = addresses
        self._connected = connected
        self._run = run
        self._supervisor = supervisor

    def dial_forever(self, note_forgotten: Callable[[], None]) -> None:
        """Dial what is due, again and again.

        :param note_forgotten: called when an address was missed so often that
            it is forgotten.
        """
        while not self._supervisor.stopped:
            connected = set(self._connected())
            for address in self._addresses.choose_dials(connected):
                gevent.spawn(self._dial, address, note_forgotten)
            gevent.sleep(_DIAL_MS / MS_PER_S)

    def _dial(self, address: str, note_forgotten: Callable[[], None]) -> None:
        self._addresses.begin_dial(address)
        try:
            self._connect(address, note_forgotten)
        finally:
            self._addresses.end_dial(address)

    def _connect(
        self,
        address: str,
        note_forgotten: Callable[[], None],
    ) -> None:
        host, _colon, port = address.rpartition(':')
        try:
            sock = socket.create_connection((host, int(port)), _CONNECT_S)
        except OSError:
            if self._addresses.note_missed(address):
                note_forgotten()
            return
        self._addresses.note_reached(address)
        self._run(sock)
