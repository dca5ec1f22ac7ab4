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
    from collections.abc import Iterable, Mapping

    from wingfall.gateway.knowledge.stream_origins import StreamKey
    from wingfall.gateway.peers.peer_session import PeerSession

# Peers that hold an origin: it is still known if two of them end beside the
# gateway at which the stream began.
REPLICA_COUNT: Final = 3


@final
class StreamReplicas:
    """Peers in the order of their ranks, as a ring."""

    __slots__ = ('_names', '_ranks', '_sessions')

    def __init__(self, *, sessions: Mapping[str, PeerSession]) -> None:
        """Create the ring of the connected peers.

        :param sessions: the sessions by name of the peer, updated by their
            owner.
        """
        self._sessions = sessions
        self._names: set[str] = set()
        self._ranks: list[tuple[bytes, str]] = []

    def choose(self, key: StreamKey, count: int) -> list[PeerSession]:
        """Choose the peers that hold the origin of a stream.

        :param key: key of the stream.
        :param count: number of peers.
        :returns: the peers that follow the key in the ring; all if there are
            not more.
        """
        self._update()
        start = bisect.bisect(self._ranks, (key, ''))
        ordered = self._ranks[start:] + self._ranks[:start]
        return [self._sessions[name] for _rank, name in ordered[:count]]

    def _update(self) -> None:
        names = {each.name for each in _list_capable(self._sessions.values())}
        if names != self._names:
            self._names = names
            self._ranks = sorted((compute_rank(name), name) for name in names)


def _list_capable(sessions: Iterable[PeerSession]) -> list[PeerSession]:
    return [each for each in sessions if each.knows_streams]
