"""A short soak of real processes, and the seeds that ever failed."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

import pytest

from tools.soak.site import SoakSite

# Seeds that once broke a promise; their causes stand in docs/FINDINGS.md.
SEEDS = (1, 106, 112, 136)


@pytest.mark.processes
def test_gateways_lead_sessions_of_their_own(tmp_path: pathlib.Path):
    site = SoakSite(folder=tmp_path, gateways=1, servers=1)
    try:
        pid = site.gateways['gateway-0'].child.pid
        assert os.getsid(pid) == pid
    finally:
        site.close()


@pytest.mark.processes
@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold(tmp_path: pathlib.Path, seed: int):
    soak = subprocess.run(
        [
            sys.executable,
            '-m',
            'tools.soak',
            '--seed',
            str(seed),
            '--seconds',
            '8',
            '--keep',
            str(tmp_path),
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    assert soak.returncode == 0, soak.stdout + soak.stderr
