"""Estimates of run times, and the slack that follows."""

from __future__ import annotations

import pytest

from wingfall.decision.estimate import RunEstimates


def test_nothing_known_counts_as_no_time():
    slack = RunEstimates().slack_ms('a', first_left_ms=100, complete_left_ms=0)
    assert slack == 100


def test_no_target_means_no_slack():
    estimates = RunEstimates()
    assert estimates.slack_ms('a', first_left_ms=0, complete_left_ms=0) is None


def test_estimate_covers_most_of_uneven_runs():
    estimates = RunEstimates()
    runs = [100 + 100 * (turn % 5) for turn in range(200)]
    for run_ms in runs:
        estimates.note_run('a', run_ms)
    covered = sum(run_ms <= estimates.run_ms('a') for run_ms in runs)
    assert covered / len(runs) == pytest.approx(0.8, abs=0.01)


def test_slack_is_that_of_the_tightest_target():
    estimates = RunEstimates()
    for _run in range(200):
        estimates.note_run('a', 1000)
        estimates.note_first_token('a', 50)
    slack = estimates.slack_ms('a', first_left_ms=500, complete_left_ms=1200)
    assert slack == pytest.approx(200, abs=5)
    slack = estimates.slack_ms('a', first_left_ms=100, complete_left_ms=3000)
    assert slack == pytest.approx(50, abs=5)


def test_classes_are_told_apart():
    estimates = RunEstimates()
    estimates.note_run('long', 5000)
    assert estimates.run_ms('short') == 0
