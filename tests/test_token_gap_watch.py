"""Token gaps of a stream and the prefill load during them."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.calls.token_gap_watch import TokenGapWatch
from wingfall.gateway.knowledge.engine_speed import EngineSpeed
from wingfall.gateway.knowledge.load import EndpointLoad, LoadTable


def make_watch(
    load: LoadTable,
    clock: ManualClock,
    **changes: object,
) -> TokenGapWatch:
    """Create a watch for a stream of engine e1."""
    args = {'endpoint': 'e1', 'load': load, 'speed': EngineSpeed(), **changes}
    return TokenGapWatch(clock=clock, **args)


def test_longest_gap_is_recorded_with_pending_prefill_tokens(
    clock: ManualClock,
):
    load = LoadTable()
    watch = make_watch(load, clock)
    watch.note_event()
    assert watch.longest_gap_ms is None
    clock.advance(30)
    watch.note_event()
    entry = load.start('e1', EndpointLoad(running=1, prefill_tokens=9000))
    clock.advance(220)
    watch.note_event()
    entry.begin_output()
    clock.advance(40)
    watch.note_event()
    assert watch.longest_gap_ms == 220
    assert watch.longest_gap_prefill_tokens == 9000


def test_prefill_that_ended_during_the_gap_counts(clock: ManualClock):
    load = LoadTable()
    watch = make_watch(load, clock)
    entry = load.start('e1', EndpointLoad(running=1, prefill_tokens=5000))
    watch.note_event()
    clock.advance(120)
    entry.begin_output()
    watch.note_event()
    assert watch.longest_gap_prefill_tokens == 5000


def test_gaps_without_prefill_update_speed_at_once(clock: ManualClock):
    speed = EngineSpeed()
    watch = make_watch(LoadTable(), clock, speed=speed)
    for _event in range(300):
        clock.advance(20)
        watch.note_event()
    assert speed.idle_gap_ms == pytest.approx(20, abs=1)


def test_longest_gap_updates_speed_at_end_of_stream(clock: ManualClock):
    load = LoadTable()
    speed = EngineSpeed(tokens_per_ms=40)
    watch = make_watch(load, clock, speed=speed)
    load.start('e1', EndpointLoad(running=1, prefill_tokens=50_000))
    watch.note_event()
    for gap_ms in (30, 200, 30):
        clock.advance(gap_ms)
        watch.note_event()
    assert speed.full_gap_ms is None
    watch.end()
    assert speed.full_gap_ms == 200
