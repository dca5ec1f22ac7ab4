"""A long configuration reaches a gateway whose link is slow.

Symptom: a route that the store had accepted 3.6 s before was refused with 404
by gateways with slow links; some never had it while their links stayed full.
Sequence: a configuration of 800 KB was written, which takes such a link 1.3 s,
and a change of one route 3.4 s later. All peers had both within a second.
Cause: a gateway that was behind asked another peer each 0.6 s while the first
answer was on its way, so that several copies shared the link; each took longer
than the 3 s by which its sender bounded the whole of it, was cut off there and
was asked for anew.
What settled it: 7.4 to 9.4 MB received in 16 s where two copies of 0.8 MB were
needed, and 563 times "A peer is gone." without "A peer was cut off.", 3 s after
the transfers began.
"""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING, Any

import orjson
import pytest

from standins.link import Bandwidth
from tests.gateway_site import HOST, GatewaySite, route
from tests.local_site import wait_until
from tests.peer_standin import PeerStandIn

if TYPE_CHECKING:
    from collections.abc import Iterator

PEERS = 6
ROUTES = 4000
# The configuration takes 3 s of the link: what is sent once is in time.
LINK_S = 3


def long_configuration(version: int) -> dict[str, Any]:
    """Make a configuration with many routes, no two alike."""
    names = [
        hashlib.sha256(f'{number}'.encode()).hexdigest()
        for number in range(ROUTES)
    ]
    routes = [route(name, 'plain', kind='safe') for name in names]
    return {'version': version, 'routes': routes, 'services': []}


LONG = long_configuration(2)
LONG_BYTES = len(orjson.dumps(LONG))


@pytest.fixture
def link() -> Bandwidth:
    """Give the slow link of a gateway, for all that it receives."""
    return Bandwidth(bytes_per_s=LONG_BYTES // LINK_S)


@pytest.fixture
def peers(link: Bandwidth) -> Iterator[list[PeerStandIn]]:
    """Give peers that know a short configuration."""
    peers = [
        PeerStandIn(name=f'ahead-{number}', bandwidth=link)
        for number in range(PEERS)
    ]
    for peer in peers:
        peer.apply_configuration(
            10, {'version': 1, 'routes': [], 'services': []}
        )
    yield peers
    for peer in peers:
        peer.stop()


def test_two_changes_are_in_force_in_about_the_time_that_they_take(
    gateway_site: GatewaySite,
    link: Bandwidth,
    peers: list[PeerStandIn],
):
    gateway = gateway_site.start_gateway(
        peers={
            'listen': f'{HOST}:0',
            'seeds': [peer.link.address for peer in peers],
        },
        # Its own way to the store leads nowhere.
        store={'address': f'{HOST}:1', 'watch_ms': 500},
    )
    wait_until(lambda: len(gateway.status()['peers']) == PEERS)
    wait_until(lambda: gateway.status()['config'] == 1)
    before_bytes, began_s = link.passed_bytes, time.monotonic()
    for peer in peers:
        peer.apply_configuration(20, LONG)
    wait_until(lambda: gateway.status()['config'] == 2)
    for peer in peers:
        peer.apply_configuration(21, {**LONG, 'version': 3})
    wait_until(lambda: gateway.status()['config'] == 3)
    # Two transfers, and as much again for questions, heartbeats and chance.
    assert time.monotonic() - began_s < 4 * LINK_S
    assert link.passed_bytes - before_bytes < 4 * LONG_BYTES
    # No session was cut off on the way.
    assert all(peer.session_count == 1 for peer in peers)
