"""One customer at many times its usual before gateway processes."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING, Any

import gevent
import pytest

from tests.gateway_site import CallerStandIn, route
from tools.soak.site import SoakSite

if TYPE_CHECKING:
    import pathlib

    from standins.pool_server import PoolServerStandIn

USUAL = ('aker', 'bryn')
HOT = 'hot'
# Prompts a second of each customer, and when they ask: the hot one begins once
# the gateways have heard of the others' work for a while.
USUAL_PER_S = 3
HOT_PER_S = 36
SECONDS = 8
HOT_FROM_S = 2.5
# Two engines that read one prompt after the other: 16 a second in all.
ENGINES = 2
READ_MS = 125
TARGET_MS = 800
PROMPT = {'X_Token_Count': '3125,5', 'X_Prompt_Prefix': ''}


def read_in_turn(engine: PoolServerStandIn) -> None:
    """Have an engine read one prompt after the other."""
    free_s = [float()]

    def draw_delay_ms() -> int:
        now_s = time.monotonic()
        free_s[0] = max(now_s, free_s[0]) + READ_MS / 1000
        return int((free_s[0] - now_s) * 1000)

    engine.draw_delay_ms = draw_delay_ms
    engine.events = 1
    engine.event_ms = 0


def configuration() -> dict[str, Any]:
    """Describe one pool of engines and three customers."""
    stream = route(
        'stream',
        'engines',
        kind='stream',
        target_latency_ms=TARGET_MS,
        timeout_ms=6000,
    )
    # Another route of the pool, so that the first isn't the most urgent.
    urgent = route('urgent', 'engines', kind='stream', priority=0)
    engines = {
        'name': 'engines',
        'health_path': '/health',
        'engine': {'slots': 64, 'kv_capacity_tokens': 1_000_000},
    }
    return {
        'version': 100,
        'routes': [stream, urgent],
        'services': [engines],
        'limits': {},
        'tenants': [
            {'name': name, 'api_keys': [f'key-of-{name}']}
            for name in (*USUAL, HOT)
        ],
    }


class Crowd:
    """Customers that ask without waiting for answers."""

    def __init__(self, *, site: SoakSite) -> None:
        """Start with nothing asked.

        :param site: the gateways.
        """
        self._ports = itertools.cycle(
            [each.port for each in site.gateways.values()]
        )
        self._numbers = itertools.count()
        # Whether each prompt was answered in target, by customer.
        self.in_target: dict[str, list[bool]] = {
            name: [] for name in (*USUAL, HOT)
        }

    def ask_all(self) -> None:
        """Have all customers ask, the hot one from its time on."""
        asking = [
            gevent.spawn(self.ask_on, customer, USUAL_PER_S, SECONDS)
            for customer in USUAL
        ]
        gevent.sleep(HOT_FROM_S)
        self.ask_on(HOT, HOT_PER_S, SECONDS - HOT_FROM_S)
        gevent.joinall(asking)

    def ask_on(self, customer: str, per_s: float, seconds: float) -> None:
        """Ask for some seconds."""
        asking = []
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            asking.append(gevent.spawn(self._ask, customer))
            gevent.sleep(1 / per_s)
        gevent.joinall(asking)

    def share(self, *customers: str) -> float:
        """Tell how many in 100 of customers' prompts were in target."""
        ends = [each for name in customers for each in self.in_target[name]]
        return 100 * sum(ends) / len(ends)

    def _ask(self, customer: str) -> None:
        asked_s = time.monotonic()
        caller = CallerStandIn(port=next(self._ports))
        caller.send(
            '/stream/x',
            method='POST',
            Authorization=f'Token key-of-{customer}',
            X_Attempt_Id=f'call-{next(self._numbers)}',
            **PROMPT,
        )
        answer = caller.receive()
        caller.close()
        took_ms = (time.monotonic() - asked_s) * 1000
        served = answer.status == 200 and answer.whole
        self.in_target[customer].append(served and took_ms <= TARGET_MS)


def play(folder: pathlib.Path, admission: str) -> Crowd:
    """Play the crowd before three gateways."""
    site = SoakSite(
        folder=folder,
        gateways=3,
        servers=ENGINES,
        changes={'policy': {'admission': admission}},
    )
    try:
        site.store.put('config', 'main', configuration())
        for server in site.listed('engines'):
            read_in_turn(server.standin)
        gevent.sleep(2)
        crowd = Crowd(site=site)
        crowd.ask_all()
    finally:
        site.close()
    return crowd


@pytest.mark.processes
def test_hot_customer_takes_nothing_from_others(tmp_path: pathlib.Path):
    crowd = play(tmp_path, 'fair')
    assert crowd.share(*USUAL) > 90
    # What the others leave is its own.
    assert crowd.share(HOT) > 10
