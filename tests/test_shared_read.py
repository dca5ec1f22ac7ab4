"""How long a prompt waits for a part that is being prefilled."""

from __future__ import annotations

import pytest

from tests.gateway_site import GatewaySite, caches_part
from tests.local_site import wait_until
from wingfall.gateway.knowledge.prefix_cache import PendingRead
from wingfall.gateway.rules.placement.shared_read import (
    send_at_once,
    wait_for_prefill,
)

LEFT_MS = 10_000
HEADERS = {'X_Token_Count': '9010,40', 'X_Prompt_Prefix': 'aa:9000,bb:10'}


@pytest.mark.parametrize(
    ('tokens', 'ready_in_ms', 'wait_ms'),
    [
        (9000, 300, 300),
        (9000, -20, 0),
        (9000, 5000, 0),
        (500, 300, 0),
        (0, 0, 0),
    ],
)
def test_prompt_waits_for_long_parts_that_are_soon_prefilled(
    tokens: int,
    ready_in_ms: int,
    wait_ms: int,
):
    pending = PendingRead(tokens=tokens, ready_in_ms=ready_in_ms)
    assert wait_for_prefill(pending, LEFT_MS) == wait_ms
    assert send_at_once(pending, LEFT_MS) == 0


def test_second_prompt_is_sent_after_first_event_of_first(
    gateway_site: GatewaySite,
):
    engine = gateway_site.add_server('e1', 'engines')
    gateway_site.add_gateway()
    engine.delay_ms = 150
    engine.event_ms = 100
    callers = [gateway_site.caller() for _index in range(2)]
    callers[0].send('/stream/x', X_Attempt_Id='first', **HEADERS)
    wait_until(engine.run_ids)
    callers[1].send('/stream/x', X_Attempt_Id='second', **HEADERS)
    received = b''
    while b'id: 1\n' not in received:
        received += callers[0].sock.recv(1000)
    assert engine.run_ids() == ['first']
    wait_until(lambda: len(engine.run_ids()) == 2)
    assert callers[1].receive().whole


def test_second_prompt_does_not_wait_for_failed_prompt(
    gateway_site: GatewaySite,
):
    engine = gateway_site.add_server('e1', 'engines')
    gateway_site.add_gateway()
    engine.faults = ['error']
    first = gateway_site.ask('/oneway/x', **HEADERS)
    assert first.status == 500
    assert not caches_part(gateway_site.gateways[0], 'e1', 'aa')
    assert gateway_site.ask('/oneway/x', **HEADERS).whole
