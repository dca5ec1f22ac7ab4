"""Which gateways ended without a planned stop, and which crashes that affects.

A gateway that ends at the same time as an endpoint can't tell which requests it
had there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.model.endpoint_crash import EndpointCrash

# Milliseconds between a crash and the loss of a gateway within which it may not
# have told what it had there. Breaks are collected for 20 ms and told at once;
# this leaves room for loops that are late by some tenths of a second.
_UNTOLD_MS: Final = 300
# Milliseconds for which a loss is remembered: peers tell of a crash within
# some heartbeats.
_REMEMBERED_MS: Final = 60_000


@final
class LostGateways:
    """The gateways that were lost lately."""

    __slots__ = ('_clock', '_lost_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start with none lost.

        :param clock: the time.
        """
        self._clock = clock
        # When each was lost, by its name.
        self._lost_ms: dict[str, int] = {}

    def note(self, name: str) -> None:
        """Note that a gateway has ended without a planned stop.

        :param name: its name.
        """
        now_ms = self._clock.now_ms()
        self._lost_ms = {
            known: lost_ms
            for known, lost_ms in self._lost_ms.items()
            if now_ms - lost_ms <= _REMEMBERED_MS
        }
        self._lost_ms[name] = now_ms

    def may_have_been_at(self, crash: EndpointCrash) -> bool:
        """Tell whether any lost gateway may have had untold requests there.

        :param crash: the crash.
        :returns: whether one may.
        """
        return any(self.was_beside(name, crash) for name in self._lost_ms)

    def was_beside(self, name: str, crash: EndpointCrash) -> bool:
        """Tell whether a lost gateway may have had untold requests at a crash.

        One that has told of the crash itself has told all that it had there.

        :param name: the gateway.
        :param crash: the crash.
        :returns: whether it may.
        """
        since_ms = crash.crashed_ms - self._lost_ms[name]
        return abs(since_ms) <= _UNTOLD_MS and name != crash.told_by
