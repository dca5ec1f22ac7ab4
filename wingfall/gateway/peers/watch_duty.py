"""Choice of the gateways that watch the store for the others.

Connected gateways arrive at the same choice. The only state is the time since
when there have been too few watchers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.peers.ranking import compute_rank

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wingfall.gateway.peers.peer_session import PeerSession

# Changes still arrive if one watcher ends and one is cut off from the store.
WATCHER_COUNT: Final = 3
# Time until peers know that a gateway has started to watch: it checks each
# 0.1 s, asks the store, and reports in its next heartbeat within 0.1 s.
_WAVE_INTERVAL_MS: Final = 500


@final
class WatchDuty:
    """Decides whether this gateway watches the store, by the common order.

    When some of the first gateways lose the store, the next in order start to
    watch, twice as many with each wave. Without waves all gateways would do so
    at once, and a store with long objects would send each of them a list.
    """

    __slots__ = ('_too_few_since_ms',)

    def __init__(self) -> None:
        """Initialize the duty with no watcher missing."""
        # Since when too few watchers have preceded this gateway.
        self._too_few_since_ms: int | None = None

    def should_watch(
        self, preceding: Collection[PeerSession], now_ms: int
    ) -> bool:
        """Check if this gateway shall watch the store.

        :param preceding: live peers that precede this gateway in the order.
        :param now_ms: current time in milliseconds.
        :returns: whether this gateway shall watch.
        """
        watching = sum(each.watching for each in preceding)
        if watching >= WATCHER_COUNT:
            self._too_few_since_ms = None
            return False
        if self._too_few_since_ms is None:
            self._too_few_since_ms = now_ms
        waves = 1 + (now_ms - self._too_few_since_ms) // _WAVE_INTERVAL_MS
        return len(preceding) < WATCHER_COUNT * 2**waves


def list_preceding_peers(
    name: str,
    sessions: Iterable[PeerSession],
    seen_since_ms: int,
) -> list[PeerSession]:
    """List the live peers that precede a gateway in the common order.

    :param name: name of the gateway.
    :param sessions: sessions with its connected peers.
    :param seen_since_ms: earliest time of the last message of a live peer.
    :returns: sessions with live peers that are not leaving and rank lower.
    """
    own_rank = compute_rank(name)
    return [
        session
        for session in sessions
        if not session.leaving
        and session.last_seen_ms >= seen_since_ms
        and compute_rank(session.name) < own_rank
    ]
