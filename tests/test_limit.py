"""The adaptive limit and the pace that it follows."""

from __future__ import annotations

import pytest

from tests.tickets import make_ticket
from wingfall.agent.stopwatch import Stopwatch
from wingfall.decision.choice import Candidate
from wingfall.decision.estimate import RunEstimates
from wingfall.decision.limit import Pace, limits


@pytest.fixture
def pace():
    """Give a pace without samples."""
    return Pace()


@pytest.fixture
def adaptive(clock, pace):
    """Give a limit of at most eight slots."""
    return limits.find('adaptive').unwrap()(clock=clock, pace=pace, slots=8)


def _run(adaptive, clock, pace, gap_ms, *, periods=1, in_use=8):
    for _period in range(periods):
        for _token in range(100):
            pace.note_gap(gap_ms, 40)
        clock.advance(250)
        adaptive.adjust(in_use=in_use)


def test_limit_is_cut_while_targets_are_missed(adaptive, clock, pace):
    _run(adaptive, clock, pace, 120, periods=3)
    assert adaptive.slots == 3
    _run(adaptive, clock, pace, 120, periods=20)
    assert adaptive.slots == 1


def test_limit_rises_again_only_when_full(adaptive, clock, pace):
    _run(adaptive, clock, pace, 120, periods=3)
    _run(adaptive, clock, pace, 10, periods=5, in_use=0)
    assert adaptive.slots == 3
    _run(adaptive, clock, pace, 10, periods=2)
    assert adaptive.slots == 5
    _run(adaptive, clock, pace, 10, periods=20)
    assert adaptive.slots == 8


def test_few_samples_prove_nothing(adaptive, clock, pace):
    pace.note_gap(1000, 40)
    clock.advance(10_000)
    adaptive.adjust(in_use=8)
    assert adaptive.slots == 8


def test_classes_without_a_target_do_not_press(pace):
    for _token in range(100):
        pace.note_gap(500, 0)
    assert pace.pressure == 0
    assert pace.gap_ms == pytest.approx(500)


def test_stopwatch_counts_events_of_a_stream(pace):
    ticket = make_ticket()
    ticket.token_gap_ms = 40
    stopwatch = Stopwatch(pace=pace, estimates=RunEstimates(), ticket=ticket)
    stopwatch.start({'content-type': 'text/event-stream; charset=utf-8'})
    stopwatch.note(b'data: a\n\n')
    assert pace.samples == 0
    stopwatch.note(b'data: b\n\ndata: c\n\n')
    stopwatch.note(b'data: part of an event')
    assert pace.samples == 1


def test_stopwatch_leaves_whole_answers_alone(pace):
    stopwatch = Stopwatch(
        pace=pace,
        estimates=RunEstimates(),
        ticket=make_ticket(),
    )
    stopwatch.start({'content-type': 'application/json'})
    stopwatch.note(b'{}\n\n\n\n')
    assert pace.gap_ms == 0


def test_reserved_slots_are_not_free_for_lower_tiers():
    agent = Candidate(
        name='a',
        same_zone=True,
        limit=4,
        reported=3,
        sent_since=0,
        mean_run_ms=100,
        reserved=1,
    )
    assert agent.free_slots == 0
