"""How far estimates of first events are off, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.start_estimates import StartEstimates
    from wingfall.metrics import Metrics

# Digits of a ratio; the second one tells a part in a hundred.
_DIGITS: Final = 2


def list_start_errors(starts: StartEstimates) -> list[dict[str, Any]]:
    """List how far estimates were off.

    :param starts: the estimates.
    :returns: for each pool and tier the first event over its estimate, at the
        median and in the worst tenth.
    """
    return [
        {
            'pool': pool,
            'tier': tier,
            'median': round(error.median, _DIGITS),
            'worst_tenth': round(error.worst_tenth, _DIGITS),
        }
        for (pool, tier), error in sorted(starts.errors.items())
    ]


def set_start_errors(metrics: Metrics, starts: StartEstimates) -> None:
    """Set the metric of how far estimates were off.

    :param metrics: where it stands.
    :param starts: the estimates.
    """
    for shown in list_start_errors(starts):
        for part in ('median', 'worst_tenth'):
            labels = {
                'pool': shown['pool'],
                'tier': str(shown['tier']),
                'part': part,
            }
            metrics.start_error.set(labels, shown[part])
