"""Estimates of the time of the last event of an answer."""

from __future__ import annotations

import pytest

from wingfall.gateway.knowledge.engine_speed import EngineSpeed
from wingfall.gateway.knowledge.last_event import last_event_ms

FIRST_MS = 200
IDLE_MS = 30
FULL_MS = 120


def engine() -> EngineSpeed:
    """Create an engine of 40 prefill tokens per ms and gaps of 30 or 120 ms."""
    speed = EngineSpeed(tokens_per_ms=40)
    speed.note_longest_gap(FULL_MS, 50_000)
    return speed


def last_ms(speed: EngineSpeed, pending: int, output: int = 80) -> float:
    """Estimate the last event of an answer with four tokens per event."""
    return last_event_ms(
        first_ms=FIRST_MS,
        output_tokens=output,
        event_tokens=4,
        prefill_tokens=pending,
        speed=speed,
    )


def test_events_have_idle_gaps_without_prefills():
    # Twenty events have nineteen gaps.
    assert last_ms(engine(), pending=0) == FIRST_MS + 19 * IDLE_MS


@pytest.mark.parametrize('output', [0, 1, 4])
def test_answer_of_one_event_ends_with_first_event(output: int):
    assert last_ms(engine(), pending=50_000, output=output) == FIRST_MS


def test_prefill_delays_events_for_its_duration():
    # A prefill of 240 ms delays two of the gaps.
    delayed_ms = FIRST_MS + 2 * FULL_MS + 17 * IDLE_MS
    assert last_ms(engine(), pending=9600) == pytest.approx(delayed_ms)


def test_prefill_delays_all_events_at_most():
    assert last_ms(engine(), pending=10**6) == FIRST_MS + 19 * FULL_MS


def test_engine_without_full_gap_uses_idle_gaps():
    speed = EngineSpeed(tokens_per_ms=40)
    assert last_ms(speed, pending=9600) == FIRST_MS + 19 * IDLE_MS
