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


def test_late_prompt_gets_a_retry_delay():
    refused = admit_by_target(make_estimate(3500))
    assert refused.failure() == 2500


def test_retry_delay_lasts_until_the_queue_is_short_enough():
    refused = admit_by_target(make_estimate(5000, left_ms=6000))
    assert refused.failure() == 4000


def test_retry_delay_is_at_most_the_remaining_time():
    refused = admit_by_target(make_estimate(60_000, left_ms=6000))
    assert refused.failure() == 6000


def test_most_urgent_tier_is_refused_last():
    assert is_admitted(5000, urgent=True)
    assert not is_admitted(7000, urgent=True)


def test_remaining_time_does_not_change_the_target():
    assert not is_admitted(3000, left_ms=9000)
    assert is_admitted(2000, left_ms=9000)


def test_always_admits_every_prompt():
    assert isinstance(admit_always(make_estimate(1_000_000)), Success)
