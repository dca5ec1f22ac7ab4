"""What endpoints cost whose answers never end, measured.

``python -m tools.endless_answers --kind endless_event`` starts three gateways
before six endpoints of a pool, two of which send bytes without end. Printed
are the calls of twelve callers, the longest of them, and the peak memory and
the processor time of each gateway.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import os
import pathlib
import re
import sys
import tempfile
import time
from typing import Final, final

import gevent

from standins.endless_answer import ENDLESS
from tools.fleet import HOST, Process, free_port
from tools.soak.site import POOLS, STEADY_KEY, SoakSite
from tools.soak.traffic import Outcome, Traffic
from wingfall.clock import MS_PER_S

_GATEWAYS: Final = 3
_SOUND: Final = 4
_ENDLESS: Final = 2
_CALLERS: Final = 12
_WARM_UP_S: Final = 2
_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# Answers that only a request without a prompt gets.
_PLAIN: Final = frozenset(('endless_body', 'endless_chunks'))
_PEAK: Final = re.compile(r'VmHWM:\s+(\d+) kB')


@final
class Usage:
    """Peak memory and processor time of a process."""

    def __init__(self, *, process: Process) -> None:
        """Read them now.

        :param process: the process.
        """
        folder = pathlib.Path(f'/proc/{process.child.pid}')
        found = _PEAK.search((folder / 'status').read_text())
        self.peak_mb = int(found[1]) / 1024 if found else 0
        times = (folder / 'stat').read_text().rpartition(')')[2].split()[11:13]
        self.processor_s = sum(map(int, times)) / _TICKS_PER_S


def main() -> None:
    """Measure one kind of answer and print the figures."""
    parser = argparse.ArgumentParser(description='Endless answers.')
    parser.add_argument('--kind', required=True)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--pause-ms', type=float, default=2)
    parser.add_argument('--log')
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        _measure(pathlib.Path(chosen.log or folder), chosen)


def _measure(folder: pathlib.Path, chosen: argparse.Namespace) -> None:
    site = SoakSite(folder=folder, gateways=_GATEWAYS, servers=_SOUND)
    endless = []
    try:
        if chosen.kind in ENDLESS or chosen.kind == 'endless_third':
            endless = _start_endless(site, folder, chosen)
        gevent.sleep(_WARM_UP_S)
        _run_callers(site, chosen)
    finally:
        for process in endless:
            process.kill()
        site.close()


def _start_endless(
    site: SoakSite, folder: pathlib.Path, chosen: argparse.Namespace
) -> list[Process]:
    plain, engines = POOLS
    pool = plain if chosen.kind in _PLAIN else engines
    started = []
    for number in range(_ENDLESS):
        name, port = f'endless-{number}', free_port()
        command = (
            *(sys.executable, '-m', 'standins.pool_server'),
            *('--name', name, '--port', str(port)),
            *('--fault', chosen.kind),
            *('--endless-pause-ms', str(chosen.pause_ms)),
        )
        log = folder / f'{name}.log'
        started.append(Process(name=name, log=log, command=command, port=port))
        entry = site.entry(site.listed(pool)[number], 'ready')
        address = f'{HOST}:{port}'
        site.store.put('servers', name, {**entry, 'address': address})
    return started


def _run_callers(site: SoakSite, chosen: argparse.Namespace) -> None:
    gateways = site.gateways.values()
    before = [Usage(process=gateway) for gateway in gateways]
    kind = 'safe' if chosen.kind in _PLAIN else 'stream'
    traffic = Traffic(site=site, seed=1, callers=0)
    outcomes: list[Outcome] = []
    end_s = time.monotonic() + chosen.seconds
    gevent.joinall(
        [
            gevent.spawn(_call, traffic, outcomes, kind, name, end_s)
            for _caller in range(_CALLERS // _GATEWAYS)
            for name in site.gateways
        ]
    )
    _print_calls(outcomes)
    for name, gateway, earlier in zip(site.gateways, gateways, before):
        usage = Usage(process=gateway)
        used_s = usage.processor_s - earlier.processor_s
        print(
            f'{name}: peak {usage.peak_mb:.0f} MB (at rest '
            f'{earlier.peak_mb:.0f}), processor {used_s:.2f} s'
        )


def _call(
    traffic: Traffic,
    outcomes: list[Outcome],
    kind: str,
    gateway: str,
    end_s: float,
) -> None:
    while time.monotonic() < end_s:
        outcomes.append(traffic.ask(kind, gateway, STEADY_KEY))


def _print_calls(outcomes: list[Outcome]) -> None:
    served = [each for each in outcomes if each.status == 200 and each.whole]
    longest_s = max(each.ended_s - each.sent_s for each in outcomes)
    print(
        f'calls: {len(outcomes)}, served {len(served)}, longest '
        f'{longest_s * MS_PER_S:.0f} ms'
    )


if __name__ == '__main__':
    main()
