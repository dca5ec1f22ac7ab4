"""Which gateway speaks for its availability zone.

All gateways of a zone come to the same answer from what they hear.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wingfall.gateway.peers.ranking import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.peers.peer_session import PeerSession


def find_relay(
    sessions: Iterable[PeerSession],
    seen_since_ms: int,
) -> PeerSession | None:
    """Find the relay among the gateways of a zone.

    :param sessions: sessions with gateways of that zone.
    :param seen_since_ms: since when a gateway must have been heard.
    :returns: of those that are heard and stay, and that hear the most other
        zones, the first by rank; None without one.
    """
    heard = [
        session
        for session in sessions
        if not session.leaving and session.last_seen_ms >= seen_since_ms
    ]
    return min(
        heard,
        key=lambda each: relay_rank(each.name, each.reach),
        default=None,
    )


def relay_rank(name: str, reach: int) -> tuple[int, bytes]:
    """Order the gateways of a zone by how well they can speak for it.

    One that is cut off from other zones can't.

    :param name: name of a gateway.
    :param reach: how many other zones it hears.
    :returns: what it is sorted by, the relay first.
    """
    return (-reach, rank(name))
