"""``make load``: our policy and the baselines on the same arrivals.

Open-loop arrivals from a seed go over two routers to four uneven engines and
a plain service, each a process of its own. Each policy serves the same
arrivals in turn. Figures are printed and written as JSON under ``out/``.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import collections
import hashlib
import pathlib
import sys
import tempfile
import time
from typing import Any, Final, final

import gevent
import orjson
from hdrh.histogram import HdrHistogram

from tools.caller import Ask, Caller, Outcome
from tools.fleet import HOST, Fleet, Process
from tools.traffic import PROFILES, Arrival, make_arrivals

_SEED: Final = 11
_CUSTOMERS: Final = ('large', 'middle', 'small')
_ENGINES: Final = (
    # Slots, milliseconds a token, prefill.
    (8, 10, 30),
    (8, 10, 30),
    (4, 15, 40),
    (3, 20, 60),
)
_OVERLAP: Final = 0.85
_CONNECTIONS: Final = 2000
_LONGEST_MS: Final = 60_000
_US: Final = 1000
_EVENT: Final = b'data: {"id"'
_GRACE_S: Final = 2
_BLOCK_MS: Final = 8
_CACHE_BLOCKS: Final = 800
_AFFINITY_LOAD: Final = 0.7


@final
class Policy:
    """Settings of routers and agents that are compared."""

    __slots__ = ('agent', 'name', 'router')

    def __init__(
        self,
        *,
        name: str,
        router: dict[str, Any],
        agent: dict[str, Any],
    ) -> None:
        """Name a policy.

        :param name: its name in the table.
        :param router: ``policy`` of the routers.
        :param agent: ``policy`` of the agents.
        """
        self.name = name
        self.router = router
        self.agent = agent


_FIFO: Final = {'order': 'fifo', 'limit': 'fixed'}
POLICIES: Final = (
    Policy(name='wingfall', router={}, agent={}),
    Policy(
        name='round_robin+fifo',
        router={'choice': 'round_robin', 'offers': 1},
        agent=_FIFO,
    ),
    Policy(
        name='least_reported+fifo',
        router={'choice': 'least_reported_load', 'offers': 1},
        agent=_FIFO,
    ),
)


@final
class LoadSite:
    """The processes of one run."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        policy: Policy,
        profile: str,
        without: int,
        slow: int,
        block_ms: float,
    ) -> None:
        """Start everything.

        :param fleet: where the processes are kept.
        :param policy: the policy.
        :param profile: name of the traffic.
        :param without: engine that is left out, or -1.
        :param slow: engine at a third of its pace, or -1.
        :param block_ms: time of an engine for a block that isn't cached.
        """
        self._block_ms = block_ms
        self._fleet = fleet
        self._policy = policy
        self.platform = fleet.start_standin('platform', 'platform')
        self.engines: list[Process] = []
        self.agents: list[Process] = []
        self._write_objects(profile)
        for number, engine in enumerate(_ENGINES):
            if number != without:
                self._start_engine(f'engine-{number}', engine)
        self.service = fleet.start_standin('service', 'plain_service')
        self._start_agent('service', self.service, 64, type='service')
        self.routers = [
            fleet.start_router(name, self.platform, policy=policy.router)
            for name in ('router-a', 'router-b')
        ]
        for router in self.routers:
            fleet.wait_links(router, len(self.agents))
        if slow >= 0:
            url = self.engines[slow].url
            fleet.post_json(f'{url}/script', {'pace': 3})

    def runs(self) -> dict[str, list[dict[str, Any]]]:
        """Join the ledgers.

        :returns: runs by request id.
        """
        joined: dict[str, list[dict[str, Any]]] = {}
        for endpoint in (*self.engines, self.service):
            ledger = self._fleet.get_json(f'{endpoint.url}/ledger')
            for request_id, runs in ledger.items():
                joined.setdefault(request_id, []).extend(runs)
        return joined

    def inversions(self) -> int:
        """Count requests shed while one of a lower tier was kept.

        :returns: the sum over all agents.
        """
        return sum(
            self._fleet.get_json(f'{agent.admin_url}/status')['inversions']
            for agent in self.agents
        )

    def blocks_made(self) -> int:
        """Count the prompt blocks that engines had to work out.

        :returns: the sum over all engines.
        """
        return sum(
            self._fleet.get_json(f'{engine.url}/blocks')
            for engine in self.engines
        )

    def _write_objects(self, profile: str) -> None:
        for traffic in PROFILES[profile]:
            self._fleet.put_object(self.platform, traffic.to_object())
        for name in _CUSTOMERS:
            digest = hashlib.sha256(_key(name).encode()).hexdigest()
            self._put('Customer', name, key_hashes=[digest])

    def _start_engine(self, name: str, engine: tuple[int, int, int]) -> None:
        slots, token_ms, prefill_ms = engine
        process = self._fleet.start_standin(
            name,
            'engine',
            f'--capacity={slots}',
            f'--token-ms={token_ms}',
            f'--prefill-ms={prefill_ms}',
            f'--block-ms={self._block_ms}',
            f'--cache-blocks={_CACHE_BLOCKS}',
        )
        self.engines.append(process)
        self._start_agent(name, process, slots, type='engine', models=['m'])

    def _start_agent(
        self,
        name: str,
        endpoint: Process,
        slots: int,
        **spec: Any,
    ) -> None:
        agent = self._fleet.start_agent(
            name,
            endpoint,
            endpoint={'slots': slots},
            policy=self._policy.agent,
        )
        self.agents.append(agent)
        address = f'{HOST}:{agent.port}'
        self._put('Endpoint', name, address=address, zone='local', **spec)

    def _put(self, kind: str, name: str, **spec: Any) -> None:
        self._fleet.put_object(
            self.platform,
            {'kind': kind, 'metadata': {'name': name}, 'spec': spec},
        )


def capacity(*, without: int = -1) -> float:
    """Estimate what the engines give together.

    :param without: engine that is left out, or -1.
    :returns: tokens a second.
    """
    full = sum(
        slots * _US / token_ms
        for number, (slots, token_ms, _prefill) in enumerate(_ENGINES)
        if number != without
    )
    return full * _OVERLAP


def drive(site: LoadSite, arrivals: list[Arrival]) -> list[Outcome]:
    """Send the arrivals when they come, whatever became of earlier ones.

    :param site: the running site.
    :param arrivals: what to send.
    :returns: what came of each.
    """
    caller = Caller(connections=_CONNECTIONS)
    started = time.perf_counter()
    sent = []
    for number, arrival in enumerate(arrivals):
        early_s = arrival.at_s - (time.perf_counter() - started)
        if early_s > 0:
            gevent.sleep(early_s)
        router = site.routers[number % len(site.routers)]
        sent.append(gevent.spawn(_send, caller, router, arrival))
    gevent.joinall(sent)
    return [greenlet.value for greenlet in sent]


def summarize(
    outcomes: list[Outcome],
    arrivals: list[Arrival],
    runs: dict[str, list[dict[str, Any]]],
) -> dict[str, Any]:
    """Work out the figures of a run.

    :param outcomes: what came of each arrival.
    :param arrivals: the arrivals.
    :param runs: runs by request id.
    :returns: the figures.
    """
    groups = collections.defaultdict(list)
    for outcome, arrival in zip(outcomes, arrivals, strict=True):
        groups[arrival.traffic].append(outcome)
    offered = sum(arrival.traffic.worth for arrival in arrivals)
    on_time = [
        arrival
        for outcome, arrival in zip(outcomes, arrivals, strict=True)
        if outcome.on_time
    ]
    good = sum(arrival.traffic.worth for arrival in on_time)
    engine_good = sum(
        arrival.traffic.worth for arrival in on_time if arrival.tokens
    )
    made = sum(_tokens_made(listed) for listed in runs.values())
    delivered = sum(
        outcome.body.count(_EVENT) for outcome in outcomes if outcome.whole
    )
    lowest = max(groups, key=lambda traffic: traffic.tier)
    return {
        'classes': {
            traffic.name: _class_figures(group)
            for traffic, group in groups.items()
        },
        'attainment_by_worth': round(good / offered, 4),
        'goodput_worth': round(good, 1),
        'engine_goodput_worth': round(engine_good, 1),
        'goodput': len(on_time),
        'tokens_made': made,
        'tokens_wasted': made - delivered,
        'doubled': sum(len(listed) > 1 for listed in runs.values()),
        'longest_wait_lowest_ms': max(
            (round(outcome.first_ms) for outcome in groups[lowest]),
            default=0,
        ),
    }


def run_policy(
    policy: Policy,
    arrivals: list[Arrival],
    *,
    profile: str,
    without: int = -1,
    slow: int = -1,
    block_ms: float = 0,
) -> dict[str, Any]:
    """Serve the arrivals by a policy, in a fresh site.

    :param policy: the policy.
    :param arrivals: the arrivals.
    :param profile: name of the traffic.
    :param without: engine that is left out, or -1.
    :param slow: engine at a third of its pace, or -1.
    :param block_ms: time of an engine for a block that isn't cached.
    :returns: the figures.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=pathlib.Path(folder))
        try:
            site = LoadSite(
                fleet=fleet,
                policy=policy,
                profile=profile,
                without=without,
                slow=slow,
                block_ms=block_ms,
            )
            outcomes = drive(site, arrivals)
            gevent.sleep(_GRACE_S)
            figures = summarize(outcomes, arrivals, site.runs())
            figures['inversions'] = site.inversions()
            figures['blocks_made'] = site.blocks_made()
        finally:
            fleet.stop()
    return figures


def print_figures(name: str, figures: dict[str, Any]) -> None:
    """Print the figures of a policy.

    :param name: its name.
    :param figures: the figures.
    """
    print(
        f'  {name:<20} attainment {figures["attainment_by_worth"]:.3f}  '
        f'goodput {figures["goodput"]:>5} worth '
        f'{figures["goodput_worth"]:>7}  wasted tokens '
        f'{figures["tokens_wasted"]:>6} of {figures["tokens_made"]:>6}  '
        f'doubled {figures["doubled"]}  inversions {figures["inversions"]}  '
        f'longest wait {figures["longest_wait_lowest_ms"]} ms',
    )
    for class_name, row in figures['classes'].items():
        print(
            f'    {class_name:<12} sent {row["sent"]:>5}  '
            f'on time {row["on_time"]:>5} ({row["attainment"]:.3f})  '
            f'late {row["late"]:>4}  refused {row["refused"]:>5}  '
            f'broken {row["broken"]:>4}  first p50 {row["first_p50_ms"]:>7} '
            f'p99 {row["first_p99_ms"]:>7} ms',
            flush=True,
        )


def _class_figures(group: list[Outcome]) -> dict[str, Any]:
    histogram = HdrHistogram(1, _LONGEST_MS * _US, 3)
    for outcome in group:
        if outcome.whole:
            histogram.record_value(max(1, int(outcome.first_ms * _US)))
    on_time = sum(outcome.on_time for outcome in group)
    whole = sum(outcome.whole for outcome in group)
    refused = sum(outcome.run == 'not_run' for outcome in group)
    return {
        'sent': len(group),
        'on_time': on_time,
        'attainment': round(on_time / len(group), 4),
        'late': whole - on_time,
        'refused': refused,
        'broken': len(group) - whole - refused,
        'first_p50_ms': histogram.get_value_at_percentile(50) / _US,
        'first_p99_ms': histogram.get_value_at_percentile(99) / _US,
    }


def _tokens_made(listed: list[dict[str, Any]]) -> int:
    return sum(run.get('tokens', 0) for run in listed)


def _key(customer: str) -> str:
    return f'load-key-of-{customer}'


def _send(caller: Caller, router: Process, arrival: Arrival) -> Outcome:
    traffic = arrival.traffic
    path = '/services/service/run'
    payload: dict[str, Any] = {}
    if not traffic.service:
        path = '/v1/chat/completions'
        payload = {
            'model': 'm',
            'stream': True,
            'max_tokens': arrival.tokens,
            'messages': [{'role': 'user', 'content': arrival.prompt}],
        }
    ask = Ask(
        url=router.url + path,
        key=_key(arrival.customer),
        class_name=traffic.name,
        payload=payload,
        target=traffic.target,
    )
    with gevent.Timeout(traffic.timeout_ms / _US + _GRACE_S, False):
        return caller.send(ask)
    return Outcome(asked=ask)


def _compare(chosen: argparse.Namespace, profile: str, load: float) -> Any:
    arrivals = make_arrivals(
        PROFILES[profile],
        load=load,
        seconds=chosen.seconds,
        tokens_per_s=capacity(),
        customers=list(_CUSTOMERS),
        seed=_SEED,
    )
    print(f'{profile} at {load} times capacity, {len(arrivals)} requests')
    figures = {}
    for policy in POLICIES:
        figures[policy.name] = run_policy(policy, arrivals, profile=profile)
        print_figures(policy.name, figures[policy.name])
    ours, *others = figures.values()
    for figure, about in (
        ('goodput_worth', 'goodput by worth'),
        ('engine_goodput_worth', 'the same of the engines alone'),
        ('goodput', 'goodput by count'),
    ):
        best = max(other[figure] for other in others)
        print(f'  {about}: {ours[figure] / best:.2f} of the best baseline')
    wasted = [other['tokens_wasted'] for other in others]
    print(f'  wasted tokens: {ours["tokens_wasted"]}, baselines {wasted}')
    return figures


def _compare_slow(chosen: argparse.Namespace, profile: str) -> Any:
    arrivals = make_arrivals(
        PROFILES[profile],
        load=1,
        seconds=chosen.seconds,
        tokens_per_s=capacity(without=0),
        customers=list(_CUSTOMERS),
        seed=_SEED,
    )
    print(f'{profile}, one engine at a third of its pace, or removed')
    figures = {}
    for name, changes in (('slow', {'slow': 0}), ('removed', {'without': 0})):
        figures[name] = run_policy(
            POLICIES[0],
            arrivals,
            profile=profile,
            **changes,
        )
        print_figures(name, figures[name])
    return figures


def _compare_affinity(chosen: argparse.Namespace, profile: str) -> Any:
    arrivals = make_arrivals(
        PROFILES[profile],
        load=_AFFINITY_LOAD,
        seconds=chosen.seconds,
        tokens_per_s=capacity(),
        customers=list(_CUSTOMERS),
        seed=_SEED,
    )
    print(f'{profile}, {_BLOCK_MS} ms a prompt block that is not cached')
    figures = {}
    for name, router in (('affinity', {}), ('none', {'affinity': False})):
        policy = Policy(name=name, router=router, agent={})
        figures[name] = run_policy(
            policy,
            arrivals,
            profile=profile,
            block_ms=_BLOCK_MS,
        )
        print_figures(name, figures[name])
        print(f'    prompt blocks worked out: {figures[name]["blocks_made"]}')
    return figures


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--profiles', nargs='+', default=list(PROFILES))
    parser.add_argument(
        '--loads',
        nargs='*',
        type=float,
        default=[0.7, 1, 2, 4],
    )
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--slow', action='store_true')
    parser.add_argument('--affinity', action='store_true')
    chosen = parser.parse_args()
    report: dict[str, Any] = {}
    for profile in chosen.profiles:
        for load in chosen.loads:
            report[f'{profile} {load}'] = _compare(chosen, profile, load)
        if chosen.slow:
            report[f'{profile} slow'] = _compare_slow(chosen, profile)
        if chosen.affinity:
            report[f'{profile} affinity'] = _compare_affinity(chosen, profile)
    out = pathlib.Path('out')
    out.mkdir(exist_ok=True)
    (out / 'load.json').write_bytes(
        orjson.dumps(report, option=orjson.OPT_INDENT_2),
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
