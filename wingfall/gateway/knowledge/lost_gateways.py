"""Gateways that ended without a planned stop, and the affected crashes.

A gateway that ends at the same time as an endpoint can't report the requests
that it had there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.model.endpoint_crash import EndpointCrash

# Milliseconds between a crash and the loss of a gateway within which its
# requests there may be unreported. Breaks are collected for 20 ms and reported
# at once; the rest is for event loops that are some tenths of a second late.
UNREPORTED_MS: Final = 300
# Milliseconds for which a loss is stored: peers report a crash within a few
# heartbeats.
_RETENTION_MS: Final = 60_000


@final
class LostGateways:
    """The gateways that were lost recently."""

    __slots__ = ('_clock', '_lost_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Initialize without a lost gateway.

        :param clock: source of the current time.
        """
        self._clock = clock
        # Time of each loss, by the name of the gateway.
        self._lost_ms: dict[str, int] = {}

    def note(self, name: str) -> None:
        """Record that a gateway has ended without a planned stop.

        :param name: name of the gateway.
        """
        now_ms = self._clock.now_ms()
        self._lost_ms = {
            known: lost_ms
            for known, lost_ms in self._lost_ms.items()
            if now_ms - lost_ms <= _RETENTION_MS
        }
        self._lost_ms[name] = now_ms

    def is_affected(self, crash: EndpointCrash) -> bool:
        """Check if any lost gateway may have unreported requests at a crash.

        :param crash: the crash.
        :returns: whether there may be such requests.
        """
        return any(self.is_affected_by(name, crash) for name in self._lost_ms)

    def is_affected_by(self, name: str, crash: EndpointCrash) -> bool:
        """Check if a lost gateway may have unreported requests at a crash.

        A gateway that reported the crash itself has reported all its requests.

        :param name: name of the gateway.
        :param crash: the crash.
        :returns: whether there may be such requests.
        """
        since_ms = crash.crashed_ms - self._lost_ms[name]
        return abs(since_ms) <= UNREPORTED_MS and name != crash.reported_by
