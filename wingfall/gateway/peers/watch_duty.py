"""Which gateways watch the store for the others.

All gateways that hear each other come to the same answer; owns only since when
there have been too few.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.peers.ranking import rank

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.gateway.peers.peer_session import PeerSession

# One watcher may end and one be cut from the store, and changes still come.
WATCHERS: Final = 3
# Until the others hear that a gateway has stepped in: it looks each 0.1 s,
# asks the store, and tells with its next heartbeat, 0.1 s later at most.
_WAVE_MS: Final = 500


@final
class WatchDuty:
    """Decides whether this gateway watches, in an order that all agree on.

    When some of the first no longer hear the store, those next in order step
    in, twice as many with each wave. Without the waves all gateways would do
    so at once, and a store with long objects would send each of them a list.
    """

    __slots__ = ('_short_since_ms',)

    def __init__(self) -> None:
        """Start with no watcher missing."""
        # Since when there have been too few watchers before this gateway.
        self._short_since_ms: int | None = None

    def holds(self, before: Collection[PeerSession], now_ms: int) -> bool:
        """Tell whether this gateway shall watch the store.

        :param before: peers that are heard and stand before it in the order.
        :param now_ms: the time.
        :returns: whether it shall.
        """
        watching = sum(each.watching for each in before)
        if watching >= WATCHERS:
            self._short_since_ms = None
            return False
        if self._short_since_ms is None:
            self._short_since_ms = now_ms
        waves = 1 + (now_ms - self._short_since_ms) // _WAVE_MS
        return len(before) < WATCHERS * 2**waves


def peers_before(
    name: str,
    sessions: Iterable[PeerSession],
    seen_since_ms: int,
) -> list[PeerSession]:
    """List the peers that stand before a gateway in the order of all.

    :param name: name of the gateway.
    :param sessions: its connected peers.
    :param seen_since_ms: since when a peer must have been seen.
    :returns: those that were seen, stay, and come first.
    """
    own_rank = rank(name)
    return [
        session
        for session in sessions
        if not session.leaving
        and session.last_seen_ms >= seen_since_ms
        and rank(session.name) < own_rank
    ]
