"""Test of one customer at many times its normal load at gateway processes."""

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

NORMAL_CUSTOMERS = ('aker', 'bryn')
HOT_CUSTOMER = 'hot'
# Prompts a second of each customer. The hot customer starts later, when the
# gateways have received reports of the other customers' work for a while.
NORMAL_REQUESTS_PER_S = 3
HOT_REQUESTS_PER_S = 36
DURATION_S = 8
HOT_START_S = 2.5
# Two engines that prefill one prompt after the other: 16 a second in all.
ENGINE_COUNT = 2
PREFILL_MS = 125
TARGET_MS = 800
PROMPT = {'X_Token_Count': '3125,5', 'X_Prompt_Prefix': ''}


def serialize_prefills(engine: PoolServerStandIn) -> None:
    """Make an engine prefill one prompt after the other."""
    idle_from_s = [float()]

    def draw_delay_ms() -> int:
        now_s = time.monotonic()
        idle_from_s[0] = max(now_s, idle_from_s[0]) + PREFILL_MS / 1000
        return int((idle_from_s[0] - now_s) * 1000)

    engine.draw_delay_ms = draw_delay_ms
    engine.events = 1
    engine.event_ms = 0


def configuration() -> dict[str, Any]:
    """Return a configuration with one pool of engines and three customers."""
    stream = route(
        'stream',
        'engines',
        kind='stream',
        target_latency_ms=TARGET_MS,
        timeout_ms=6000,
    )
    # A second route of the pool, so that the first isn't the most urgent.
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
            for name in (*NORMAL_CUSTOMERS, HOT_CUSTOMER)
        ],
    }


class LoadGenerator:
    """Customers that send requests without waiting for answers."""

    def __init__(self, *, site: SoakSite) -> None:
        """Initialize the load generator.

        :param site: the site with the gateways.
        """
        self._ports = itertools.cycle(
            [each.port for each in site.gateways.values()]
        )
        self._call_numbers = itertools.count()
        # Whether each prompt was answered within its target, by customer.
        self.in_target: dict[str, list[bool]] = {
            name: [] for name in (*NORMAL_CUSTOMERS, HOT_CUSTOMER)
        }

    def send_all(self) -> None:
        """Send the prompts of all customers; the hot customer starts later."""
        sending = [
            gevent.spawn(
                self.send_for, customer, NORMAL_REQUESTS_PER_S, DURATION_S
            )
            for customer in NORMAL_CUSTOMERS
        ]
        gevent.sleep(HOT_START_S)
        self.send_for(
            HOT_CUSTOMER, HOT_REQUESTS_PER_S, DURATION_S - HOT_START_S
        )
        gevent.joinall(sending)

    def send_for(
        self, customer: str, requests_per_s: float, seconds: float
    ) -> None:
        """Send prompts of a customer for a number of seconds."""
        sending = []
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            sending.append(gevent.spawn(self._send, customer))
            gevent.sleep(1 / requests_per_s)
        gevent.joinall(sending)

    def percent_in_target(self, *customers: str) -> float:
        """Return the percentage of prompts answered within their target."""
        answers = [each for name in customers for each in self.in_target[name]]
        return 100 * sum(answers) / len(answers)

    def _send(self, customer: str) -> None:
        sent_s = time.monotonic()
        caller = CallerStandIn(port=next(self._ports))
        caller.send(
            '/stream/x',
            method='POST',
            Authorization=f'Token key-of-{customer}',
            X_Attempt_Id=f'call-{next(self._call_numbers)}',
            **PROMPT,
        )
        answer = caller.receive()
        caller.close()
        elapsed_ms = (time.monotonic() - sent_s) * 1000
        served = answer.status == 200 and answer.whole
        self.in_target[customer].append(served and elapsed_ms <= TARGET_MS)


def run_load(folder: pathlib.Path, admission: str) -> LoadGenerator:
    """Run the load against three gateways."""
    site = SoakSite(
        folder=folder,
        gateways=3,
        servers=ENGINE_COUNT,
        changes={'policy': {'admission': admission}},
    )
    try:
        site.store.put('config', 'main', configuration())
        for server in site.listed('engines'):
            serialize_prefills(server.standin)
        gevent.sleep(2)
        load = LoadGenerator(site=site)
        load.send_all()
    finally:
        site.close()
    return load


@pytest.mark.processes
def test_hot_customer_does_not_reduce_service_of_others(tmp_path: pathlib.Path):
    load = run_load(tmp_path, 'fair')
    assert load.percent_in_target(*NORMAL_CUSTOMERS) > 90
    # The hot customer gets the remaining capacity.
    assert load.percent_in_target(HOT_CUSTOMER) > 10
