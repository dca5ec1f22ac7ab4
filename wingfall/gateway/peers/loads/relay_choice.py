"""Choice of the relay of an availability zone.

All gateways of a zone choose the same relay from the heartbeats they receive.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wingfall.gateway.peers.ranking import compute_rank

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.peers.peer_session import PeerSession


def find_relay(
    sessions: Iterable[PeerSession],
    seen_since_ms: int,
) -> PeerSession | None:
    """Return the relay among the gateways of a zone.

    :param sessions: sessions with gateways of that zone.
    :param seen_since_ms: minimum time of the last heartbeat of a candidate.
    :returns: of the gateways that are seen and not leaving, the one reaching
        the most other zones, the first by rank if several do; None without one.
    """
    candidates = [
        session
        for session in sessions
        if not session.leaving and session.last_seen_ms >= seen_since_ms
    ]
    return min(
        candidates,
        key=lambda each: relay_rank(each.name, each.reached_zones),
        default=None,
    )


def relay_rank(name: str, reach: int) -> tuple[int, bytes]:
    """Return the sort key of a gateway in the choice of the relay.

    A gateway that is cut off from other zones cannot be their relay.

    :param name: name of a gateway.
    :param reach: number of other zones that it receives heartbeats from.
    :returns: sort key; the relay has the lowest.
    """
    return (-reach, compute_rank(name))
