"""The engines for streams with one token gap bound."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.rules.placement.group_size import GroupSize
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.gateway.rules.placement.engine_groups import EngineGrouping
    from wingfall.metrics import Metrics

# Minimum time between two log lines about one group.
_LOG_INTERVAL_MS: Final = 1000
# Maximum number of engine names in a log line.
_MAX_LOGGED_ENGINES: Final = 8


@final
class GapGroup:
    """The current engines for streams with one token gap bound."""

    __slots__ = (
        '_logged_counts',
        '_logged_ms',
        '_metrics',
        '_closed_needed',
        '_pool',
        '_size',
        'closed',
        'engines',
        'fit',
        'gap_ms',
        'free_engines',
    )

    def __init__(
        self,
        *,
        pool: str,
        gap_ms: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Create an empty group.

        :param pool: name of the pool.
        :param gap_ms: token gap bound of the streams in milliseconds.
        :param metrics: metrics that count the changes, if given.
        """
        self._pool = pool
        self._metrics = metrics
        self._size = GroupSize()
        self._closed_needed = 0
        self.gap_ms = gap_ms
        # All engines of the group; those that keep the bound during prefills;
        # those that are closed to long prefills.
        self.engines: frozenset[str] = frozenset()
        self.fit: frozenset[str] = frozenset()
        self.closed: frozenset[str] = frozenset()
        # Engines of the group with free capacity for a stream.
        self.free_engines: frozenset[str] = frozenset()
        # Counts of fit and closed engines in the last log line, and its time.
        self._logged_counts = (0, 0)
        self._logged_ms = -_LOG_INTERVAL_MS

    def step_towards(
        self, grouping: EngineGrouping, now_ms: int, *, is_frozen: bool
    ) -> None:
        """Move the group by one closed engine towards a grouping.

        :param grouping: the grouping that should be reached.
        :param now_ms: the current time in milliseconds.
        :param is_frozen: whether the number of closed engines must not change.
        """
        fit = grouping.fit_counts.get(self.gap_ms, 0)
        self._closed_needed = grouping.closed.get(self.gap_ms, 0)
        if not is_frozen and self._size.step_towards(
            self._closed_needed, now_ms
        ):
            self._count_decision('moved')
        self.fit = frozenset(grouping.order[:fit])
        # After a pool has shrunk, the lower maximum applies at once.
        closed = min(self._size.engines, grouping.max_closed)
        self.closed = frozenset(grouping.order[:closed])
        self.engines = self.fit | self.closed

    def describe(self) -> dict[str, Any]:
        """Return the status of the group.

        :returns: names of all engines and of closed engines, and the number of
            closed engines that is required.
        """
        return {
            'engines': sorted(self.engines),
            'closed': sorted(self.closed),
            'closed_needed': self._closed_needed,
        }

    def log_change(self, streams: Mapping[int, int], now_ms: int) -> None:
        """Log the numbers of engines if they have changed.

        :param streams: streams of short prompts by token gap bound.
        :param now_ms: the current time in milliseconds.
        """
        counts = (len(self.fit), len(self.closed))
        if (
            counts == self._logged_counts
            or now_ms - self._logged_ms < _LOG_INTERVAL_MS
        ):
            return
        log_event(
            'groups',
            'The engines for short gaps have changed.',
            pool=self._pool,
            gap_ms=self.gap_ms,
            fit=counts[0],
            closed=counts[1],
            before=list(self._logged_counts),
            closed_needed=self._closed_needed,
            streams=sum(
                count
                for gap_ms, count in streams.items()
                if gap_ms <= self.gap_ms
            ),
            engines=sorted(self.engines)[:_MAX_LOGGED_ENGINES],
            why=_explain_change(self._logged_counts, counts),
        )
        self._logged_counts = counts
        self._logged_ms = now_ms

    def log_end(self) -> None:
        """Log that the group has ended."""
        if self._logged_counts != (0, 0):
            log_event(
                'groups',
                'No engines are kept for short gaps any more.',
                pool=self._pool,
                gap_ms=self.gap_ms,
                before=list(self._logged_counts),
            )
        self._count_decision('ended')

    def _count_decision(self, reason: str) -> None:
        if self._metrics is not None:
            self._metrics.decisions.inc({'part': 'groups', 'reason': reason})


def _explain_change(before: tuple[int, int], counts: tuple[int, int]) -> str:
    if before[0] != counts[0]:
        return 'gaps beside reads'
    return 'more streams' if counts[1] > before[1] else 'fewer streams'
