"""Counts of the started requests of each customer, by time window.

Holds the counts of this gateway and those that other gateways reported. Each
count is the total since the window began and only rises, so that duplicate and
late reports are harmless and those of a stopped gateway still count.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.knowledge.true_time import TrueTime

# Number of past windows to retain. A report that is more than two windows late
# has no effect; the other windows allow for outages of the report's receiver.
_MAX_WINDOWS: Final = 6

# Window number and customer name.
_Key = tuple[int, str]


@final
class UsageCounts:
    """The known request counts of all gateways."""

    __slots__ = (
        '_changed_at',
        '_first_window',
        '_others',
        '_own',
        '_true_time',
        '_window_ms',
        'delivered_window',
        'revision',
    )

    def __init__(self, *, time: TrueTime, window_ms: int) -> None:
        """Create empty counts.

        :param time: the time of day that defines the windows.
        :param window_ms: length of a window in milliseconds.
        """
        self._true_time = time
        self._window_ms = window_ms
        self._own: dict[_Key, int] = collections.defaultdict(int)
        # The revision at which each own count last rose.
        self._changed_at: dict[_Key, int] = {}
        # Counts of other gateways by process.
        self._others: dict[str, dict[_Key, int]] = {}
        # Incremented with each request.
        self.revision = 0
        # The last window up to which all are reported or expired; 0 if unknown.
        self.delivered_window = 0
        self._first_window = self.window

    @property
    def window(self) -> int:
        """Number of the current window."""
        return self._true_time.now_ms() // self._window_ms

    @property
    def next_window(self) -> int:
        """The first window that may still have to be reported.

        A starting gateway knows earlier windows only if peers report them.
        """
        return (
            self.delivered_window + 1
            if self.delivered_window
            else self._first_window
        )

    def ms_since_end(self, window: int) -> int:
        """Return the time since a window ended.

        :param window: number of the window.
        :returns: milliseconds, negative if the window has not ended.
        """
        return self._true_time.now_ms() - (window + 1) * self._window_ms

    def note_delivered(self, window: int) -> None:
        """Record the last window that another gateway has delivered.

        :param window: the last window that needs no report; ignored if it has
            not ended, since a wrong time of day must not suppress reports.
        """
        if window < self.window:
            self.delivered_window = max(self.delivered_window, window)

    def note(self, customer: str, clock_ms: int) -> None:
        """Record the start of a request.

        :param customer: name of the customer.
        :param clock_ms: start of the request by the steady clock.
        """
        window = self._true_time.time_of_day_at(clock_ms) // self._window_ms
        self.revision += 1
        self._own[window, customer] += 1
        self._changed_at[window, customer] = self.revision

    def changes_since(self, revision: int) -> list[tuple[int, str, int]]:
        """Return the own counts that rose after a revision.

        :param revision: the last revision to leave out.
        :returns: window, customer and count of each.
        """
        return [
            (*key, self._own[key])
            for key, changed in self._changed_at.items()
            if changed > revision
        ]

    def merge_reported(
        self, source: str, entries: Iterable[tuple[int, str, int]]
    ) -> None:
        """Merge the counts that another gateway reported.

        :param source: the process that counted.
        :param entries: window, customer and count of each.
        """
        known = self._others.setdefault(source, {})
        for window, customer, count in entries:
            key = (window, customer)
            known[key] = max(count, known.get(key, 0))

    def window_totals(self, window: int) -> dict[str, int]:
        """Return the totals of all gateways for a window.

        :param window: number of the window.
        :returns: number of requests by customer.
        """
        counts: collections.Counter[str] = collections.Counter()
        for known in (self._own, *self._others.values()):
            for (counted_window, customer), count in known.items():
                if counted_window == window:
                    counts[customer] += count
        return dict(counts)

    def forget_old(self) -> None:
        """Remove windows that are too old to be reported."""
        oldest = self.window - _MAX_WINDOWS
        for known in (self._own, self._changed_at, *self._others.values()):
            expired = {each for each in known if each[0] < oldest}
            for key in expired:
                known.pop(key)
        self._others = {
            source: known for source, known in self._others.items() if known
        }
