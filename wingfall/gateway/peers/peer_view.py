"""Order of a gateway among its peers, for the store watch and the lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.duties.takeover import PeerSnapshot
from wingfall.gateway.peers.heartbeat_schedule import max_seen_age_ms
from wingfall.gateway.peers.watch_duty import (
    WATCHER_COUNT,
    WatchDuty,
    list_preceding_peers,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.peers.peer_addresses import PeerAddresses
    from wingfall.gateway.peers.peer_session import PeerSession


@final
class PeerView:
    """View of the peers that precede this gateway in the common order."""

    __slots__ = ('_addresses', '_clock', '_name', '_sessions', '_watch_duty')

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        sessions: Mapping[str, PeerSession],
        addresses: PeerAddresses,
    ) -> None:
        """Create a view of sessions, which stay owned by the caller.

        :param name: name of this gateway.
        :param clock: clock of this gateway.
        :param sessions: sessions with connected peers by name.
        :param addresses: known addresses of other gateways.
        """
        self._name = name
        self._clock = clock
        self._sessions = sessions
        self._addresses = addresses
        self._watch_duty = WatchDuty()

    @property
    def holds_watch(self) -> bool:
        """Whether this gateway shall watch the store.

        Connected gateways agree on the watchers; a watcher that is silent for
        a moment is replaced by the next gateway in the order.
        """
        # Watchers send each second, however many gateways there are.
        before = self._preceding_peers(max_seen_age_ms(1))
        return self._watch_duty.should_watch(before, self._clock.now_ms())

    @property
    def rank(self) -> int:
        """Number of connected peers that precede this gateway."""
        within_ms = max_seen_age_ms(len(self._sessions))
        return len(self._preceding_peers(within_ms))

    @property
    def is_among_first(self) -> bool:
        """Whether this gateway is among the first to retry a lost store."""
        return self.rank < WATCHER_COUNT

    def snapshot(self) -> PeerSnapshot:
        """Return a snapshot of the peers, for eligibility for the lease.

        :returns: preceding, connected and known peers, and whether a
            connected peer holds the lease.
        """
        within_ms = max_seen_age_ms(len(self._sessions))
        return PeerSnapshot(
            predecessor_count=len(self._preceding_peers(within_ms)),
            connected=frozenset(self._sessions),
            known_count=self._addresses.count,
            holder_connected=any(
                each.holds_lease for each in self._sessions.values()
            ),
        )

    def _preceding_peers(self, within_ms: int) -> list[PeerSession]:
        seen_since_ms = self._clock.now_ms() - within_ms
        sessions = self._sessions.values()
        return list_preceding_peers(self._name, sessions, seen_since_ms)
