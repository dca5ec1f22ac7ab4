"""Dials of addresses that peers and settings tell."""

from __future__ import annotations

import socket

import gevent
import pytest
from gevent.resolver.thread import Resolver

from tests.local_site import wait_until
from wingfall.clock import Clock
from wingfall.gateway.peers import peer_dialer
from wingfall.gateway.peers.peer_addresses import PeerAddresses
from wingfall.gateway.peers.peer_dialer import PeerDialer
from wingfall.numeric_resolver import NumericResolver
from wingfall.supervisor import Supervisor


@pytest.fixture(autouse=True)
def looked_up(monkeypatch: pytest.MonkeyPatch) -> list[object]:
    """Refuse to look up names, and keep which were asked for."""
    asked: list[object] = []

    def refuse(_resolver: object, host: object, *_query: object) -> None:
        asked.append(host)
        raise OSError(f'a name was looked up: {host!r}')

    monkeypatch.setattr(gevent.get_hub(), 'resolver', NumericResolver())
    monkeypatch.setattr(Resolver, 'getaddrinfo', refuse)
    return asked


@pytest.mark.parametrize(
    'address',
    ['', 'nowhere', '127.0.0.1:', '127.0.0.1:99999', 'a..b:1', 'somewhere:1'],
)
def test_address_that_is_none_is_given_up(
    monkeypatch: pytest.MonkeyPatch, looked_up: list[object], address: str
):
    monkeypatch.setattr(peer_dialer, '_DIAL_INTERVAL_MS', 1)
    addresses = PeerAddresses(own=(), seeds=())
    addresses.add([address])
    supervisor = Supervisor(name='test', clock=Clock())
    dialer = PeerDialer(
        addresses=addresses,
        connected_addresses=tuple,
        run_session=lambda _sock: None,
        supervisor=supervisor,
    )
    removed: list[int] = []
    running = gevent.spawn(dialer.dial_forever, lambda: removed.append(1))
    try:
        wait_until(lambda: removed)
    finally:
        running.kill()
    assert not addresses.count
    assert not looked_up


def test_ipv6_number_in_brackets_is_dialed():
    addresses = PeerAddresses(own=(), seeds=())
    sessions: list[socket.socket] = []
    dialer = PeerDialer(
        addresses=addresses,
        connected_addresses=tuple,
        run_session=sessions.append,
        supervisor=Supervisor(name='test', clock=Clock()),
    )
    with socket.create_server(('::1', 0), family=socket.AF_INET6) as listener:
        addresses.add([f'[::1]:{listener.getsockname()[1]}'])
        running = gevent.spawn(dialer.dial_forever, lambda: None)
        try:
            wait_until(lambda: sessions)
        finally:
            running.kill()
        assert sessions[0].getpeername()[0] == '::1'
    for sock in sessions:
        sock.close()
