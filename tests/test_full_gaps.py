"""Samples of token gaps at full load, and their reports to gateways."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.engine_speed import EngineSpeed
from wingfall.gateway.knowledge.full_gaps import FullGaps


@pytest.fixture
def clock() -> ManualClock:
    """Create a manual clock."""
    return ManualClock(start_ms=1000)


def test_slowdowns_do_not_change_the_typical_gap(clock: ManualClock):
    window = FullGaps(clock=clock).find('e')
    for gap_ms in (80, 190, 85, 190, 80, 190, 85, 190):
        window.add(gap_ms)
    assert window.typical_ms == 85
    assert max(window.gaps_ms) == 190


def test_typical_gap_needs_enough_samples(clock: ManualClock):
    window = FullGaps(clock=clock).find('e')
    for _stream in range(5):
        window.add(80)
    assert window.typical_ms is None


def test_old_gaps_are_dropped_for_newer_ones(clock: ManualClock):
    window = FullGaps(clock=clock).find('e')
    for _stream in range(8):
        window.add(80)
    clock.advance(11_000)
    assert len(window.gaps_ms) == 8
    for _stream in range(6):
        window.add(170)
    assert window.typical_ms == 170


def test_few_gaps_are_reported_and_only_once(clock: ManualClock):
    gaps = FullGaps(clock=clock, reports_gaps=True)
    for _stream in range(20):
        gaps.find('e').note(90)
    reported = gaps.take_unreported()
    assert reported == [['e', 90, 90, 90, 90]]
    assert gaps.take_unreported() == []
    # The recent gaps suffice for all gateways.
    gaps.find('e').note(90)
    assert gaps.take_unreported() == []
    receiver = FullGaps(clock=clock, reports_gaps=True)
    for name, *gaps_ms in reported:
        receiver.merge_reported(name, gaps_ms)
    assert receiver.find('e').gaps_ms == [90, 90, 90, 90]
    assert receiver.take_unreported() == []


def test_started_gateway_receives_enough_gaps(clock: ManualClock):
    gaps = FullGaps(clock=clock, reports_gaps=True)
    for gap_ms in range(80, 100):
        gaps.find('e').note(gap_ms)
    assert gaps.encode_all() == [['e', 94, 95, 96, 97, 98, 99]]
    started = FullGaps(clock=clock, reports_gaps=True)
    for name, *gaps_ms in gaps.encode_all():
        started.merge_reported(name, gaps_ms)
    assert started.find('e').typical_ms is not None


def test_no_gaps_are_reported_by_default(clock: ManualClock):
    gaps = FullGaps(clock=clock)
    gaps.find('e').note(90)
    assert gaps.take_unreported() == []
    assert gaps.encode_all() == []


def test_gaps_of_unlisted_engines_are_removed(clock: ManualClock):
    gaps = FullGaps(clock=clock, reports_gaps=True)
    gaps.find('e').note(90)
    gaps.retain_only(set())
    assert gaps.find('e').gaps_ms == []


@pytest.mark.parametrize(
    ('gap_ms', 'prefill_tokens', 'is_stored'),
    [(100, 40_000, True), (100, 8000, False), (40, 40_000, False)],
    ids=['during prefill', 'prefill may have ended', 'as long as idle gap'],
)
def test_gap_is_sampled_during_prefill_only(
    clock: ManualClock, gap_ms: int, prefill_tokens: int, *, is_stored: bool
):
    window = FullGaps(clock=clock).find('e')
    speed = EngineSpeed(tokens_per_ms=80, full_gaps=window)
    speed.note_longest_gap(gap_ms, prefill_tokens)
    assert bool(window.gaps_ms) == is_stored
