"""Anti-entropy: resends updates to a peer whose digest differs.

Gateways send each update once, immediately. Heartbeats carry a digest that is
equal for gateways with equal state; if the digest of a peer differs for longer
than updates take, some of the gateways that see it resend the updates.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Time without a change after which a differing digest means missed updates:
# updates and heartbeats sent a moment ago may have crossed.
_SETTLE_TIME_MS: Final = 500
# Interval between two resends to one peer: entries for which the peer has no
# capacity must not be sent with each heartbeat.
_RESEND_INTERVAL_MS: Final = 3000
# Average number of gateways that resend, of all that see the differing digest:
# one gateway may be cut off from the peer.
_RESENDING_GATEWAYS: Final = 4


@final
class AntiEntropy:
    """Decides when updates are resent to a peer."""

    __slots__ = ('_changed_ms', '_clock', '_state')

    def __init__(self, *, clock: Clock, state: int) -> None:
        """Initialize with the current state.

        :param clock: source of the current time.
        :param state: a number that changes with the known entries.
        """
        self._clock = clock
        self._state = state
        self._changed_ms = clock.now_ms()

    def note_state(self, state: int) -> None:
        """Record the current state.

        :param state: a number that changes with the known entries.
        """
        if state != self._state:
            self._state = state
            self._changed_ms = self._clock.now_ms()

    def is_due(
        self,
        *,
        peer_digest: int,
        own_digest: int,
        resent_ms: float,
        sessions: int,
    ) -> bool:
        """Check if this gateway resends updates to a peer now.

        :param peer_digest: digest of the peer, negative if it sent none.
        :param own_digest: digest of this gateway.
        :param resent_ms: time of the last resend to the peer in milliseconds.
        :param sessions: number of gateways that receive the digest.
        :returns: whether updates are due for the peer.
        """
        now_ms = self._clock.now_ms()
        if peer_digest < 0 or now_ms - self._changed_ms < _SETTLE_TIME_MS:
            return False
        if (
            now_ms - resent_ms < _RESEND_INTERVAL_MS
            or peer_digest == own_digest
        ):
            return False
        return random.random() * sessions <= _RESENDING_GATEWAYS  # noqa: S311
