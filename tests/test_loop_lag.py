"""Event loops that stood still."""

from __future__ import annotations

import gevent
import pytest

from wingfall.clock import ManualClock
from wingfall.loop_lag import LoopLag
from wingfall.metrics import Metrics

STILL_MS = 3000
# Longer than the loop sleeps between two ticks.
TICK_S = 0.2


@pytest.fixture
def lag(clock: ManualClock) -> LoopLag:
    """Return the lag of a loop that has not run."""
    return LoopLag(clock=clock, metrics=Metrics())


def test_loop_that_ticks_has_not_stood_still(lag: LoopLag, clock: ManualClock):
    clock.advance(100)
    assert not lag.has_stood_still(1000)


def test_loop_stood_still_before_the_first_tick_after_it(
    lag: LoopLag, clock: ManualClock
):
    clock.advance(STILL_MS)
    assert lag.has_stood_still(1000)


def test_loop_stood_still_for_some_time_after_it(
    lag: LoopLag, clock: ManualClock
):
    running = gevent.spawn(lag.run)
    seen = []
    for pause_ms in (0, STILL_MS, 900, 200):
        clock.advance(pause_ms)
        gevent.sleep(TICK_S)
        seen.append(lag.has_stood_still(1000))
    running.kill()
    assert seen == [False, True, True, False]
