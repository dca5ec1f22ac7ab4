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


def test_unseen_engine_has_no_rate():
    window = PrefillRateWindow()
    assert window.rate is None
    assert window.is_stale(0)


def test_prompts_of_others_that_came_before_do_not_count():
    samples = [FAST, SLOW, FAST * 0.9, SLOW, FAST, SLOW, FAST, SLOW]
    assert record(PrefillRateWindow(), *samples).rate == pytest.approx(
        FAST, rel=0.1
    )


@pytest.mark.parametrize('before', [2, 3, 5, 15, 40])
@pytest.mark.parametrize('outlier', [OUTLIER, 2])
def test_one_absurd_reading_changes_little(before: int, outlier: float):
    window = record(PrefillRateWindow(), *repeat(FAST, before))
    window.note(outlier, before * STEP_MS)
    assert window.rate == FAST


def test_slow_spell_does_not_make_an_engine_slow():
    window = record(PrefillRateWindow(), *repeat(FAST, 11), *repeat(SLOWDOWN, 5))
    # A high quantile of sixteen tolerates thirteen samples that are too low.
    assert window.rate == FAST


@pytest.mark.parametrize(('before', 'after'), [(FAST, SLOW), (SLOW, FAST)])
def test_engine_that_changed_is_followed_within_its_window(
    before: float, after: float
):
    window = record(PrefillRateWindow(), *repeat(before, 30))
    record(window, *repeat(after, 14), from_ms=30 * STEP_MS)
    assert window.rate == after


def test_engine_that_turned_quick_is_known_after_three_readings():
    window = record(PrefillRateWindow(), *repeat(SLOW, 30), *repeat(FAST, 3))
    assert window.rate == FAST


def test_old_readings_go_once_there_are_newer_ones():
    window = record(PrefillRateWindow(), *repeat(FAST, 16))
    record(window, SLOW, SLOW, SLOW, from_ms=LATER_MS)
    assert window.rate == SLOW


def test_old_readings_stay_while_there_are_no_newer_ones():
    window = record(PrefillRateWindow(), *repeat(FAST, 16))
    record(window, SLOW, from_ms=LATER_MS)
    assert window.rate == FAST
    assert not window.is_stale(LATER_MS)
    assert window.is_stale(2 * LATER_MS)


def test_further_readings_are_needed_while_few_are_recent():
    window = record(PrefillRateWindow(), *repeat(FAST, 7))
    assert window.needs_more_samples(7 * STEP_MS)
    record(window, FAST, from_ms=7 * STEP_MS)
    assert not window.needs_more_samples(8 * STEP_MS)
    assert window.needs_more_samples(LATER_MS)


def test_belief_of_another_gateway_counts_only_without_a_reading():
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
