"""Entries of other writers whose address is none: calls reach the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
import pytest
from gevent.resolver.thread import Resolver

from tests.gateway_site import known_endpoints
from tests.local_site import wait_until
from tests.test_endpoint_lives import gateway_ports, status_of
from tests.test_foreign_entries import listed, refusals
from wingfall.numeric_resolver import NumericResolver

if TYPE_CHECKING:
    import pathlib

    from tests.gateway_site import GatewaySite
    from wingfall.gateway.application import GatewayApplication

POOLS = ('plain', 'engines')
# Texts that no IP number with a port can be read from.
ODD_ADDRESSES = {
    'an empty label': 'a..b:8080',
    'a dot alone': '.:8080',
    'a label of 70 letters': f'{"x" * 70}:8080',
    '300 letters': f'{"x" * 300}:8080',
    'letters with accents': f'{"é" * 70}:8080',
    'a NUL': '127.0.0.1\x00:8080',
    'a control character': '127.0.0.1\x07:8080',
    'a name': 'somewhere:8080',
    'an open bracket': '[:8080',
    'an IPv6 number in one bracket': '[::1:8080',
    'forty digits': f'{"7" * 40}:8080',
    'a number without dots': '2130706433:8080',
    'a part of a number': '127.1:8080',
    'an octal number': '0177.0.0.1:8080',
    'a hexadecimal number': '0x7f.0.0.1:8080',
    'a number beyond all': '300.0.0.1:8080',
    'five parts': '127.0.0.1.1:8080',
    'an unknown scope': 'fe80::1%nowhere:8080',
    'a scope': 'fe80::1%lo:8080',
    'other digits as port': '127.0.0.1:٨٠٨٠',
    'other digits as host': '١٢٧.0.0.1:8080',
    'a sign before the port': '127.0.0.1:+80',
    'zeros before the port': '127.0.0.1:0080',
    'white space before the port': '127.0.0.1: 80',
    'white space around': ' 127.0.0.1:8080 ',
    'a user': 'user@127.0.0.1:8080',
    'a scheme': 'http://127.0.0.1:8080',
    'a path': '127.0.0.1:8080/x',
    'a newline': '127.0.0.1:8080\n',
    'no address of one VM': '0.0.0.0:8080',
    'no address of one VM by IPv6': ':::8080',
    'an address of a group': '224.0.0.1:8080',
    'an address of a group by IPv6': '[ff02::1]:8080',
    'the address of all VMs': '255.255.255.255:8080',
}


@pytest.fixture(autouse=True)
def without_look_ups(monkeypatch: pytest.MonkeyPatch) -> None:
    """Refuse to look up names, so that no test asks a name server."""

    def refuse(*query: Any, **_options: Any) -> None:
        raise OSError(f'a name was looked up: {query[:1]!r}')

    # As in a gateway's process, numbers are read without a look-up.
    monkeypatch.setattr(gevent.get_hub(), 'resolver', NumericResolver())
    monkeypatch.setattr(Resolver, 'getaddrinfo', refuse)


def put_odd(site: GatewaySite, address: str, **changes: Any) -> None:
    """Add an entry that is sound but for its address to each pool."""
    for pool in POOLS:
        entry = site.make_entry('one', pool, address=address, **changes)
        site.store.put('servers', f'odd-{pool}', entry)


def add_sound(site: GatewaySite) -> None:
    """Start two endpoints of each pool."""
    for name in ('one', 'two'):
        site.add_server(name)
        site.add_server(f'engine-{name}', 'engines')


def ask_all(site: GatewaySite) -> list[int]:
    """Return the statuses of some calls of each kind of route."""
    targets = ('/safe/x', '/unsafe/x', '/oneway/x')
    return [
        site.ask(target, X_Token_Count='1' if 'oneway' in target else '').status
        for _round in range(4)
        for target in targets
    ]


def ask_process(site: GatewaySite, folder: pathlib.Path) -> set[int]:
    """Return the statuses of calls to a gateway that starts as a process."""
    with gateway_ports(site, folder) as (port, _admin_port):
        wait_until(lambda: status_of(port))
        return {status_of(port) for _request in range(30)}


def wait_listed(gateway: GatewayApplication, *names: str) -> None:
    """Wait until a gateway lists exactly these plain endpoints."""
    wait_until(lambda: listed(gateway) == list(names))


@pytest.mark.parametrize('case', ODD_ADDRESSES)
def test_entry_whose_address_is_none_ends_no_call(
    gateway_site: GatewaySite, case: str
):
    add_sound(gateway_site)
    gateway = gateway_site.add_gateway()
    with refusals() as lines:
        put_odd(gateway_site, ODD_ADDRESSES[case])
        wait_until(lambda: len(lines) == len(POOLS))
    assert {each['field'] for each in lines} == {'address'}
    assert listed(gateway) == ['one', 'two']
    assert set(ask_all(gateway_site)) == {200}


@pytest.mark.parametrize('case', ODD_ADDRESSES)
def test_gateway_that_starts_beside_an_address_that_is_none_serves(
    gateway_site: GatewaySite, case: str
):
    add_sound(gateway_site)
    put_odd(gateway_site, ODD_ADDRESSES[case])
    gateway = gateway_site.add_gateway()
    assert listed(gateway) == ['one', 'two']
    assert set(ask_all(gateway_site)) == {200}


@pytest.mark.processes
@pytest.mark.parametrize('case', ['an empty label', 'a label of 70 letters'])
def test_restarted_process_beside_an_address_that_is_none_serves(
    gateway_site: GatewaySite, tmp_path: pathlib.Path, case: str
):
    add_sound(gateway_site)
    put_odd(gateway_site, ODD_ADDRESSES[case])
    for _start in range(2):
        assert ask_process(gateway_site, tmp_path) == {200}


def test_endpoint_is_out_while_its_address_is_none(gateway_site: GatewaySite):
    add_sound(gateway_site)
    gateway = gateway_site.add_gateway()
    sound = gateway_site.make_entry('two', 'plain')
    for address in ('a..b:8080', f'{"x" * 70}:8080'):
        odd = {**sound, 'address': address}
        gateway_site.store.put('servers', 'two', odd)
        wait_listed(gateway, 'one')
        assert set(ask_all(gateway_site)) == {200}
        gateway_site.store.put('servers', 'two', sound)
        wait_listed(gateway, 'one', 'two')


@pytest.mark.parametrize('address', ['[::1]:8080', '::1:8080', '[fd00::1]:80'])
def test_ipv6_number_is_an_address(gateway_site: GatewaySite, address: str):
    add_sound(gateway_site)
    gateway = gateway_site.add_gateway()
    put_odd(gateway_site, address)
    wait_until(lambda: 'odd-plain' in listed(gateway))
    endpoint = known_endpoints(gateway).find('odd-plain')
    assert endpoint.host in {'::1', 'fd00::1'}
    assert endpoint.address.startswith('[')
