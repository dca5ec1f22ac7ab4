"""``make gateway-load``: policies of gateways side by side.

Real gateway processes before engines that are modelled (batch, reading in
pieces, kept parts). Each policy gets the same prompts at the same times.
"""

from __future__ import annotations

import gevent
from gevent import monkey

gevent.config.loop = 'libev-cext'
gevent.config.libev_backend = 'epoll'
monkey.patch_all()

import argparse
import pathlib
import random
import sys
import tempfile
import time
from typing import Any, Final

from standins.engine_model import EngineModel
from tools.fleet import wait_for
from tools.soak.site import STEADY_KEY, SoakSite
from tools.soak.traffic import Traffic

# A policy changes one field against the settings' defaults.
POLICIES: Final[dict[str, dict[str, Any]]] = {
    'defaults': {},
    'least running': {'placement': 'least_running'},
    'no wait for shared reads': {'shared_read': 'none'},
}
_ENGINES: Final = 5
_GATEWAYS: Final = 4
_SHARED: Final = 40
_SHARED_TOKENS: Final = 13_000
_OWN_TOKENS: Final = 3000
_TARGET_S: Final = 2.5
_MS: Final = 1000


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog='gateway_load')
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--rate', type=float, default=6)
    parser.add_argument('--seed', type=int, default=1)
    chosen = parser.parse_args()
    for name, policy in POLICIES.items():
        plan = _draw(chosen.seed, chosen.rate, chosen.seconds)
        print(f'{name}: {_run(policy, plan)}', flush=True)
    return 0


def _draw(
    seed: int,
    rate: float,
    seconds: float,
) -> list[tuple[float, str, str]]:
    """Draw prompts: when they come, where, and their parts."""
    chance = random.Random(seed)
    lengths = [
        int(chance.lognormvariate(0, 0.7) * _SHARED_TOKENS)
        for _part in range(_SHARED)
    ]
    plan = []
    at_s = chance.expovariate(rate)
    while at_s < seconds:
        part = int(chance.paretovariate(0.5)) % _SHARED
        own = int(chance.expovariate(1 / _OWN_TOKENS))
        parts = f'p{part}:{lengths[part]},own{len(plan)}:{own}'
        gateway = f'gateway-{chance.randrange(_GATEWAYS)}'
        plan.append((at_s, gateway, parts))
        at_s += chance.expovariate(rate)
    return plan


def _run(policy: dict[str, Any], plan: list[tuple[float, str, str]]) -> str:
    with tempfile.TemporaryDirectory(prefix='wingfall-load-') as folder:
        site = SoakSite(
            folder=pathlib.Path(folder),
            gateways=_GATEWAYS,
            servers=_ENGINES,
            changes={'policy': policy},
        )
        models = _model_engines(site)
        traffic = Traffic(site=site, seed=1, callers=0)
        try:
            _send(site, traffic, plan)
        finally:
            site.close()
    outcomes = traffic.outcomes[-len(plan) :]
    served = [each for each in outcomes if each.whole and each.status == 200]
    in_target = [each for each in served if each.first_s <= _TARGET_S]
    read = sum(model.read_tokens for model in models)
    again = sum(model.read_again_tokens for model in models)
    return (
        f'{len(plan)} prompts, {len(served)} served,'
        f' {len(in_target) / len(plan):.3f} in target,'
        f' {read} tokens read, {again} of shared parts again'
    )


def _model_engines(site: SoakSite) -> list[EngineModel]:
    models = []
    seen: set[str] = set()
    for server in site.servers:
        if server.pool == 'engines':
            model = EngineModel()
            server.standin.use_model(model, seen)
            server.standin.delay_ms = 0
            models.append(model)
    return models


def _send(
    site: SoakSite,
    traffic: Traffic,
    plan: list[tuple[float, str, str]],
) -> None:
    for gateway in site.gateways:
        wait_for(
            lambda: traffic.ask('safe', gateway, STEADY_KEY).status == 200,
            'service',
        )
    began_s = time.monotonic()
    callers = []
    for at_s, gateway, parts in plan:
        gevent.sleep(max(0, began_s + at_s - time.monotonic()))
        callers.append(
            gevent.spawn(traffic.ask, 'stream', gateway, STEADY_KEY, parts),
        )
    gevent.joinall(callers)


if __name__ == '__main__':
    sys.exit(main())
