"""What a gateway sees of its peers, for who watches the store and who leads."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.duties.standing import Peering
from wingfall.gateway.peers.heartbeat_schedule import seen_within_ms
from wingfall.gateway.peers.watch_duty import (
    WATCHERS,
    WatchDuty,
    peers_before,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.peers.peer_addresses import PeerAddresses
    from wingfall.gateway.peers.peer_session import PeerSession


@final
class PeerView:
    """Which peers go before this gateway in the order that all agree on."""

    __slots__ = ('_addresses', '_clock', '_name', '_sessions', '_watch_duty')

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        sessions: Mapping[str, PeerSession],
        addresses: PeerAddresses,
    ) -> None:
        """Look at sessions that another part owns.

        :param name: name of this gateway.
        :param clock: the time.
        :param sessions: the sessions with connected peers by name.
        :param addresses: where other gateways may be found.
        """
        self._name = name
        self._clock = clock
        self._sessions = sessions
        self._addresses = addresses
        self._watch_duty = WatchDuty()

    @property
    def holds_watch(self) -> bool:
        """Whether this gateway shall watch the store.

        Some gateways watch, the same for all who hear each other; one that
        isn't heard for a moment is replaced by the next.
        """
        # Who watches is heard each second, however many gateways there are.
        before = self._peers_before(seen_within_ms(1))
        return self._watch_duty.holds(before, self._clock.now_ms())

    @property
    def leads(self) -> bool:
        """Whether this gateway shall be among the first to ask a lost store."""
        within_ms = seen_within_ms(len(self._sessions))
        return len(self._peers_before(within_ms)) < WATCHERS

    def look(self) -> Peering:
        """Tell what is seen of the others, for who stands for the lease.

        :returns: how many go before this gateway, are heard, and are known.
        """
        within_ms = seen_within_ms(len(self._sessions))
        return Peering(
            before=len(self._peers_before(within_ms)),
            heard=frozenset(self._sessions),
            known=self._addresses.count,
            holder_heard=any(
                each.holds_lease for each in self._sessions.values()
            ),
        )

    def _peers_before(self, within_ms: int) -> list[PeerSession]:
        seen_since_ms = self._clock.now_ms() - within_ms
        sessions = self._sessions.values()
        return peers_before(self._name, sessions, seen_since_ms)
