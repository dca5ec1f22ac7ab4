"""What operators see of estimates of first events."""

from __future__ import annotations

from wingfall.gateway.knowledge.start_estimates import StartEstimates
from wingfall.gateway.knowledge.start_figures import (
    list_start_errors,
    set_start_errors,
)
from wingfall.metrics import Metrics


def make_estimates() -> StartEstimates:
    """Make estimates of which most held and two were off."""
    starts = StartEstimates()
    for came_ms in (100, 100, 100, 100, 100, 100, 100, 100, 250, 250):
        starts.note('engines', 2, 100, came_ms)
    return starts


def test_errors_are_listed_by_pool_and_tier():
    assert list_start_errors(make_estimates()) == [
        {'pool': 'engines', 'tier': 2, 'median': 1, 'worst_tenth': 2.5}
    ]
    assert not list_start_errors(StartEstimates())


def test_errors_are_a_metric():
    metrics = Metrics()
    set_start_errors(metrics, make_estimates())
    shown = metrics.render().decode()
    assert (
        'wingfall_start_error{part="worst_tenth",pool="engines",tier="2"} 2.5'
        in shown
    )
