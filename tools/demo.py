"""``make demo``: a small site as separate processes, and 200 requests.

Every answer is compared with what the endpoint's ledger says it sent.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import collections
import pathlib
import random
import signal
import statistics
import sys
import tempfile
from typing import TYPE_CHECKING, Any, Final, final

import gevent
import yaml
from gevent.event import Event
from gevent.pool import Pool

from tools.caller import Ask, Caller
from tools.fleet import HOST, Fleet

if TYPE_CHECKING:
    from tools.caller import Outcome
    from tools.fleet import Process

_REQUESTS: Final = 200
_AT_ONCE: Final = 24
_SEED: Final = 7
_ENGINES: Final = 4
_SERVICES: Final = 2
_EXAMPLE: Final = pathlib.Path('examples/demo.yaml')
_ENGINE_CLASSES: Final = ('lobby', 'briefing')
_PERCENTILES: Final = 100
_KB_PER_MB: Final = 1024
_P50: Final = 49
_P95: Final = 94


@final
class Site:
    """The processes of the demo."""

    def __init__(self, *, fleet: Fleet) -> None:
        """Start everything and wait until it is linked.

        :param fleet: where the processes are kept.
        """
        self.fleet = fleet
        self.objects = list(yaml.safe_load_all(_EXAMPLE.read_text()))
        self.platform = fleet.start_standin('platform', 'platform')
        self.endpoints: list[Process] = []
        for number in range(_ENGINES):
            self._start_endpoint(f'engine-{number}', 'engine')
        for number in range(_SERVICES):
            self._start_endpoint(f'seats-{number}', 'plain_service')
        for raw in self.objects:
            fleet.put_object(self.platform, raw)
        self.routers = [
            fleet.start_router(name, self.platform)
            for name in ('router-a', 'router-b')
        ]
        for router in self.routers:
            fleet.wait_links(router, _ENGINES + _SERVICES)

    def ledger(self) -> dict[str, list[dict[str, Any]]]:
        """Join the ledgers of all endpoints.

        :returns: runs by request id.
        """
        runs: dict[str, list[dict[str, Any]]] = collections.defaultdict(list)
        for endpoint in self.endpoints:
            ledger = self.fleet.get_json(f'{endpoint.url}/ledger')
            for request_id, listed in ledger.items():
                runs[request_id].extend(listed)
        return runs

    def _start_endpoint(self, name: str, module: str) -> None:
        endpoint = self.fleet.start_standin(name, module)
        agent = self.fleet.start_agent(name, endpoint)
        self.endpoints.append(endpoint)
        spec: dict[str, Any] = {
            'address': f'{HOST}:{agent.port}',
            'zone': 'local',
        }
        if module == 'engine':
            labels = {'pool': 'chat'}
            spec.update(type='engine', models=['demo-model'])
        else:
            labels = {'pool': 'seats'}
            spec.update(type='service', service='seats')
        self.fleet.put_object(
            self.platform,
            {
                'kind': 'Endpoint',
                'metadata': {'name': name, 'labels': labels},
                'spec': spec,
            },
        )


def make_asks(site: Site) -> list[Ask]:
    """Make the mixed requests.

    :param site: the running site.
    :returns: the requests, over both routers in turn.
    """
    chance = random.Random(_SEED)  # noqa: S311
    targets = {
        raw['metadata']['name']: raw['spec']['target']
        for raw in site.objects
        if raw['kind'] == 'RequestClass'
    }
    asks = []
    for number in range(_REQUESTS):
        router = site.routers[number % len(site.routers)]
        class_name = chance.choice((*_ENGINE_CLASSES, 'seat'))
        path = '/v1/chat/completions'
        payload = {
            'model': 'demo-model',
            'stream': chance.choice((True, False)),
            'max_tokens': chance.randint(4, 40),
            'messages': [{'role': 'user', 'content': f'request {number}'}],
        }
        if class_name == 'seat':
            path = '/services/seats/assign'
            payload = {'player': number}
        customer = chance.choice(('oslo', 'perth'))
        asks.append(
            Ask(
                url=router.url + path,
                key=f'demo-key-of-{customer}',
                class_name=class_name,
                payload=payload,
                target=targets[class_name],
                headers={'Wingfall-Labels': f'use={class_name}'},
            ),
        )
    return asks


def judge(
    outcomes: list[Outcome],
    ledger: dict[str, list[dict[str, Any]]],
) -> tuple[int, int, int]:
    """Compare what callers got with what endpoints sent.

    :param outcomes: what callers got.
    :param ledger: runs by request id.
    :returns: answers that are whole, doubled and lost.
    """
    whole = 0
    doubled = 0
    for outcome in outcomes:
        runs = ledger.get(outcome.request_id, [])
        doubled += len(runs) > 1
        sent = {run['sha256'] for run in runs if run['whole']}
        whole += outcome.whole and outcome.sha256 in sent
    return whole, doubled, len(outcomes) - whole


def print_table(
    outcomes: list[Outcome],
    ledger: dict[str, list[dict[str, Any]]],
) -> None:
    """Print a line a class.

    :param outcomes: what callers got.
    :param ledger: runs by request id.
    """
    by_class: dict[str, list[Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_class[outcome.asked.class_name].append(outcome)
    print(
        f'{"class":<10}{"sent":>6}{"whole":>7}{"on time":>9}{"refused":>9}'
        f'{"doubled":>9}{"first p50":>11}{"first p95":>11}',
    )
    for name in sorted(by_class):
        group = by_class[name]
        whole, doubled, _lost = judge(group, ledger)
        firsts = [outcome.first_ms for outcome in group]
        cuts = statistics.quantiles(firsts, n=_PERCENTILES)
        print(
            f'{name:<10}{len(group):>6}{whole:>7}'
            f'{sum(outcome.on_time for outcome in group):>9}'
            f'{sum(bool(outcome.code) for outcome in group):>9}'
            f'{doubled:>9}{cuts[_P50]:>8.1f} ms{cuts[_P95]:>8.1f} ms',
        )


def run_demo(fleet: Fleet, *, keep: bool) -> int:
    """Run the demo.

    :param fleet: where the processes are kept.
    :param keep: whether to leave it up.
    :returns: the exit code.
    """
    site = Site(fleet=fleet)
    caller = Caller(connections=_AT_ONCE)
    _print_processes(fleet)
    outcomes = Pool(_AT_ONCE).map(caller.send, make_asks(site))
    ledger = site.ledger()
    print_table(outcomes, ledger)
    for outcome in outcomes:
        if outcome.code:
            print(f'not answered: {outcome.asked.class_name} {outcome.code}')
    whole, doubled, lost = judge(outcomes, ledger)
    print(
        f'demo: {len(outcomes)} sent, {whole} whole, '
        f'{doubled} doubled, {lost} lost',
    )
    if keep:
        _keep_up(site)
    return int(bool(doubled or lost))


def _print_processes(fleet: Fleet) -> None:
    daemons = [
        process
        for name, process in fleet.processes.items()
        if name.startswith(('router-', 'agent-'))
    ]
    pids = [daemon.child.pid for daemon in daemons]
    children = [
        pathlib.Path(f'/proc/{pid}/task/{pid}/children').read_text()
        for pid in pids
    ]
    alone = sum(not listed.strip() for listed in children)
    largest = max(map(_resident_mb, pids))
    print(
        f'{alone} of {len(daemons)} daemons are exactly one process; '
        f'the largest holds {largest:.0f} MB',
    )


def _resident_mb(pid: int) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(row for row in status.splitlines() if row.startswith('VmRSS'))
    return int(line.split()[1]) / _KB_PER_MB


def _keep_up(site: Site) -> None:
    print(
        'Try it; end it with Ctrl-C:\n'
        f'curl -N {site.routers[0].url}/v1/chat/completions '
        "-H 'Authorization: Bearer demo-key-of-oslo' "
        "-H 'Wingfall-Labels: use=lobby' "
        '-d \'{"model": "demo-model", "stream": true, "messages": []}\'',
        flush=True,
    )
    ended = Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, ended.set)
    ended.wait()


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--keep', action='store_true')
    parser.add_argument('--binary', help='a wingfall to use')
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        options: dict[str, Any] = {'folder': pathlib.Path(folder)}
        if chosen.binary:
            options['program'] = (chosen.binary,)
        fleet = Fleet(**options)
        try:
            return run_demo(fleet, keep=chosen.keep)
        finally:
            fleet.stop()


if __name__ == '__main__':
    sys.exit(main())
