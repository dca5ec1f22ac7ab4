"""Errors of first event estimates, for the status page and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.start_estimates import StartEstimates
    from wingfall.metrics import Metrics

# Decimal places of a ratio, a resolution of one hundredth.
_DECIMALS: Final = 2


def list_start_errors(starts: StartEstimates) -> list[dict[str, Any]]:
    """Return the errors of the estimates.

    :param starts: the estimates.
    :returns: for each pool and tier the ratio of the actual to the estimated
        time, its median and its 90th percentile.
    """
    return [
        {
            'pool': pool,
            'tier': tier,
            'median': round(error.median, _DECIMALS),
            'worst_tenth': round(error.worst_tenth, _DECIMALS),
        }
        for (pool, tier), error in sorted(starts.errors.items())
    ]


def set_start_errors(metrics: Metrics, starts: StartEstimates) -> None:
    """Set the metric of the errors of estimates.

    :param metrics: the metrics to update.
    :param starts: the estimates.
    """
    for error_stats in list_start_errors(starts):
        for part in ('median', 'worst_tenth'):
            labels = {
                'pool': error_stats['pool'],
                'tier': str(error_stats['tier']),
                'part': part,
            }
            metrics.start_error.set(labels, error_stats[part])
