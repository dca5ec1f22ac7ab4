"""Estimates of first events and their errors."""

from __future__ import annotations

from itertools import repeat

import pytest

from wingfall.gateway.knowledge.start_estimates import (
    CorrectedEstimates,
    StartEstimates,
)

POOL = 'pool'
OVERHEAD_MS = 50


@pytest.fixture
def starts() -> CorrectedEstimates:
    """Return estimates for a pool whose fixed overhead is known."""
    return CorrectedEstimates(get_fixed_overhead_ms={POOL: OVERHEAD_MS}.get)


def note_all(
    starts: StartEstimates, tier: int, *times_ms: tuple[float, float]
) -> None:
    """Record first events, given estimated and actual milliseconds."""
    for estimate_ms, actual_ms in times_ms:
        starts.note(POOL, tier, estimate_ms, actual_ms)


def test_plain_estimates_are_not_corrected():
    starts = StartEstimates()
    note_all(starts, 0, *repeat((100, 300), 20))
    assert starts.expected_ms(POOL, 0, 100) == 100
    error = starts.errors[POOL, 0]
    assert (error.median, error.worst_tenth) == (3, 3)


def test_estimate_includes_fixed_overhead(starts: CorrectedEstimates):
    assert starts.expected_ms(POOL, 0, 100) == 150
    assert starts.expected_ms('other pool', 0, 100) == 140


def test_estimates_are_corrected_by_tier(starts: CorrectedEstimates):
    note_all(starts, 0, *repeat((150, 100), 4))
    note_all(starts, 3, *repeat((150, 300), 4))
    assert starts.expected_ms(POOL, 0, 350) == pytest.approx(200)
    assert starts.expected_ms(POOL, 3, 350) == pytest.approx(600)
    assert starts.expected_ms(POOL, 1, 350) == 400


def test_correction_needs_enough_first_events(starts: CorrectedEstimates):
    note_all(starts, 0, *repeat((150, 400), 3))
    assert starts.expected_ms(POOL, 0, 150) == 200


def test_one_outlier_does_not_change_the_correction(starts: CorrectedEstimates):
    note_all(starts, 0, *repeat((150, 200), 6), (150, 20_000))
    assert starts.expected_ms(POOL, 0, 150) == 200


@pytest.mark.parametrize(('actual_ms', 'factor'), [(1, 0.3), (20_000, 3)])
def test_corrections_are_bounded(
    starts: CorrectedEstimates, actual_ms: float, factor: float
):
    note_all(starts, 0, *repeat((150, actual_ms), 32))
    assert starts.expected_ms(POOL, 0, 150) == pytest.approx(200 * factor)


def test_correction_recovers_after_a_failure(
    starts: CorrectedEstimates,
):
    note_all(starts, 0, *repeat((150, 20_000), 32))
    note_all(starts, 0, *repeat((150, 200), 32))
    assert starts.expected_ms(POOL, 0, 150) == pytest.approx(200)


def test_error_is_relative_to_the_corrected_estimate(
    starts: CorrectedEstimates,
):
    note_all(starts, 0, *repeat((150, 400), 4))
    assert starts.errors[POOL, 0].median == 2
    note_all(starts, 0, *repeat((150, 400), 28))
    note_all(starts, 0, *repeat((150, 800), 4))
    assert starts.errors[POOL, 0].median == 1
    assert starts.errors[POOL, 0].worst_tenth == 1
    note_all(starts, 0, (150, 800))
    assert starts.errors[POOL, 0].worst_tenth == 2
