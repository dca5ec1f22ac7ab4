"""The time of day that defines usage windows."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.true_time import TrueTime

START_MS = 1_700_000_000_000


@pytest.fixture
def wall() -> ManualClock:
    """Return the wall clock."""
    return ManualClock(start_ms=START_MS)


@pytest.fixture
def true_time(clock: ManualClock, wall: ManualClock) -> TrueTime:
    """Return an estimate without peers."""
    return TrueTime(clock=clock, wall=wall)


def advance_all(ms: int, *clocks: ManualClock) -> None:
    """Advance all clocks."""
    for clock in clocks:
        clock.advance(ms)


def test_without_peers_the_own_time_of_day_is_used(
    clock: ManualClock, wall: ManualClock, true_time: TrueTime
):
    advance_all(5000, clock, wall)
    assert true_time.now_ms() == START_MS + 5000
    assert true_time.time_of_day_at(clock.now_ms() - 1000) == START_MS + 4000


@pytest.mark.parametrize('jump_ms', [2000, -2000, 101])
def test_jump_of_the_wall_clock_is_ignored(
    clock: ManualClock, wall: ManualClock, true_time: TrueTime, jump_ms: int
):
    advance_all(1000, clock, wall)
    wall.advance(jump_ms)
    assert true_time.poll_wall() == jump_ms
    advance_all(1000, clock, wall)
    assert true_time.poll_wall() == jump_ms
    assert true_time.now_ms() == START_MS + 2000
    wall.advance(-jump_ms)
    assert true_time.poll_wall() == 0


def test_drift_of_the_wall_clock_is_followed(
    clock: ManualClock, wall: ManualClock, true_time: TrueTime
):
    for _second in range(100):
        clock.advance(1000)
        wall.advance(1002)
        assert true_time.poll_wall() == 0
    assert true_time.now_ms() == START_MS + 100_200


def test_gateway_started_with_wrong_time_uses_the_median(
    clock: ManualClock, wall: ManualClock
):
    wrong = ManualClock(start_ms=START_MS + 2000)
    started = TrueTime(clock=clock, wall=wrong)
    started.note_peer('a', START_MS)
    started.note_peer('b', START_MS + 3)
    assert started.now_ms() == START_MS + 3
    # Its own time is reported unchanged: medians of medians would drift.
    assert started.own_time_ms == START_MS + 2000
    started.remove_peer('a')
    started.remove_peer('b')
    assert started.now_ms() == START_MS + 2000
