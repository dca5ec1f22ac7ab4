"""Which prompts are refused at once."""

from __future__ import annotations

from returns.result import Success

from wingfall.gateway.rules.admission.early_refusal import (
    StartEstimate,
    admit_always,
    admit_by_target,
)


def estimate(start_ms: float, **changes: int) -> StartEstimate:
    """Make the estimate of a fresh prompt that isn't urgent."""
    known = {
        'target_ms': 2000,
        'left_ms': 12_000,
        'urgent': False,
        **changes,
    }
    return StartEstimate(start_ms=start_ms, **known)


def admitted(start_ms: float, **changes: int) -> bool:
    """Tell whether a prompt is admitted."""
    return isinstance(admit_by_target(estimate(start_ms, **changes)), Success)


def test_prompt_that_meets_its_target_is_admitted():
    assert admitted(2000)


def test_prompt_that_would_be_late_may_come_back_in_time():
    refused = admit_by_target(estimate(3500))
    assert refused.failure() == 2500


def test_caller_is_told_when_there_is_room_though_that_is_late():
    refused = admit_by_target(estimate(5000, left_ms=6000))
    assert refused.failure() == 4000


def test_nobody_is_told_to_come_back_after_the_time_is_over():
    refused = admit_by_target(estimate(60_000, left_ms=6000))
    assert refused.failure() == 6000


def test_most_urgent_tier_is_refused_last():
    assert admitted(5000, urgent=True)
    assert not admitted(7000, urgent=True)


def test_caller_with_little_time_left_is_judged_as_others_are():
    assert not admitted(3000, left_ms=9000)
    assert admitted(2000, left_ms=9000)


def test_baseline_refuses_nothing():
    assert isinstance(admit_always(estimate(1_000_000)), Success)
