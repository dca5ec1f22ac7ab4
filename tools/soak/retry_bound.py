"""Counts retries by the arrivals at endpoints, against the bound of a pool.

The bound holds over all gateways: in any window a pool may get as many arrivals
beyond the first of each request as a ratio of its requests, and some more.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Windows in which the requests are counted, as starts relative to that of the
# window of the arrivals. The one with the most requests applies.
_REQUEST_WINDOWS: Final = (0, -0.5, -1)
# A window includes its start and not its end.
_INSTANT_S: Final = 1e-6


@final
class RetryBound:
    """Bound of the arrivals beyond the first of each request."""

    __slots__ = ('ratio', 'slack', 'window_s')

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Initialize the bound.

        :param ratio: retries per request.
        :param slack: retries per window beyond that.
        :param window_s: length of the window in seconds.
        """
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


@final
class RetryWindow:
    """The retries of one window and what its requests allow."""

    __slots__ = ('allowed', 'requests', 'retries', 'start_s')

    def __init__(
        self,
        *,
        start_s: float,
        retries: int,
        requests: int,
        allowed: float,
    ) -> None:
        """Initialize the counts.

        :param start_s: start of the window in seconds.
        :param retries: arrivals beyond the first of each request.
        :param requests: requests that count for it.
        :param allowed: most retries that the bound allows.
        """
        self.start_s = start_s
        self.retries = retries
        self.requests = requests
        self.allowed = allowed

    @property
    def excess(self) -> float:
        """Retries beyond the bound, below zero if it holds."""
        return self.retries - self.allowed

    def __str__(self) -> str:
        """Format the counts."""
        return (
            f'{self.retries} arrivals beyond the first for'
            f' {self.requests} requests, allowed {self.allowed:.1f}'
        )


def find_repeats(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """Find the arrivals beyond the first of each request.

    :param arrivals: times in seconds and ids of requests, at all endpoints.
    :returns: the times, sorted.
    """
    seen: set[str] = set()
    repeats = []
    for at_s, call_id in sorted(arrivals):
        if call_id in seen:
            repeats.append(at_s)
        seen.add(call_id)
    return repeats


def find_worst_window(
    requests: Iterable[float],
    repeats: list[float],
    bound: RetryBound,
) -> RetryWindow | None:
    """Find the window with the greatest excess.

    :param requests: times in seconds at which requests were sent.
    :param repeats: times of arrivals beyond the first, sorted.
    :param bound: the bound.
    :returns: the window, None if there was no retry.
    """
    sent = sorted(requests)
    return max(
        (
            _count_window(sent, repeats, bound, start_s)
            for start_s in _list_starts(repeats, bound)
        ),
        key=lambda window: window.excess,
        default=None,
    )


def _list_starts(repeats: list[float], bound: RetryBound) -> Iterator[float]:
    for at_s in repeats:
        yield at_s
        yield at_s - bound.window_s + _INSTANT_S


def _count_window(
    requests: list[float],
    repeats: list[float],
    bound: RetryBound,
    start_s: float,
) -> RetryWindow:
    counted = max(
        _count_from(requests, start_s + shift * bound.window_s, bound.window_s)
        for shift in _REQUEST_WINDOWS
    )
    return RetryWindow(
        start_s=start_s,
        retries=_count_from(repeats, start_s, bound.window_s),
        requests=counted,
        allowed=bound.ratio * counted + bound.slack,
    )


def _count_from(times: list[float], start_s: float, window_s: float) -> int:
    end = bisect.bisect_left(times, start_s + window_s)
    return end - bisect.bisect_left(times, start_s)
