"""Tests for the choice of watchers and the replacement of lost watchers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.fake_connection import make_peer
from wingfall.gateway.peers.watch_duty import WATCHER_COUNT, WatchDuty

if TYPE_CHECKING:
    from wingfall.gateway.peers.peer_session import PeerSession

GATEWAYS = 30


def make_peers(*, watching: int, lost: int = 0) -> list[PeerSession]:
    """Create peers by rank: first lost, then watching, then idle peers."""
    peers = [make_peer(f'peer-{rank}', 'osl-a') for rank in range(GATEWAYS)]
    for peer in peers[lost : lost + watching]:
        peer.watching = True
    return peers


def watchers(
    peers: list[PeerSession],
    duties: list[WatchDuty],
    now_ms: int,
) -> list[int]:
    """Return the ranks of the gateways that shall watch the store."""
    return [
        rank
        for rank, duty in enumerate(duties)
        if duty.should_watch(peers[:rank], now_ms)
    ]


def make_duties() -> list[WatchDuty]:
    """Create the watch duty of each gateway."""
    return [WatchDuty() for _gateway in range(GATEWAYS)]


def test_first_gateways_watch():
    peers = make_peers(watching=WATCHER_COUNT)
    assert watchers(peers, make_duties(), 0) == list(range(WATCHER_COUNT))


def test_next_gateways_watch_at_once_when_watchers_are_lost():
    peers = make_peers(watching=1, lost=2)
    assert watchers(peers, make_duties(), 0) == list(range(2 * WATCHER_COUNT))


def test_each_wave_doubles_the_watchers():
    peers = make_peers(watching=0)
    duties = make_duties()
    assert len(watchers(peers, duties, 0)) == 2 * WATCHER_COUNT
    assert len(watchers(peers, duties, 499)) == 2 * WATCHER_COUNT
    assert len(watchers(peers, duties, 500)) == 4 * WATCHER_COUNT
    assert len(watchers(peers, duties, 1500)) == GATEWAYS


def test_waves_restart_after_enough_watchers():
    duties = make_duties()
    assert len(watchers(make_peers(watching=0), duties, 0)) == 2 * WATCHER_COUNT
    assert (
        len(watchers(make_peers(watching=WATCHER_COUNT), duties, 900))
        == WATCHER_COUNT
    )
    assert (
        len(watchers(make_peers(watching=0), duties, 1000)) == 2 * WATCHER_COUNT
    )


def test_gateway_without_peers_watches():
    assert WatchDuty().should_watch([], 0)
