"""The duty to report usage: one report per window, even if gateways end.

A report is written into the lease before it is sent, so that a later holder
sends exactly the same report. Windows that could not be reported are sent later
in order, until their deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from returns.result import Success

from wingfall.gateway.duties.duty import DutyTerms, duties
from wingfall.gateway.duties.takeover import COUNTS_RECEIVED_MS
from wingfall.gateway.model.duty import UsageReport
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.duties.lease import Lease
    from wingfall.gateway.duties.takeover import TakeoverPolicy
    from wingfall.gateway.knowledge.usage_counts import UsageCounts
    from wingfall.gateway.model.duty import DutyCalls
    from wingfall.metrics import Metrics

# Milliseconds after the end of a window at which its counts are added up: a
# second until peers have sent the last counts, and another for busy loops and
# links.
_SETTLE_MS: Final = 2000
# Minimum time in milliseconds to send a report, within the time for which a
# holder may act.
_MIN_SEND_MS: Final = 100


@final
@duties.register('usage')
class UsageDuty:
    """Reports the usage of each window while this gateway holds the lease."""

    __slots__ = (
        '_calls',
        '_clock',
        '_counts',
        '_lease',
        '_metrics',
        '_takeover_policy',
        '_terms',
    )

    def __init__(
        self,
        *,
        terms: DutyTerms,
        lease: Lease,
        standing: TakeoverPolicy,
        counts: UsageCounts,
        calls: DutyCalls,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Initialize the duty.

        :param terms: the window length and deadline of reports.
        :param lease: the lease that allows a gateway to report.
        :param standing: decides when this gateway takes over the lease.
        :param counts: the usage counts to report.
        :param calls: sends reports to the platform.
        :param clock: the monotonic clock.
        :param metrics: the metrics that count reports.
        """
        self._terms = terms
        self._lease = lease
        self._takeover_policy = standing
        self._counts = counts
        self._calls = calls
        self._clock = clock
        self._metrics = metrics

    def step(self) -> None:
        """Report due windows if this gateway holds or acquires the lease."""
        self._counts.forget_old()
        self._skip_late()
        due = self._find_due()
        if not due:
            return
        if self._lease.held or self._try_takeover(due[0]):
            self._report(due)

    def _skip_late(self) -> None:
        late_window = self._counts.next_window
        while self._counts.ms_since_end(late_window) > self._terms.deadline_ms:
            log_event(
                'usage',
                'A window was not reported in time.',
                window=late_window,
                held=self._lease.held,
            )
            self._metrics.decisions.inc({'part': 'usage', 'reason': 'late'})
            self._counts.delivered_window = late_window
            late_window += 1

    def _find_due(self) -> list[int]:
        return [
            window
            for window in range(self._counts.next_window, self._counts.window)
            if self._counts.ms_since_end(window) >= _SETTLE_MS
        ]

    def _try_takeover(self, window: int) -> bool:
        waited_ms = self._counts.ms_since_end(window) - _SETTLE_MS
        if not self._takeover_policy.should_poll_lease(waited_ms):
            return False
        # The holder may have updated the lease since the last read.
        if not self._lease.refresh():
            return False
        if self._lease.held:
            return True
        record, unchanged_ms = self._lease.record, self._lease.unchanged_ms
        decided = window <= record.decided
        if decided and window not in record.reports:
            # The holder delivered this window before it decided later ones.
            self._counts.delivered_window = window
            return False
        if not self._takeover_policy.should_take_over(
            record, unchanged_ms, decided=decided
        ):
            return False
        return self._lease.acquire(decided=self._counts.window - 1)

    def _report(self, due: list[int]) -> None:
        if not self._lease.can_act:
            return
        if self._decide(due):
            for window in due:
                if not self._deliver(window):
                    return

    def _decide(self, due: list[int]) -> bool:
        record = self._lease.record
        undecided = [window for window in due if window > record.decided]
        if not undecided:
            # Resending decided reports requires that the lease is still held.
            return self._lease.refresh()
        if self._lease.held_ms < COUNTS_RECEIVED_MS:
            return False
        reports = {
            window: counts
            for window, counts in record.reports.items()
            if window > self._counts.delivered_window
        }
        for window in undecided:
            reports[window] = self._counts.window_totals(window)
        return self._lease.commit(reports, undecided[-1])

    def _deliver(self, window: int) -> bool:
        counts = self._lease.record.reports.get(window)
        if counts is None:
            # The holder delivered this window before it decided later ones.
            self._counts.delivered_window = window
            return True
        act_ms = self._lease.act_ms
        if act_ms < _MIN_SEND_MS:
            return False
        report = UsageReport(window=window, counts=counts)
        started_ms = self._clock.now_ms()
        self._lease.note_acted()
        answer = self._calls.report_usage(report, self._lease.fence, act_ms)
        self._lease.note_acted()
        is_delivered = isinstance(answer, Success)
        self._metrics.decisions.inc(
            {
                'part': 'usage',
                'reason': 'reported' if is_delivered else 'failed',
            },
        )
        log_event(
            'usage',
            'A window was reported.' if is_delivered else 'A report failed.',
            window=window,
            token=self._lease.fence.token,
            requests=sum(counts.values()),
            customers=len(counts),
            ended_ms=self._counts.ms_since_end(window),
            ms=self._clock.now_ms() - started_ms,
            reason='' if is_delivered else str(answer.failure()),
        )
        if is_delivered:
            self._counts.delivered_window = window
        return is_delivered
