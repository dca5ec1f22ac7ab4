"""Pauses of a stream and what was read beside it."""

from __future__ import annotations

from wingfall.clock import ManualClock
from wingfall.gateway.load import EndpointLoad, LoadTable
from wingfall.gateway.token_gap_watch import TokenGapWatch


def test_longest_pause_is_kept_with_what_was_read_beside_it(
    clock: ManualClock,
):
    load = LoadTable(clock=clock)
    watch = TokenGapWatch(endpoint='e1', load=load, clock=clock)
    watch.note_event()
    assert watch.longest_ms is None
    clock.advance(30)
    watch.note_event()
    entry = load.start('e1', EndpointLoad(running=1, reading_tokens=9000))
    clock.advance(220)
    watch.note_event()
    entry.begin_output()
    clock.advance(40)
    watch.note_event()
    assert watch.longest_ms == 220
    assert watch.longest_reading_tokens == 9000


def test_read_that_ended_in_the_pause_counts(clock: ManualClock):
    load = LoadTable(clock=clock)
    watch = TokenGapWatch(endpoint='e1', load=load, clock=clock)
    entry = load.start('e1', EndpointLoad(running=1, reading_tokens=5000))
    watch.note_event()
    clock.advance(120)
    entry.begin_output()
    watch.note_event()
    assert watch.longest_reading_tokens == 5000
