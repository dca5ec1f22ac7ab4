"""Which gateways watch the store, and who steps in for one that can not."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.fake_connection import make_peer
from wingfall.gateway.peers.watch_duty import WATCHERS, WatchDuty

if TYPE_CHECKING:
    from wingfall.gateway.peers.peer_session import PeerSession

GATEWAYS = 30


def order(*, watching: int, lost: int = 0) -> list[PeerSession]:
    """Make gateways in their order: some lost, some watching, others not."""
    peers = [make_peer(f'peer-{place}', 'osl-a') for place in range(GATEWAYS)]
    for peer in peers[lost : lost + watching]:
        peer.watching = True
    return peers


def holders(
    peers: list[PeerSession],
    duties: list[WatchDuty],
    now_ms: int,
) -> list[int]:
    """List the places of those that watch or step in."""
    return [
        place
        for place, duty in enumerate(duties)
        if duty.holds(peers[:place], now_ms)
    ]


def make_duties() -> list[WatchDuty]:
    """Make the duty of each gateway."""
    return [WatchDuty() for _gateway in range(GATEWAYS)]


def test_first_gateways_watch():
    peers = order(watching=WATCHERS)
    assert holders(peers, make_duties(), 0) == list(range(WATCHERS))


def test_few_gateways_step_in_at_once_for_those_that_are_lost():
    peers = order(watching=1, lost=2)
    assert holders(peers, make_duties(), 0) == list(range(2 * WATCHERS))


def test_twice_as_many_step_in_with_each_wave():
    peers = order(watching=0)
    duties = make_duties()
    assert len(holders(peers, duties, 0)) == 2 * WATCHERS
    assert len(holders(peers, duties, 499)) == 2 * WATCHERS
    assert len(holders(peers, duties, 500)) == 4 * WATCHERS
    assert len(holders(peers, duties, 1500)) == GATEWAYS


def test_waves_begin_anew_once_there_were_enough():
    duties = make_duties()
    assert len(holders(order(watching=0), duties, 0)) == 2 * WATCHERS
    assert len(holders(order(watching=WATCHERS), duties, 900)) == WATCHERS
    assert len(holders(order(watching=0), duties, 1000)) == 2 * WATCHERS


def test_gateway_that_hears_no_peer_watches():
    assert WatchDuty().holds([], 0)
