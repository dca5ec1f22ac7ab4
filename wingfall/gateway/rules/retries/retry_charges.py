"""Charges retries of calls to the retry budget.

Logs each decision with the counts that it is based on, so that an excess of
retries can be traced to a gateway, its age and its view of the other gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.log import log_event
from wingfall.log_limit import LogLimit

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.rules.retries.retry_budget import RetryBudget
    from wingfall.metrics import Metrics

# Maximum lines per second about denied retries. While a pool fails, nearly
# every call is denied a retry.
_MAX_DENIED_LINES_PER_S: Final = 50
# Decimal digits of the logged fractions of a retry.
_AVAILABLE_DIGITS: Final = 2


@final
class RetryCharges:
    """Charges retries, and reports each decision."""

    __slots__ = ('_budget', '_denied_lines', '_metrics')

    def __init__(
        self,
        *,
        budget: RetryBudget,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the charges of a gateway that has retried no call.

        :param budget: limits the retries of all gateways.
        :param clock: source of the current time.
        :param metrics: counts the decisions.
        """
        self._budget = budget
        self._metrics = metrics
        self._denied_lines = LogLimit(
            clock=clock, per_second=_MAX_DENIED_LINES_PER_S
        )

    def take(self, call: Call, pool: str) -> bool:
        """Charge a retry to the budget of a pool.

        :param call: the call.
        :param pool: name of the pool.
        :returns: whether the call may be sent again.
        """
        is_granted = self._budget.take(pool)
        outcome = 'granted' if is_granted else 'denied'
        self._metrics.decisions.inc({'part': 'retry', 'reason': outcome})
        if is_granted:
            self._log('The budget granted a retry.', call, pool)
        elif self._denied_lines.admit():
            self._log(
                'The budget denied a retry.',
                call,
                pool,
                omitted=self._denied_lines.take_omitted(),
            )
        return is_granted

    def _log(self, sentence: str, call: Call, pool: str, **fields: int) -> None:
        usage = self._budget.usage(pool)
        log_event(
            'retry',
            sentence,
            call=call.call_id,
            pool=pool,
            available=round(usage.available, _AVAILABLE_DIGITS),
            requests=usage.requests,
            retries=usage.retries,
            gateways=usage.gateways,
            gateways_age_ms=usage.gateways_age_ms,
            age_ms=usage.age_ms,
            **fields,
        )
