"""Tests of the log lines and the counter of retries."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from tests.test_compatibility import collected_lines
from wingfall.clock import ManualClock
from wingfall.gateway.rules.retries.retry_budget import RetryBudget
from wingfall.gateway.rules.retries.retry_charges import RetryCharges
from wingfall.metrics import Metrics

GRANTED = 'retry: The budget granted a retry.'
DENIED = 'retry: The budget denied a retry.'


def charge(clock: ManualClock, metrics: Metrics, calls: int) -> list[Any]:
    """Charge retries of calls to an empty budget; return the lines."""
    budget = RetryBudget(clock=clock, ratio=0, slack=0, window_ms=10_000)
    budget.set_gateway_count(1)
    charges = RetryCharges(budget=budget, clock=clock, metrics=metrics)
    budget.note_request('pool')
    with collected_lines() as lines:
        for number in range(calls):
            charges.take(SimpleNamespace(call_id=f'r{number}'), 'pool')
    return lines


def test_denied_retry_is_explained_by_its_counts(clock: ManualClock):
    message, fields = charge(clock, Metrics(), 1)[0]
    assert message == DENIED
    assert fields['call'] == 'r0'
    assert fields['pool'] == 'pool'
    assert (fields['requests'], fields['retries']) == (1, 0)
    assert fields['gateways'] == 1
    assert fields['available'] == 0
    assert fields['omitted'] == 0


def test_lines_about_denied_retries_are_bounded(clock: ManualClock):
    metrics = Metrics()
    assert len(charge(clock, metrics, 3000)) == 50
    labels = {'part': 'retry', 'reason': 'denied'}
    assert metrics.decisions.get(labels) == 3000


def test_granted_retry_is_explained_by_its_counts(gateway_site):
    gateway_site.add_server('one')
    gateway_site.add_server('two')
    gateway_site.add_gateway()
    for server in gateway_site.servers.values():
        server.faults = ['error', 'error']
    with collected_lines() as lines:
        gateway_site.ask('/safe/x', X_Attempt_Id='r1')
    fields = dict(lines)[GRANTED]
    assert fields['call'] == 'r1'
    assert (fields['requests'], fields['retries']) == (1, 1)
