"""Time that goes on while a machine is suspended."""

from __future__ import annotations

import socket
import time

import gevent
import pytest

from wingfall.clock import Clock, ManualClock
from wingfall.gateway.endpoints.endpoint_connection import (
    AnswerLateError,
    EndpointConnection,
)

SUSPENDED_MS = 5000


def test_clock_counts_the_time_of_a_suspension(monkeypatch: pytest.MonkeyPatch):
    read_ns = time.clock_gettime_ns

    def suspended_ns(number: int) -> int:
        # Only this clock of the kernel counts it.
        counted = number == time.CLOCK_BOOTTIME
        return read_ns(number) + SUSPENDED_MS * 1_000_000 * counted

    before_ms = Clock().now_ms()
    monkeypatch.setattr(time, 'clock_gettime_ns', suspended_ns)
    assert Clock().now_ms() - before_ms >= SUSPENDED_MS


def test_wait_for_an_answer_ends_soon_after_a_suspension(clock: ManualClock):
    listener = socket.create_server(('127.0.0.1', 0))
    near = socket.create_connection(listener.getsockname())
    waiting = EndpointConnection(sock=near, clock=clock)
    started_s = time.monotonic()
    # The time of the answer passes while the machine is suspended; timers of
    # the loop go on from where they were.
    gevent.spawn_later(0.1, clock.advance, SUSPENDED_MS)
    with pytest.raises(AnswerLateError):
        waiting.receive(SUSPENDED_MS)
    assert time.monotonic() - started_s < 2
    waiting.close()
    listener.close()
