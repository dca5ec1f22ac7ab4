"""How many requests of each customer began to run, by window.

Owns the counts of this gateway, and what others have told of theirs. Each count
is the sum since the window began and only rises, so that one that is told twice
or late does no harm, and what a gateway told before it ended still counts.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.knowledge.true_time import TrueTime

# Windows that are kept. A report that is later than two of them counts for
# nothing; the others allow for outages of what reports go to.
_KEPT: Final = 6

# A window and a customer.
_Key = tuple[int, str]


@final
class UsageCounts:
    """The counts of all gateways, as far as they are known here."""

    __slots__ = (
        '_changed',
        '_first',
        '_others',
        '_own',
        '_time',
        '_window_ms',
        'delivered',
        'revision',
    )

    def __init__(self, *, time: TrueTime, window_ms: int) -> None:
        """Start without a request.

        :param time: the time that windows are told by.
        :param window_ms: their length.
        """
        self._time = time
        self._window_ms = window_ms
        self._own: dict[_Key, int] = collections.defaultdict(int)
        # The revision at which each own count last rose.
        self._changed: dict[_Key, int] = {}
        # By the process that told them.
        self._others: dict[str, dict[_Key, int]] = {}
        # Rises with each request.
        self.revision = 0
        # The last window up to which each is reported or counts no more; 0 as
        # long as that is not known.
        self.delivered = 0
        self._first = self.window

    @property
    def window(self) -> int:
        """The window that is now."""
        return self._time.now_ms() // self._window_ms

    @property
    def next_window(self) -> int:
        """The first window that may have to be reported still.

        A gateway that starts knows nothing of those before, unless peers tell.
        """
        return self.delivered + 1 if self.delivered else self._first

    def end_ms(self, window: int) -> int:
        """Tell how long ago a window has ended.

        :param window: the window.
        :returns: milliseconds, negative if it has not ended.
        """
        return self._time.now_ms() - (window + 1) * self._window_ms

    def note_delivered(self, window: int) -> None:
        """Note how far another gateway tells that reports are.

        :param window: the last window that needs nothing more; one by a wrong
            time of day must not keep windows from being reported.
        """
        if window < self.window:
            self.delivered = max(self.delivered, window)

    def note(self, customer: str, clock_ms: int) -> None:
        """Count a request that has begun to run.

        :param customer: its customer.
        :param clock_ms: when it began, a reading of the steady clock.
        """
        window = self._time.at(clock_ms) // self._window_ms
        self.revision += 1
        self._own[window, customer] += 1
        self._changed[window, customer] = self.revision

    def changes_since(self, revision: int) -> list[tuple[int, str, int]]:
        """List the own counts that have risen.

        :param revision: since when.
        :returns: window, customer and count of each.
        """
        return [
            (*key, self._own[key])
            for key, changed in self._changed.items()
            if changed > revision
        ]

    def take(
        self, source: str, entries: Iterable[tuple[int, str, int]]
    ) -> None:
        """Take counts that another gateway tells.

        :param source: the process whose counts they are.
        :param entries: window, customer and count of each.
        """
        known = self._others.setdefault(source, {})
        for window, customer, count in entries:
            key = (window, customer)
            known[key] = max(count, known.get(key, 0))

    def sum(self, window: int) -> dict[str, int]:
        """Sum up a window.

        :param window: the window.
        :returns: requests by customer.
        """
        counts: collections.Counter[str] = collections.Counter()
        for known in (self._own, *self._others.values()):
            for (counted, customer), count in known.items():
                if counted == window:
                    counts[customer] += count
        return dict(counts)

    def forget_old(self) -> None:
        """Forget windows that nobody reports any more."""
        oldest = self.window - _KEPT
        for known in (self._own, self._changed, *self._others.values()):
            old = {each for each in known if each[0] < oldest}
            for key in old:
                known.pop(key)
        self._others = {
            source: known for source, known in self._others.items() if known
        }
