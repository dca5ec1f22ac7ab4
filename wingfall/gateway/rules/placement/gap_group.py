"""The engines that streams with one bound of their gaps go to."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.rules.placement.group_size import GroupSize
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.gateway.rules.placement.engine_groups import Parting
    from wingfall.metrics import Metrics

# Milliseconds between two lines of the log about one group.
_LOG_MS: Final = 1000
# Names of engines that a line of the log holds.
_MOST_NAMED: Final = 8


@final
class GapGroup:
    """A group as it is now."""

    __slots__ = (
        '_logged',
        '_logged_ms',
        '_metrics',
        '_needed',
        '_pool',
        '_size',
        'closed',
        'engines',
        'fit',
        'gap_ms',
        'room',
    )

    def __init__(
        self,
        *,
        pool: str,
        gap_ms: int,
        metrics: Metrics | None = None,
    ) -> None:
        """Start without an engine.

        :param pool: name of the pool.
        :param gap_ms: the longest gap that its streams bear.
        :param metrics: counts changes, if given.
        """
        self._pool = pool
        self._metrics = metrics
        self._size = GroupSize()
        self._needed = 0
        self.gap_ms = gap_ms
        # Where its streams go; those of them that keep the gap beside reads;
        # those that are closed to long reads.
        self.engines: frozenset[str] = frozenset()
        self.fit: frozenset[str] = frozenset()
        self.closed: frozenset[str] = frozenset()
        # Those of them with room for another stream.
        self.room: frozenset[str] = frozenset()
        # How many engines and closed ones were logged last, and when.
        self._logged = (0, 0)
        self._logged_ms = -_LOG_MS

    def follow(self, parting: Parting, now_ms: int, *, held: bool) -> None:
        """Go one engine towards what a decision says.

        :param parting: the decision.
        :param now_ms: the time.
        :param held: whether the number of closed engines stays as it is.
        """
        fit = parting.fit_engines.get(self.gap_ms, 0)
        self._needed = parting.closed.get(self.gap_ms, 0)
        if not held and self._size.follow(self._needed, now_ms):
            self._count('moved')
        self.fit = frozenset(parting.order[:fit])
        # Of a pool that has shrunk fewer may be closed at once.
        closed = min(self._size.engines, parting.most_closed)
        self.closed = frozenset(parting.order[:closed])
        self.engines = self.fit | self.closed

    def show(self) -> dict[str, Any]:
        """Show the group.

        :returns: its engines, and how many more are needed or too many.
        """
        return {
            'engines': sorted(self.engines),
            'closed': sorted(self.closed),
            'closed_needed': self._needed,
        }

    def log_change(self, streams: Mapping[int, int], now_ms: int) -> None:
        """Log how many engines there are if that has changed.

        :param streams: streams of short prompts by the gap that they bear.
        :param now_ms: the time.
        """
        now = (len(self.fit), len(self.closed))
        if now == self._logged or now_ms - self._logged_ms < _LOG_MS:
            return
        log_event(
            'groups',
            'The engines for short gaps have changed.',
            pool=self._pool,
            gap_ms=self.gap_ms,
            fit=now[0],
            closed=now[1],
            before=list(self._logged),
            closed_needed=self._needed,
            streams=sum(
                count
                for gap_ms, count in streams.items()
                if gap_ms <= self.gap_ms
            ),
            engines=sorted(self.engines)[:_MOST_NAMED],
            why=_explain(self._logged, now),
        )
        self._logged = now
        self._logged_ms = now_ms

    def log_end(self) -> None:
        """Log that all engines are for all streams."""
        if self._logged != (0, 0):
            log_event(
                'groups',
                'No engines are kept for short gaps any more.',
                pool=self._pool,
                gap_ms=self.gap_ms,
                before=list(self._logged),
            )
        self._count('ended')

    def _count(self, reason: str) -> None:
        if self._metrics is not None:
            self._metrics.decisions.inc({'part': 'groups', 'reason': reason})


def _explain(before: tuple[int, int], now: tuple[int, int]) -> str:
    if before[0] != now[0]:
        return 'gaps beside reads'
    return 'more streams' if now[1] > before[1] else 'fewer streams'
