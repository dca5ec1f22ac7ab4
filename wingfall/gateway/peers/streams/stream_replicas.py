"""Choice of the peers that hold the origin of a stream.

All gateways derive the same order from their names and the key of the stream,
so a gateway that is asked to continue a stream finds the peers that know it,
however many gateways there are.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.peers.ranking import compute_rank

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.gateway.knowledge.stream_origins import StreamKey
    from wingfall.gateway.peers.peer_session import PeerSession

# Peers that hold an origin: it is still known if two of them end beside the
# gateway at which the stream began.
REPLICA_COUNT: Final = 3


@final
class StreamReplicas:
    """Peers in the order of their ranks, as a ring."""

    __slots__ = ('_ranks', '_sessions')

    def __init__(self, *, sessions: Mapping[str, PeerSession]) -> None:
        """Create the ring of the connected peers.

        :param sessions: the sessions by name of the peer, updated by their
            owner.
        """
        self._sessions = sessions
        # Ranks and names of the peers, None after a session began or ended.
        self._ranks: list[tuple[bytes, str]] | None = None

    def note_sessions_changed(self) -> None:
        """Order the peers again; called when a session began or ended."""
        self._ranks = None

    def choose(self, key: StreamKey, count: int) -> list[PeerSession]:
        """Choose the peers that hold the origin of a stream.

        :param key: key of the stream.
        :param count: number of peers.
        :returns: the peers that follow the key in the ring; all if there are
            not more.
        """
        ranks = self._order_peers()
        start = bisect.bisect(ranks, (key, ''))
        chosen = ranks[start : start + count]
        chosen += ranks[: min(start, count - len(chosen))]
        sessions = (self._sessions.get(name) for _rank, name in chosen)
        return [each for each in sessions if each is not None]

    def _order_peers(self) -> list[tuple[bytes, str]]:
        if self._ranks is None:
            self._ranks = sorted(
                (compute_rank(each.name), each.name)
                for each in self._sessions.values()
                if each.knows_streams
            )
        return self._ranks
