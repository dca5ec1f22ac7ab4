"""Addresses that peers name."""

from __future__ import annotations

import socket

import pytest

from tests.gateway_site import GatewaySite
from tests.local_site import wait_until
from wingfall.gateway.peers.peer_addresses import PeerAddresses
from wingfall.wire.codec import encode
from wingfall.wire.gateway_messages import GatewayHello

# Addresses of all daemons that the target of two years has.
DAEMONS = 620


@pytest.mark.parametrize(
    'address',
    [
        '',
        'nowhere',
        'a:b',
        ':80',
        '127.0.0.1:',
        '127.0.0.1:0',
        '127.0.0.1:99999',
        '127.0.0.1:-1',
        '127.0.0.1:\u0661',
        'a..b:1',
        f'{"a" * 70}:1',
        f'{"a." * 200}b:1',
        'somewhere:80',
        '127.1:80',
        '127.0.0.1:080',
        '127.0.0.1\x00:80',
        '0.0.0.0:80',
        '[ff02::1]:80',
        '[::1:80',
        '::::1',
        'fe80::1%lo:80',
    ],
)
def test_named_address_that_is_none_is_not_passed_on(address: str):
    addresses = PeerAddresses(own=(), seeds=())
    assert addresses.add_named([address, '127.0.0.1:80']) == 1
    assert addresses.sample() == ['127.0.0.1:80']


@pytest.mark.parametrize('address', ['[::1]:80', '::1:80', '10.0.0.1:65535'])
def test_named_address_of_one_vm_is_passed_on(address: str):
    addresses = PeerAddresses(own=(), seeds=())
    assert not addresses.add_named([address])
    assert addresses.sample() == [address]


def test_named_addresses_are_bounded():
    addresses = PeerAddresses(own=(), seeds=['seed:1'])
    daemons = [
        f'10.{number // 250}.{number % 250}.1:9' for number in range(DAEMONS)
    ]
    assert not addresses.add_named(daemons)
    for number in range(1000):
        addresses.add_named(
            f'172.{each}.{number // 250}.{number % 250}:1' for each in range(9)
        )
    assert addresses.count > 2 * DAEMONS
    assert addresses.count < 10 * DAEMONS
    assert not addresses.add_named(daemons)


@pytest.mark.parametrize('known', [[1], [[]], ['a:b', '127.0.0.1:99999']])
def test_hello_of_a_stranger_does_not_end_the_dials(
    gateway_site: GatewaySite, known: list[object]
):
    gateway_site.add_server('one', 'engines')
    gateway_site.add_gateway()
    (poisoned,) = gateway_site.gateways
    host, _colon, port = poisoned.peer_address.rpartition(':')
    hello = GatewayHello(name='p', address='127.0.0.1:1', known=known)
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(encode(hello))
        sock.settimeout(0.1)
        wait_until(lambda: 'p' in poisoned._peers.names or is_closed(sock))
    with socket.create_server(('127.0.0.1', 0)) as dialed:
        dialed.settimeout(5)
        poisoned._peers.add_addresses([f'127.0.0.1:{dialed.getsockname()[1]}'])
        dialed.accept()[0].close()
    wait_until(lambda: not poisoned._peers.names)


def is_closed(sock: socket.socket) -> bool:
    """Check if the other side has closed, passing over what it sent."""
    try:
        return not sock.recv(65_536)
    except TimeoutError:
        return False
