"""Clock and timeouts across a suspension of the machine."""

from __future__ import annotations

import socket
import time

import gevent
import pytest

from wingfall.clock import Clock, ManualClock
from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerTimeoutError,
    EndpointConnection,
)

SUSPENDED_MS = 5000


def test_clock_includes_the_time_of_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
):
    gettime_ns = time.clock_gettime_ns

    def resumed_gettime_ns(clock_id: int) -> int:
        # CLOCK_BOOTTIME is the only kernel clock that counts a suspension.
        is_counted = clock_id == time.CLOCK_BOOTTIME
        return gettime_ns(clock_id) + SUSPENDED_MS * 1_000_000 * is_counted

    before_ms = Clock().now_ms()
    monkeypatch.setattr(time, 'clock_gettime_ns', resumed_gettime_ns)
    assert Clock().now_ms() - before_ms >= SUSPENDED_MS


def test_wait_for_an_answer_ends_soon_after_a_suspension(clock: ManualClock):
    listener = socket.create_server(('127.0.0.1', 0))
    sock = socket.create_connection(listener.getsockname())
    connection = EndpointConnection(sock=sock, clock=clock)
    started_s = time.monotonic()
    # The timeout of the answer passes during the suspension, while timers of
    # the event loop stop.
    gevent.spawn_later(0.1, clock.advance, SUSPENDED_MS)
    with pytest.raises(AnswerTimeoutError):
        connection.receive(SUSPENDED_MS)
    assert time.monotonic() - started_s < 2
    connection.close()
    listener.close()
