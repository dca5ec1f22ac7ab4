"""How a gateway uses the time of a planned stop.

It fails its readiness check at once and serves on until the load balancer has
noticed; then it takes no new connections, closes idle ones, and ends what runs.
"""

from __future__ import annotations

from typing import Final, final

from wingfall.clock import MS_PER_S

# Milliseconds of further service. The load balancer asks each second and gives
# a gateway up after two failures, which it has noticed by then.
_NOTICE_MS: Final = 2600
# Milliseconds kept for ending the process, so that the process has ended by
# itself before it is killed.
_EXIT_MS: Final = 700


@final
class StopSchedule:
    """The two bounds of a planned stop, in milliseconds from its beginning."""

    __slots__ = ('end_ms', 'serve_ms')

    def __init__(self, *, stop_s: float) -> None:
        """Divide the time of a stop.

        :param stop_s: seconds after which the process must have ended.
        """
        self.end_ms = int(stop_s * MS_PER_S) - _EXIT_MS
        self.serve_ms = min(_NOTICE_MS, self.end_ms)
