"""Entries of other writers whose name no HTTP header can carry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from standins.pool_server import PoolServerStandIn
from tests.gateway_site import HOST
from tests.local_site import wait_until
from tests.test_foreign_entries import listed, refusals
from tests.test_odd_addresses import POOLS, add_sound, ask_all, wait_listed

if TYPE_CHECKING:
    from tests.gateway_site import GatewaySite

# A mark in each stands for the pool, so that the names of both differ.
ODD_NAMES = {
    'a newline': 'odd*\nX-Other: 1',
    'a carriage return and a newline': 'odd*\r\nX-Other: 1',
    'a NUL': 'odd*\x00',
    'white space before': ' odd*',
    'white space behind': 'odd* ',
    'a tab before': '\todd*',
    'an accent': 'oddé*',
    'a character beyond all bytes': 'odd☃*',
}


def put_odd(site: GatewaySite, name: str) -> None:
    """Add an endpoint to each pool that answers, under a name like this."""
    for pool in POOLS:
        own = name.replace('*', f'-{pool}')
        site.servers[own] = PoolServerStandIn(name=own)
        site.put_server(own, pool)


@pytest.mark.parametrize('case', ODD_NAMES)
def test_entry_whose_name_no_header_carries_ends_no_call(
    gateway_site: GatewaySite, case: str
):
    add_sound(gateway_site)
    gateway = gateway_site.add_gateway()
    # This one's own way to the store leads nowhere.
    second = gateway_site.add_gateway(
        store={'address': f'{HOST}:1', 'watch_ms': 500},
    )
    with refusals() as lines:
        put_odd(gateway_site, ODD_NAMES[case])
        gateway_site.add_server('three')
        wait_until(lambda: 'three' in listed(gateway))
        assert set(ask_all(gateway_site) + ask_all(gateway_site)) == {200}
    assert {each['field'] for each in lines} == {'name'}
    wait_listed(gateway, 'one', 'three', 'two')
    wait_listed(second, 'one', 'three', 'two')


@pytest.mark.parametrize('name', ['o*', 'a b*', 'a/b?c%:@*', f'{"x" * 200}*'])
def test_name_that_a_header_carries_is_used(
    gateway_site: GatewaySite, name: str
):
    add_sound(gateway_site)
    gateway = gateway_site.add_gateway()
    put_odd(gateway_site, name)
    wait_until(lambda: name.replace('*', '-plain') in listed(gateway))
    assert set(ask_all(gateway_site) + ask_all(gateway_site)) == {200}
