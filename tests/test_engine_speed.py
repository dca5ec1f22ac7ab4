"""Measurement of prefill rates and token gaps of engines."""

from __future__ import annotations

import math

import pytest

from wingfall.gateway.knowledge.engine_speed import (
    EngineSpeed,
    LongestGap,
    PrefillRate,
    late_probability,
)

# Pending prefill tokens of an engine at full load.
SATURATED = 50_000


def test_rate_is_updated_by_long_prefills_only():
    rate = PrefillRate()
    first = rate.tokens_per_ms
    rate.note(100, 1)
    assert math.isclose(rate.tokens_per_ms, first)
    for _prefill in range(60):
        rate.note(40_000, 1000)
    assert 39 < round(rate.tokens_per_ms) <= 40


def with_gaps(*gaps: tuple[int, int]) -> EngineSpeed:
    """Create an engine that prefills 40 tokens per ms, with gap samples."""
    speed = EngineSpeed(tokens_per_ms=40)
    for gap_ms, prefill_tokens in gaps:
        speed.note_longest_gap(gap_ms, prefill_tokens)
    return speed


def test_longest_gap_needs_enough_pending_tokens():
    assert with_gaps().full_gap_ms is None
    assert with_gaps((100, 4000)).full_gap_ms is None
    assert with_gaps((200, SATURATED)).full_gap_ms == 200


def test_longest_gap_rises_faster_than_it_falls():
    longer = with_gaps((200, SATURATED), (300, SATURATED)).full_gap_ms
    shorter = with_gaps((300, SATURATED), (200, SATURATED)).full_gap_ms
    assert longer == pytest.approx(230)
    assert shorter == pytest.approx(298)


def test_engines_share_a_longest_gap_object():
    longest_gap = LongestGap()
    EngineSpeed(longest_gap=longest_gap).note_longest_gap(200, SATURATED)
    assert EngineSpeed(longest_gap=longest_gap).full_gap_ms == 200


def test_prefill_takes_a_share_of_the_free_gap():
    speed = with_gaps((200, SATURATED))
    free_ms = 200 - speed.idle_gap_ms
    assert speed.prefill_gap_share(free_ms * 40, 200) == pytest.approx(1)
    assert speed.prefill_gap_share(free_ms * 10, 200) == pytest.approx(1 / 4)


def test_prefills_far_below_the_gap_bound_are_harmless():
    assert with_gaps((200, SATURATED)).prefill_gap_share(SATURATED, 600) == 0
    assert with_gaps().prefill_gap_share(SATURATED, 600) > 0


@pytest.mark.parametrize(
    ('expected_ms', 'probability'),
    [(100, 0), (170, 0), (200, 0.5), (230, 1), (1000, 1)],
)
def test_late_probability_grows_around_the_bound(
    expected_ms: int,
    probability: float,
):
    assert late_probability(expected_ms, 200) == pytest.approx(probability)
