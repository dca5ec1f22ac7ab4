"""Exchange of limits and leavings of endpoints between gateways.

Each gateway immediately sends the signals that it receives from an endpoint to
all others, in every availability zone and without a relay: a limit holds for
all gateways together, also for gateways that have not called the endpoint. A
new session begins with all known entries; a digest mismatch causes a resend.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from wingfall.gateway.model.endpoint_leaving import EndpointLeaving
from wingfall.gateway.model.endpoint_limit import EndpointLimit
from wingfall.gateway.peers.anti_entropy import AntiEntropy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
    from wingfall.gateway.peers.peer_session import PeerSession


@final
class SignalUpdates:
    """Limits and leavings as encoded in a heartbeat."""

    __slots__ = ('leavings', 'limits')

    def __init__(
        self,
        *,
        limits: list[list[Any]] | None = None,
        leavings: list[list[Any]] | None = None,
    ) -> None:
        """Create updates.

        :param limits: for each limit the endpoint, its rate or None once the
            endpoint names none, how many milliseconds ago that rate was first
            received, the request of the newest answer was sent and that answer
            was received, and the gateway that received it.
        :param leavings: for each leaving the endpoint, how many milliseconds
            ago it was first received, and the gateway that received it.
        """
        self.limits = limits or []
        self.leavings = leavings or []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return not (self.limits or self.leavings)


@final
class SignalExchange:
    """Sends signals of endpoints to peers and merges theirs."""

    __slots__ = ('_clock', '_anti_entropy', '_signals')

    def __init__(self, *, clock: Clock, signals: EndpointSignals) -> None:
        """Initialize the exchange.

        :param clock: source of the current time.
        :param signals: the signals of endpoints known to this gateway.
        """
        self._clock = clock
        self._signals = signals
        self._anti_entropy = AntiEntropy(
            clock=clock, state=signals.recent_digest
        )

    @property
    def recent_digest(self) -> int:
        """The digest of the signals that changed in the last minute."""
        return self._signals.recent_digest

    def wait(self) -> None:
        """Wait for entries that this gateway has not sent."""
        self._signals.updates_available.wait()

    def take_unreported(self) -> SignalUpdates:
        """Return and clear the entries that were not sent yet.

        :returns: the updates.
        """
        return self._encode(self._signals.take_unreported())

    def encode_all(self) -> SignalUpdates:
        """Return all known entries, for a new session.

        :returns: the updates.
        """
        known = self._signals.limits.keys() | self._signals.leaving.keys()
        return self._encode(known)

    def answer_digest(
        self,
        session: PeerSession,
        peer_digest: int,
        sessions: int,
    ) -> SignalUpdates:
        """Return the entries that a peer may have missed.

        :param session: the session with the peer.
        :param peer_digest: digest of the peer, negative if it sent none.
        :param sessions: number of gateways that receive the digest.
        :returns: the updates, empty if none were missed or others resend.
        """
        own_digest = self._signals.recent_digest
        self._anti_entropy.note_state(own_digest)
        if not self._anti_entropy.is_due(
            peer_digest=peer_digest,
            own_digest=own_digest,
            resent_ms=session.signals_resent_ms,
            sessions=sessions,
        ):
            return SignalUpdates()
        session.signals_resent_ms = self._clock.now_ms()
        return self._encode(self._signals.recent())

    def merge(self, updates: SignalUpdates) -> None:
        """Merge the updates of a peer.

        :param updates: the updates.
        """
        now_ms = self._clock.now_ms()
        for endpoint, *encoded in updates.limits:
            self._signals.merge_limit(endpoint, _decode_limit(encoded, now_ms))
        for endpoint, age_ms, reported_by in updates.leavings:
            leaving = EndpointLeaving(
                received_ms=now_ms - age_ms, reported_by=reported_by
            )
            self._signals.merge_leaving(endpoint, leaving)
        self._anti_entropy.note_state(self._signals.recent_digest)

    def _encode(self, endpoints: Iterable[str]) -> SignalUpdates:
        now_ms = self._clock.now_ms()
        limits, leaving = self._signals.limits, self._signals.leaving
        names = sorted(endpoints)
        return SignalUpdates(
            limits=[
                _encode_limit(name, limits[name], now_ms)
                for name in names
                if name in limits
            ],
            leavings=[
                [
                    name,
                    now_ms - leaving[name].received_ms,
                    leaving[name].reported_by,
                ]
                for name in names
                if name in leaving
            ],
        )


def _decode_limit(encoded: list[Any], now_ms: int) -> EndpointLimit:
    rate, *ages_ms, reported_by = encoded
    changed_ms, sent_ms, received_ms = (now_ms - age_ms for age_ms in ages_ms)
    return EndpointLimit(
        rate=rate,
        sent_ms=sent_ms,
        received_ms=received_ms,
        changed_ms=changed_ms,
        reported_by=reported_by,
    )


def _encode_limit(name: str, limit: EndpointLimit, now_ms: int) -> list[Any]:
    return [
        name,
        limit.rate,
        now_ms - limit.changed_ms,
        now_ms - limit.sent_ms,
        now_ms - limit.received_ms,
        limit.reported_by,
    ]
