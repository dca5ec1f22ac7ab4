"""The network between the gateways of a soak: who hears whom in a cut."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from tests.gateway_site import HOST, GatewaySite
from tests.local_site import wait_until
from tools.fleet import free_port
from tools.soak.peer_links import PeerLinks

if TYPE_CHECKING:
    from collections.abc import Iterator

GATEWAYS: Final = 3
NAMES: Final = [f'gateway-{number}' for number in range(GATEWAYS)]


@pytest.fixture
def links(gateway_site: GatewaySite) -> Iterator[PeerLinks]:
    """Give the links of three gateways that are connected over them."""
    listening = {name: f'{HOST}:{free_port()}' for name in NAMES}
    links = PeerLinks(listening=listening)
    for name, address in listening.items():
        gateway_site.start_gateway(
            peers={
                'listen': address,
                'announce': links.address(name),
                'seeds': [links.address('gateway-0')],
            },
        )
    wait_until(lambda: sees(gateway_site) == [{1, 2}, {0, 2}, {0, 1}])
    yield links
    links.close()


def sees(site: GatewaySite) -> list[set[int]]:
    """Return which others each gateway is connected to."""
    return [
        {NAMES.index(name) for name in gateway.status()['peers']}
        for gateway in site.gateways
    ]


def test_gateway_is_cut_off_from_all_others(
    gateway_site: GatewaySite, links: PeerLinks
):
    links.cut('gateway-2', ['gateway-0', 'gateway-1'])
    wait_until(lambda: sees(gateway_site) == [{1}, {0}, set()])
    links.heal('gateway-2', resets=True)
    wait_until(lambda: sees(gateway_site) == [{1, 2}, {0, 2}, {0, 1}])


def test_two_gateways_are_cut_off_from_each_other(
    gateway_site: GatewaySite, links: PeerLinks
):
    links.cut('gateway-2', ['gateway-0'])
    wait_until(lambda: sees(gateway_site) == [{1}, {0, 2}, {1}])
    links.heal('gateway-2', resets=False)
    wait_until(lambda: sees(gateway_site) == [{1, 2}, {0, 2}, {0, 1}])
