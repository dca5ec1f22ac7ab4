"""Time schedule for the planned stop of a gateway.

The gateway fails its readiness check at once and serves until the load balancer
has detected this; then it accepts no new connections, closes idle connections,
and ends running calls.
"""

from __future__ import annotations

from typing import Final, final

from wingfall.clock import MS_PER_S

# Service time after the readiness check fails. The load balancer polls each
# second and removes a gateway after two failures, which have occurred by then.
_DETECTION_MS: Final = 2600
# Time for the answers to calls that have not ended by then.
ANSWER_MS: Final = 200
# Time reserved for the exit of the process, so that it ends by itself before it
# is killed.
_EXIT_MS: Final = 700
# Weight of a new answer in the average duration of a route's answers.
_ANSWER_WEIGHT: Final = 0.2
# Routes whose durations are kept; more than a configuration has.
_MAX_ROUTES: Final = 20_000


@final
class StopAdmission:
    """Decides which calls a gateway still takes in a planned stop."""

    __slots__ = ('_durations_ms', '_stop_ms')

    def __init__(self) -> None:
        """Initialize without a stop; all calls are taken."""
        # Average duration of the last answers of each route.
        self._durations_ms: dict[str, float] = {}
        # When the calls in progress are ended.
        self._stop_ms: int | None = None

    def begin(self, stop_ms: int) -> None:
        """Begin a planned stop.

        :param stop_ms: time of the clock in milliseconds at which the calls in
            progress are ended.
        """
        self._stop_ms = stop_ms

    def note_answer(self, route: str, duration_ms: int) -> None:
        """Record a whole answer.

        :param route: name of the route.
        :param duration_ms: milliseconds from the request to its end.
        """
        if len(self._durations_ms) >= _MAX_ROUTES:
            self._durations_ms.clear()
        average_ms = self._durations_ms.get(route, duration_ms)
        self._durations_ms[route] = (
            average_ms + (duration_ms - average_ms) * _ANSWER_WEIGHT
        )

    def admits(self, route: str, target_ms: int, now_ms: int) -> bool:
        """Check if a call that has just arrived may end before the stop.

        :param route: name of its route.
        :param target_ms: milliseconds in which the route should answer.
        :param now_ms: current time in milliseconds.
        :returns: whether it is taken; if not, another gateway serves it.
        """
        if self._stop_ms is None:
            return True
        needed_ms = max(target_ms, self._durations_ms.get(route, 0))
        return now_ms + needed_ms <= self._stop_ms


@final
class StopSchedule:
    """Time limits of a planned stop, in milliseconds from its beginning."""

    __slots__ = ('end_ms', 'serve_ms')

    def __init__(self, *, stop_s: float) -> None:
        """Compute the schedule.

        :param stop_s: seconds after which the process must have ended.
        """
        self.end_ms = int(stop_s * MS_PER_S) - _EXIT_MS
        self.serve_ms = min(_DETECTION_MS, self.end_ms)
