"""Gateways of a site share prefill rate samples."""

from __future__ import annotations

import urllib3

from tests.gateway_site import HOST, GatewaySite
from tests.local_site import wait_until
from wingfall.gateway.application import GatewayApplication

SHARED = {'read_rates': 'shared', 'start_estimates': 'corrected'}
# Milliseconds that the engine takes for a prompt of this many tokens.
PREFILL_MS = 150
TOKENS = 12_000
# Relative difference up to which rates of two gateways agree.
MAX_DIFFERENCE = 0.15


def rate(gateway: GatewayApplication) -> float:
    """Return the engine's rate at a gateway, 0 if unknown."""
    return gateway.status()['engine_rates'].get('e1', 0)


def agree(one: GatewayApplication, other: GatewayApplication) -> bool:
    """Check if the rates of two gateways agree."""
    rates = sorted((rate(one), rate(other)))
    return rates[0] > 0 and rates[1] / rates[0] - 1 < MAX_DIFFERENCE


def test_gateways_share_samples_of_one_gateway(gateway_site: GatewaySite):
    gateway_site.add_server('e1', 'engines').delay_ms = PREFILL_MS
    one = gateway_site.add_gateway(policy=SHARED)
    other = gateway_site.add_gateway(policy=SHARED)
    for _prompt in range(4):
        answer = gateway_site.ask('/stream/x', X_Token_Count=f'{TOKENS},5')
        assert answer.status == 200
    assert 0 < rate(one) <= TOKENS / (PREFILL_MS - 30)
    wait_until(lambda: agree(one, other))
    # A gateway that starts receives the rate without samples of its own.
    new = gateway_site.add_gateway(policy=SHARED)
    wait_until(lambda: agree(one, new))


def test_start_errors_are_in_status_and_metrics(gateway_site: GatewaySite):
    gateway_site.add_server('e1', 'engines').delay_ms = PREFILL_MS
    gateway = gateway_site.add_gateway(policy=SHARED)
    gateway_site.ask('/stream/x', X_Token_Count=f'{TOKENS},5')
    (error,) = gateway.status()['start_errors']
    assert error['pool'] == 'engines'
    assert error['median'] > 0
    assert error['median'] == error['worst_tenth']
    url = f'http://{HOST}:{gateway.admin_port}/metrics'
    wait_until(
        lambda: b'wingfall_start_error{' in urllib3.request('GET', url).data
    )
