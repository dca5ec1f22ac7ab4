"""The duty to report usage: one report a window, whatever ends meanwhile.

What will be reported is written into the lease first and sent then, so that a
holder that follows sends the very same and nothing else. Windows that could not
be reported are caught up in order, as long as they count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from returns.result import Success

from wingfall.gateway.duties.duty import DutyTerms, duties
from wingfall.gateway.duties.standing import HEARD_MS
from wingfall.gateway.model.duty import UsageReport
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.duties.lease import Lease
    from wingfall.gateway.duties.standing import Standing
    from wingfall.gateway.knowledge.usage_counts import UsageCounts
    from wingfall.gateway.model.duty import DutyCalls
    from wingfall.metrics import Metrics

# Milliseconds after the end of a window at which its counts are summed up: a
# second until the last ones are told, and another for busy loops and links.
_SETTLE_MS: Final = 2000
# Milliseconds for one sending, within the time for which a holder may act.
_LEAST_ACT_MS: Final = 100


@final
@duties.register('usage')
class UsageDuty:
    """Reports what has begun to run, while this gateway holds the lease."""

    __slots__ = (
        '_calls',
        '_clock',
        '_counts',
        '_lease',
        '_metrics',
        '_standing',
        '_terms',
    )

    def __init__(
        self,
        *,
        terms: DutyTerms,
        lease: Lease,
        standing: Standing,
        counts: UsageCounts,
        calls: DutyCalls,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Begin with nothing reported.

        :param terms: when reports are due.
        :param lease: who may report.
        :param standing: when this gateway steps in for the holder.
        :param counts: what is reported.
        :param calls: where reports go.
        :param clock: the steady clock.
        :param metrics: where reports are counted.
        """
        self._terms = terms
        self._lease = lease
        self._standing = standing
        self._counts = counts
        self._calls = calls
        self._clock = clock
        self._metrics = metrics

    def step(self) -> None:
        """Do what is due now."""
        self._counts.forget_old()
        self._drop_late()
        due = self._find_due()
        if not due:
            return
        if self._lease.held or self._stand(due[0]):
            self._report(due)

    def _drop_late(self) -> None:
        late = self._counts.next_window
        while self._counts.ms_since_end(late) > self._terms.late_ms:
            log_event(
                'usage',
                'A window was not reported in time.',
                window=late,
                held=self._lease.held,
            )
            self._metrics.decisions.inc({'part': 'usage', 'reason': 'late'})
            self._counts.delivered_window = late
            late += 1

    def _find_due(self) -> list[int]:
        return [
            window
            for window in range(self._counts.next_window, self._counts.window)
            if self._counts.ms_since_end(window) >= _SETTLE_MS
        ]

    def _stand(self, window: int) -> bool:
        waited_ms = self._counts.ms_since_end(window) - _SETTLE_MS
        if not self._standing.steps_in(waited_ms):
            return False
        # What its holder has done meanwhile is news to this gateway.
        if not self._lease.refresh():
            return False
        if self._lease.held:
            return True
        record, unchanged_ms = self._lease.record, self._lease.unchanged_ms
        decided = window <= record.decided
        if decided and window not in record.reports:
            # Its holder delivered it before it decided later ones.
            self._counts.delivered_window = window
            return False
        if not self._standing.replaces(record, unchanged_ms, decided=decided):
            return False
        return self._lease.take(decided=self._counts.window - 1)

    def _report(self, due: list[int]) -> None:
        if not self._lease.ready:
            return
        if self._decide(due):
            for window in due:
                if not self._deliver(window):
                    return

    def _decide(self, due: list[int]) -> bool:
        record = self._lease.record
        undecided = [window for window in due if window > record.decided]
        if not undecided:
            # Sending again what stands: the lease must be held still.
            return self._lease.refresh()
        if self._lease.held_ms < HEARD_MS:
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
            # Its holder has delivered it before it decided later ones.
            self._counts.delivered_window = window
            return True
        act_ms = self._lease.act_ms
        if act_ms < _LEAST_ACT_MS:
            return False
        report = UsageReport(window=window, counts=counts)
        started_ms = self._clock.now_ms()
        self._lease.note_acted()
        sent = self._calls.report_usage(report, self._lease.fence, act_ms)
        self._lease.note_acted()
        done = isinstance(sent, Success)
        self._metrics.decisions.inc(
            {'part': 'usage', 'reason': 'reported' if done else 'failed'},
        )
        log_event(
            'usage',
            'A window was reported.' if done else 'A report failed.',
            window=window,
            token=self._lease.fence.token,
            requests=sum(counts.values()),
            customers=len(counts),
            ended_ms=self._counts.ms_since_end(window),
            ms=self._clock.now_ms() - started_ms,
            reason='' if done else str(sent.failure()),
        )
        if done:
            self._counts.delivered_window = window
        return done
