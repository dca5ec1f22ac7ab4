"""A gateway as a process: signals while it starts."""

from __future__ import annotations

import pathlib
import signal
import socket
import subprocess
import sys

import pytest
import yaml

from tests.local_site import wait_until
from tools.fleet import HOST, free_port


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


def _connects(port: int) -> bool:
    with socket.socket() as sock:
        return sock.connect_ex((HOST, port)) == 0
