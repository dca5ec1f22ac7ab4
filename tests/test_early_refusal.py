"""Tests of the early refusal of prompts by their target."""

from __future__ import annotations

from returns.result import Success

from wingfall.gateway.rules.admission.early_refusal import (
    StartEstimate,
    admit_always,
    admit_by_target,
)


def make_estimate(start_ms: float, **changes: int) -> StartEstimate:
    """Return the estimate for a new prompt of a tier that is not urgent."""
    defaults = {
        'target_ms': 2000,
        'left_ms': 12_000,
        'urgent': False,
        **changes,
    }
    return StartEstimate(start_ms=start_ms, **defaults)


def is_admitted(start_ms: float, **changes: int) -> bool:
    """Check if a prompt is admitted."""
    return isinstance(
        admit_by_target(make_estimate(start_ms, **changes)), Success
    )


def test_prompt_that_meets_its_target_is_admitted():
    assert is_admitted(2000)


def test_prompt_that_would_be_late_may_come_back_in_time():
    refused = admit_by_target(make_estimate(3500))
    assert refused.failure() == 2500


def test_caller_is_told_when_there_is_room_though_that_is_late():
    refused = admit_by_target(make_estimate(5000, left_ms=6000))
    assert refused.failure() == 4000


def test_nobody_is_told_to_come_back_after_the_time_is_over():
    refused = admit_by_target(make_estimate(60_000, left_ms=6000))
    assert refused.failure() == 6000


def test_most_urgent_tier_is_refused_last():
    assert is_admitted(5000, urgent=True)
    assert not is_admitted(7000, urgent=True)


def test_caller_with_little_time_left_is_judged_as_others_are():
    assert not is_admitted(3000, left_ms=9000)
    assert is_admitted(2000, left_ms=9000)


def test_baseline_refuses_nothing():
    assert isinstance(admit_always(make_estimate(1_000_000)), Success)
