"""A gateway as a process: signals while it starts."""

from __future__ import annotations

import pathlib
import signal
import socket
import subprocess
import sys
from typing import Final

import pytest
import yaml

from tests.local_site import wait_until
from tools.fleet import HOST, free_port
from tools.soak.site import STEADY_KEY, SoakSite
from tools.soak.traffic import Traffic

# Within the bound of a short call to the store.
ANSWER_MS: Final = 700


@pytest.mark.processes
def test_hangup_while_it_loads_does_not_end_it(tmp_path: pathlib.Path):
    port = free_port()
    settings = {
        'name': 'a',
        'zone': 'z',
        'callers': f'{HOST}:{port}',
        'readiness': f'{HOST}:{free_port()}',
        'admin': {'host': HOST, 'port': free_port()},
        'peers': {'listen': f'{HOST}:{free_port()}'},
        'store': {'address': f'{HOST}:1'},
    }
    path = tmp_path / 'settings.yaml'
    path.write_text(yaml.safe_dump(settings), 'utf-8')
    command = (sys.executable, '-m', 'wingfall.gateway', '--settings', path)
    with subprocess.Popen(command, stdout=subprocess.PIPE) as child:
        try:
            wait_until(lambda: _connects(port))
            child.send_signal(signal.SIGHUP)
            started = child.stdout.readline()
        finally:
            child.kill()
    assert b'gateway: Started.' in started


@pytest.mark.processes
def test_calls_wait_for_a_store_that_answers_within_its_bound(
    tmp_path: pathlib.Path,
):
    site = SoakSite(folder=tmp_path, gateways=1, servers=1)
    try:
        (link,) = site.store_links.values()
        link.delay_answers(ANSWER_MS)
        site.gateways['gateway-0'].restart()
        traffic = Traffic(site=site, seed=1, callers=0)
        outcome = traffic.ask('safe', 'gateway-0', STEADY_KEY)
    finally:
        site.close()
    assert (outcome.status, outcome.whole) == (200, True)


def _connects(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((HOST, port)) == 0
