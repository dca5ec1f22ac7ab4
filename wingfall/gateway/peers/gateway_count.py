"""Number of gateways that may send requests, connected or not."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Milliseconds for which gateways are counted that are no longer known. They may
# be cut off from this one and still reach endpoints; regions lose each other
# for minutes.
_KEPT_MS: Final = 600_000


@final
class GatewayCount:
    """Highest number of gateways known lately, including this one."""

    __slots__ = ('_clock', '_highest', '_highest_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Create the count of a gateway that has met no other.

        :param clock: source of the current time.
        """
        self._clock = clock
        self._highest: int | None = None
        self._highest_ms = clock.now_ms()

    def note(self, *, connected: int, known: int) -> int | None:
        """Record the other gateways of this moment.

        :param connected: number of connected peers.
        :param known: number of known addresses of other gateways.
        :returns: the number of gateways; None if there are others and none was
            ever connected, since only peers know how many there are.
        """
        if self._highest is None and known and not connected:
            return None
        now_ms = self._clock.now_ms()
        count = max(connected, known) + 1
        is_kept = now_ms - self._highest_ms <= _KEPT_MS
        if self._highest is None or count >= self._highest or not is_kept:
            self._highest = count
            self._highest_ms = now_ms
        return self._highest
