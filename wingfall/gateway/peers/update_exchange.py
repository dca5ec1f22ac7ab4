"""Updates sent to all gateways at once: crashes and signals of endpoints.

Combines the exchanges, so that a heartbeat carries the updates of all of them.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.crash_exchange import CrashExchange, CrashUpdates
from wingfall.gateway.peers.signal_exchange import SignalExchange, SignalUpdates

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.peers.peer_session import PeerSession
    from wingfall.wire.gateway_messages import GatewayHeartbeat


@final
class UpdateKind(enum.StrEnum):
    """Kind of update that is sent to all peers at once."""

    crashes = 'crashes'
    signals = 'signals'


@final
class PeerUpdates:
    """Updates carried by one heartbeat."""

    __slots__ = ('crashes', 'signals')

    def __init__(
        self,
        *,
        crashes: CrashUpdates | None = None,
        signals: SignalUpdates | None = None,
    ) -> None:
        """Create updates.

        :param crashes: updates on endpoints that crashed.
        :param signals: updates on limits and leavings of endpoints.
        """
        self.crashes = crashes or CrashUpdates()
        self.signals = signals or SignalUpdates()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return self.crashes.is_empty and self.signals.is_empty


@final
class UpdateExchange:
    """Sends updates to peers and merges theirs."""

    __slots__ = ('_crashes', '_signals')

    def __init__(self, *, clock: Clock, knowledge: EndpointKnowledge) -> None:
        """Create the exchanges of a gateway.

        :param clock: source of the current time.
        :param knowledge: state of the endpoints as known to this gateway.
        """
        self._crashes = CrashExchange(clock=clock, ledger=knowledge.crashes)
        self._signals = SignalExchange(clock=clock, signals=knowledge.signals)

    @property
    def crash_digest(self) -> int:
        """The digest of the crashes of the last minute."""
        return self._crashes.recent_digest

    @property
    def part_digest(self) -> int:
        """The digest of the prompt parts at these crashes."""
        return self._crashes.recent_part_digest

    @property
    def signal_digest(self) -> int:
        """The digest of the recent signals of endpoints."""
        return self._signals.recent_digest

    def wait(self, kind: UpdateKind) -> PeerUpdates:
        """Wait for updates that this gateway has not sent.

        :param kind: the kind of update to wait for.
        :returns: the updates.
        """
        if kind is UpdateKind.crashes:
            self._crashes.wait()
            return PeerUpdates(crashes=self._crashes.take_unreported())
        self._signals.wait()
        return PeerUpdates(signals=self._signals.take_unreported())

    def encode_all(self) -> PeerUpdates:
        """Return all known entries, for a new session.

        :returns: the updates.
        """
        return PeerUpdates(
            crashes=self._crashes.encode_all(),
            signals=self._signals.encode_all(),
        )

    def forget(self, session: PeerSession) -> None:
        """Record the end of a session.

        :param session: the session that ended.
        """
        self._crashes.forget(session)

    def merge(
        self,
        session: PeerSession,
        heartbeat: GatewayHeartbeat,
        sessions: int,
    ) -> PeerUpdates:
        """Merge the updates of a heartbeat.

        :param session: the session with the peer.
        :param heartbeat: the heartbeat of the peer.
        :param sessions: number of gateways that receive the heartbeat.
        :returns: updates that the peer missed, empty if others send them.
        """
        self._crashes.merge(
            CrashUpdates(crashes=heartbeat.crashes, served=heartbeat.served)
        )
        self._signals.merge(
            SignalUpdates(limits=heartbeat.limits, leavings=heartbeat.leavings)
        )
        return PeerUpdates(
            crashes=self._crashes.answer_digest(
                session,
                heartbeat.crash_digest,
                sessions,
                heartbeat.part_digest,
            ),
            signals=self._signals.answer_digest(
                session, heartbeat.signal_digest, sessions
            ),
        )
