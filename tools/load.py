"""``make load``: our policy and the baselines on the same arrivals.

Open-loop arrivals from a seed go over two routers to four uneven engines and
a plain service, each a process of its own. Each policy serves the same
arrivals in turn. Figures are printed and written as JSON under ``out/``.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import pathlib
import sys
import tempfile
import time
from typing import Any, Final

import gevent
import orjson

from tools.caller import Ask, Caller, Outcome
from tools.fleet import Fleet, Process
from tools.load_figures import print_figures, summarize
from tools.load_site import (
    CUSTOMERS,
    POLICIES,
    LoadSite,
    Policy,
    capacity,
    customer_key,
)
from tools.traffic import PROFILES, Arrival, make_arrivals

_SEED: Final = 11
_CONNECTIONS: Final = 2000
_US: Final = 1000
_GRACE_S: Final = 2
_BLOCK_MS: Final = 8
_AFFINITY_LOAD: Final = 0.7


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
        key=customer_key(arrival.customer),
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
        customers=list(CUSTOMERS),
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
        customers=list(CUSTOMERS),
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
        customers=list(CUSTOMERS),
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
