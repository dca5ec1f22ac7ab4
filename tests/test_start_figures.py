"""Errors of first event estimates on the status page and in metrics."""

from __future__ import annotations

from wingfall.gateway.knowledge.start_estimates import StartEstimates
from wingfall.gateway.knowledge.start_figures import (
    list_start_errors,
    set_start_errors,
)
from wingfall.metrics import Metrics


def make_estimates() -> StartEstimates:
    """Create estimates of which eight are exact and two too low."""
    starts = StartEstimates()
    for actual_ms in (100, 100, 100, 100, 100, 100, 100, 100, 250, 250):
        starts.note('engines', 2, 100, actual_ms)
    return starts


def test_start_errors_are_listed_by_pool_and_tier():
    assert list_start_errors(make_estimates()) == [
        {'pool': 'engines', 'tier': 2, 'median': 1, 'worst_tenth': 2.5}
    ]
    assert not list_start_errors(StartEstimates())


def test_start_errors_are_a_metric():
    metrics = Metrics()
    set_start_errors(metrics, make_estimates())
    rendered = metrics.render().decode()
    assert (
        'wingfall_start_error{part="worst_tenth",pool="engines",tier="2"} 2.5'
        in rendered
    )
