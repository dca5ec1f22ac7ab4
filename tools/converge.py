"""``make converge``: how soon a change is in force at ten routers.

Ten routers run as processes of their own. Each change is written to the
platform; measured is the time until each router's status shows its version.
Three ways: every router watches; one watches and the others follow peers;
the same while routers are restarted.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any, Final, final

import gevent
import urllib3

from tools.fleet import HOST, Fleet, Process, free_port

_ROUTERS: Final = 10
_POLL_S: Final = 0.005
_PAUSE_S: Final = 0.2
_BOUND_S: Final = 30
_MS: Final = 1000


@final
class Ring:
    """Ten routers; each has the two after it as seeds."""

    def __init__(self, *, fleet: Fleet, watchers: int) -> None:
        """Start the routers.

        :param fleet: where the processes are kept.
        :param watchers: how many of them hold watches.
        """
        self._fleet = fleet
        self._watchers = watchers
        self.platform = fleet.start_standin('platform', 'platform')
        self.put('first', 1)
        self._ports = [free_port() for _router in range(_ROUTERS)]
        self.routers = [self._start(number) for number in range(_ROUTERS)]
        self.wait(self.version())

    def put(self, name: str, tier: int) -> None:
        """Write a class.

        :param name: its name, which must be new.
        :param tier: its tier.
        """
        self._fleet.put_object(
            self.platform,
            {
                'kind': 'RequestClass',
                'metadata': {'name': name},
                'spec': {'tier': tier, 'timeout_ms': 1000},
            },
        )

    def version(self) -> int:
        """Read the accepted version.

        :returns: the version.
        """
        ledger = self._fleet.get_json(f'{self.platform.url}/ledger')
        return int(ledger['version'])

    def calls(self) -> int:
        """Read how many calls the platform has had.

        :returns: the calls.
        """
        ledger = self._fleet.get_json(f'{self.platform.url}/ledger')
        return int(ledger['calls'])

    def wait(self, version: int) -> list[float]:
        """Wait until a version is in force everywhere.

        :param version: the version.
        :returns: milliseconds until it was, a router each.
        """
        started = time.perf_counter()
        waits = [
            gevent.spawn(self._wait_one, router, version, started)
            for router in self.routers
        ]
        gevent.joinall(waits, raise_error=True)
        return [wait.value for wait in waits]

    def restart(self, number: int) -> None:
        """Kill a router and start it anew.

        :param number: its number.
        """
        self.routers[number].kill()
        self.routers[number] = self._start(number)

    def _start(self, number: int) -> Process:
        seeds = [
            f'{HOST}:{self._ports[(number + step) % _ROUTERS]}'
            for step in (1, 2)
        ]
        return self._fleet.start_router(
            f'router-{number}',
            self.platform,
            peers={
                'port': self._ports[number],
                'seeds': seeds,
                'watchers': self._watchers,
            },
            log_level='warning',
        )

    def _wait_one(self, router: Process, version: int, started: float) -> float:
        url = f'{router.admin_url}/metrics'
        while time.perf_counter() - started < _BOUND_S:
            if self._version_at(url) >= version:
                return (time.perf_counter() - started) * _MS
            gevent.sleep(_POLL_S)
        raise TimeoutError(f'{router.name} has not got version {version}')

    def _version_at(self, url: str) -> int:
        try:
            text = self._fleet.get_text(url)
        except urllib3.exceptions.HTTPError:
            return 0
        for line in text.splitlines():
            if line.startswith('wingfall_config_version '):
                return int(float(line.split()[1]))
        return 0


def measure(ring: Ring, changes: int, *, restarts: bool) -> list[float]:
    """Write changes and time them.

    :param ring: the routers.
    :param changes: how many.
    :param restarts: whether to restart a router at every third change.
    :returns: milliseconds, a router and change each.
    """
    times: list[float] = []
    for number in range(changes):
        restarting = None
        if restarts and number % 3 == 0:
            restarting = gevent.spawn(ring.restart, number % _ROUTERS)
            gevent.sleep(_PAUSE_S)
        ring.put(f'class-{restarts}-{number}', number % 4)
        version = ring.version()
        if restarting is not None:
            # A router that isn't there has nothing in force; it is timed
            # from when it listens.
            restarting.join()
        times.extend(ring.wait(version))
        gevent.sleep(_PAUSE_S)
    return times


def _print(name: str, times: list[float], calls: Any) -> None:
    print(
        f'{name:<44} p50 {statistics.median(times):7.1f} ms, worst '
        f'{max(times):7.1f} ms, {len(times)} samples, '
        f'{calls} calls to the platform',
        flush=True,
    )


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--changes', type=int, default=30)
    chosen = parser.parse_args()
    for name, watchers, restarts in (
        ('every router watches', _ROUTERS, False),
        ('one watches, the others follow peers', 1, False),
        ('one watches, routers are restarted meanwhile', 1, True),
    ):
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder=pathlib.Path(folder))
            try:
                ring = Ring(fleet=fleet, watchers=watchers)
                gevent.sleep(5)
                before = ring.calls()
                times = measure(ring, chosen.changes, restarts=restarts)
                _print(name, times, ring.calls() - before)
            finally:
                fleet.stop()
    return 0


if __name__ == '__main__':
    sys.exit(main())
