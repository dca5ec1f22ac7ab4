"""Tests of an agent's requests to the endpoint beside it."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from returns.result import Success

from standins.pool_server import PoolServerStandIn
from wingfall.agent.endpoint_client import EndpointClient
from wingfall.wire.call_messages import Run

LONG_BYTES = 4_000_000


@pytest.fixture
def server() -> Iterator[PoolServerStandIn]:
    """Start an endpoint."""
    running = PoolServerStandIn(name='one')
    yield running
    running.stop()


def send(server: PoolServerStandIn, idle_ms: int) -> bytes | None:
    """Send a long request and return the body of its answer."""
    client = EndpointClient(
        url=f'http://{server.address}',
        slots=1,
        connect_ms=300,
        idle_ms=idle_ms,
    )
    run = Run(
        call_id='a1',
        method='POST',
        path='/x',
        headers={'X-Attempt-Id': 'a1'},
        body=bytes(LONG_BYTES),
        timeout_ms=10_000,
        priority=0,
    )
    opened = client.open(run)
    if not isinstance(opened, Success):
        return None
    answer = opened.unwrap()
    return b''.join(piece.unwrap() for piece in answer.pieces())


@pytest.mark.parametrize(('bytes_per_s', 'pause_s'), [(1_600_000, 0), (0, 1.5)])
def test_long_body_is_delivered_to_an_endpoint_that_reads_slowly(
    server: PoolServerStandIn, bytes_per_s: int, pause_s: float
):
    # Guards against the timeout of the connect as a limit of the whole body.
    server.reading.bytes_per_s = bytes_per_s
    server.reading.pause_s = pause_s
    assert send(server, idle_ms=5000) == b'one a1 /x'
    assert server.runs[0].body == bytes(LONG_BYTES)


def test_endpoint_that_reads_nothing_is_given_up(server: PoolServerStandIn):
    server.reading.pause_s = 60
    assert send(server, idle_ms=500) is None
