"""Rate-limited log of endpoint signals that cannot be parsed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Minimum milliseconds between two log lines on one endpoint, since each of its
# answers may contain the fault.
_LOG_INTERVAL_MS: Final = 10_000
# Maximum number of endpoints whose last log time is stored.
_MAX_ENDPOINTS: Final = 1024


@final
class SignalFaultLog:
    """The time of the last logged fault of each endpoint."""

    __slots__ = ('_clock', '_logged_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty log state.

        :param clock: clock for the times of log lines.
        """
        self._clock = clock
        self._logged_ms: dict[str, int] = {}

    def note(self, endpoint: str, faults: tuple[str, ...]) -> None:
        """Log faults unless the endpoint was logged recently.

        :param endpoint: name of the endpoint.
        :param faults: the invalid headers, truncated to fit a log line.
        """
        now_ms = self._clock.now_ms()
        logged_ms = self._logged_ms.get(endpoint)
        if logged_ms is not None and now_ms - logged_ms < _LOG_INTERVAL_MS:
            return
        if len(self._logged_ms) >= _MAX_ENDPOINTS:
            self._logged_ms.pop(next(iter(self._logged_ms)))
        self._logged_ms.pop(endpoint, None)
        self._logged_ms[endpoint] = now_ms
        log_event(
            'signals',
            'What an endpoint says of itself can not be read.',
            endpoint=endpoint,
            faults=faults,
        )
