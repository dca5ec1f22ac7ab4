"""Tests of the platform headers on requests to endpoints."""

from __future__ import annotations

import pytest

from wingfall.gateway.model.binding import AttemptRequest
from wingfall.gateway.model.call import Call
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.routes import (
    GatewayCustomer,
    Route,
    WeightedPool,
)
from wingfall.objects.request_class import Target
from wingfall.platform.headers import endpoint_headers, read_call


def make_endpoint(name: str) -> PoolEndpoint:
    """Create an endpoint with a given name."""
    return PoolEndpoint(
        name=name,
        pool='engines',
        host='10.0.0.1',
        port=80,
        zone='a',
        slots=8,
        draining=False,
    )


def sent_headers(
    *headers: tuple[bytes, bytes],
    tier: int = 1,
    customer: GatewayCustomer | None = None,
    **sending: object,
) -> dict[bytes, list[bytes]]:
    """Forward a caller's headers, and return those sent to the endpoint."""
    head = read_call(
        b'POST',
        b'/x',
        [(b'Host', b'h'), (b'X-Attempt-Id', b'r1'), *headers],
    )
    route = Route(
        name='r',
        host='h',
        path_prefix='/',
        pools=(WeightedPool(pool='engines', weight=1),),
        tier=tier,
        target=Target(),
        timeout_ms=1000,
        max_attempts=1,
        public=True,
        repeatable=False,
        streaming=True,
        resumable=False,
    )
    call = Call(
        head=head,
        body=b'',
        route=route,
        customer=customer,
        arrived_ms=0,
        deadline_ms=1000,
    )
    attempt = {'endpoint': make_endpoint('e1'), 'time_left_ms': 900, **sending}
    received: dict[bytes, list[bytes]] = {}
    for name, text in endpoint_headers(call, AttemptRequest(**attempt)):
        received.setdefault(name.lower(), []).append(text)
    return received


@pytest.mark.parametrize(
    'name',
    [
        b'X-Hold',
        b'X-Pin-Ms',
        b'X-Kv-Backup',
        b'Kv-From',
        b'Kv-Fetch',
        b'X-Expect-Instance',
        b'X-Expect-Version',
        b'X-Request-Priority',
    ],
)
def test_callers_cannot_set_gateway_headers(name: bytes):
    swapped_case = (name.swapcase(), b'theirs')
    received = sent_headers(
        (name, b'theirs'),
        swapped_case,
        (name.upper(), b'theirs'),
    )
    assert b'theirs' not in received.get(name.lower(), [])


def test_gateway_headers_replace_callers_headers():
    received = sent_headers(
        (b'x-kv-BACKUP', b'theirs'),
        (b'Kv-From', b'theirs'),
        backup=make_endpoint('e2'),
        continues=True,
        last_event_id='7',
    )
    assert received[b'x-kv-backup'] == [b'10.0.0.1:80']
    assert received[b'kv-from'] == [b'10.0.0.1:80/r1']
    assert received[b'last-event-id'] == [b'7']


PROMPT = ((b'X-Token-Count', b'100,10'), (b'X-Model', b'm'))


def sent_priority(route_tier: int, customer_tier: int | None) -> int:
    """Return the priority sent with a prompt, 0 the most urgent."""
    customer = GatewayCustomer(name='c', key_hashes=(), tier=customer_tier)
    headers = sent_headers(*PROMPT, tier=route_tier, customer=customer)
    (priority,) = headers[b'x-request-priority']
    return int(priority)


def test_route_tier_sets_priority_at_engines_for_all_customers():
    """Priority at engines follows the route's tier, not the customer's.

    A full engine displaces the newest of the least urgent prompts. Prompts of
    the most urgent route, from a customer with a lower priority, were sent
    with the priority of the next route, arrived later and were displaced,
    while prompts of the next route continued.
    """
    assert sent_priority(0, customer_tier=1) < sent_priority(
        1, customer_tier=None
    )
