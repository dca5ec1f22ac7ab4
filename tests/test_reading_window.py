"""Samples of an engine and the prefill rate estimated from them."""

from __future__ import annotations

from itertools import repeat

import pytest

from wingfall.gateway.knowledge.quantile import quantile
from wingfall.gateway.knowledge.reading_window import PrefillRateWindow

FAST = 60
SLOW = 25
OUTLIER = 500
SLOWDOWN = 5
# Milliseconds between two samples of a busy engine.
STEP_MS = 50
LATER_MS = 15_000


def record(
    window: PrefillRateWindow, *rates: float, from_ms: int = 0
) -> PrefillRateWindow:
    """Record samples of an engine at short intervals."""
    for number, rate in enumerate(rates):
        window.note(rate, from_ms + number * STEP_MS)
    return window


def test_engine_without_samples_has_no_rate():
    window = PrefillRateWindow()
    assert window.rate is None
    assert window.is_stale(0)


def test_low_samples_do_not_change_the_rate():
    samples = [FAST, SLOW, FAST * 0.9, SLOW, FAST, SLOW, FAST, SLOW]
    assert record(PrefillRateWindow(), *samples).rate == pytest.approx(
        FAST, rel=0.1
    )


@pytest.mark.parametrize('before', [2, 3, 5, 15, 40])
@pytest.mark.parametrize('outlier', [OUTLIER, 2])
def test_one_outlier_does_not_change_the_rate(before: int, outlier: float):
    window = record(PrefillRateWindow(), *repeat(FAST, before))
    window.note(outlier, before * STEP_MS)
    assert window.rate == FAST


def test_slowdown_does_not_change_the_rate():
    window = record(
        PrefillRateWindow(), *repeat(FAST, 11), *repeat(SLOWDOWN, 5)
    )
    # A high quantile of sixteen tolerates thirteen samples that are too low.
    assert window.rate == FAST


@pytest.mark.parametrize(('before', 'after'), [(FAST, SLOW), (SLOW, FAST)])
def test_rate_change_is_followed_within_the_window(before: float, after: float):
    window = record(PrefillRateWindow(), *repeat(before, 30))
    record(window, *repeat(after, 14), from_ms=30 * STEP_MS)
    assert window.rate == after


def test_rate_increase_is_followed_after_three_samples():
    window = record(PrefillRateWindow(), *repeat(SLOW, 30), *repeat(FAST, 3))
    assert window.rate == FAST


def test_old_samples_are_dropped_for_newer_ones():
    window = record(PrefillRateWindow(), *repeat(FAST, 16))
    record(window, SLOW, SLOW, SLOW, from_ms=LATER_MS)
    assert window.rate == SLOW


def test_old_samples_stay_without_newer_ones():
    window = record(PrefillRateWindow(), *repeat(FAST, 16))
    record(window, SLOW, from_ms=LATER_MS)
    assert window.rate == FAST
    assert not window.is_stale(LATER_MS)
    assert window.is_stale(2 * LATER_MS)


def test_more_samples_are_needed_while_few_are_recent():
    window = record(PrefillRateWindow(), *repeat(FAST, 7))
    assert window.needs_more_samples(7 * STEP_MS)
    record(window, FAST, from_ms=7 * STEP_MS)
    assert not window.needs_more_samples(8 * STEP_MS)
    assert window.needs_more_samples(LATER_MS)


def test_peer_rate_is_used_only_without_samples():
    window = PrefillRateWindow()
    window.note_peer_rate(FAST, 0)
    assert window.rate == FAST
    for _peer in range(20):
        window.note_peer_rate(OUTLIER, 0)
    assert window.rate == FAST
    sampled = record(PrefillRateWindow(), SLOW)
    sampled.note_peer_rate(FAST, STEP_MS)
    assert sampled.rate == SLOW


@pytest.mark.parametrize(
    ('numbers', 'fraction', 'expected'),
    [
        ([7], 0.8, 7),
        ([7, 3], 0.8, 3),
        ([1, 9, 5], 0.5, 5),
        (range(16), 0.8, 12),
        (range(16), 0, 0),
        (range(16), 1, 15),
    ],
)
def test_quantile_is_one_of_the_numbers(
    numbers, fraction: float, expected: float
):
    assert quantile(numbers, fraction) == expected
