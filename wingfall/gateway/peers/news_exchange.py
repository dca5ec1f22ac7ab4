"""News that all gateways hear at once: of crashes and of what endpoints say.

Joins the exchanges, so that a heartbeat carries the news of all of them.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.crash_exchange import CrashExchange, CrashNews
from wingfall.gateway.peers.signal_exchange import SignalExchange, SignalNews

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.peers.peer_session import PeerSession
    from wingfall.wire.gateway_messages import GatewayHeartbeat


@final
class NewsKind(enum.StrEnum):
    """What all peers hear as soon as it is known."""

    crashes = 'crashes'
    signals = 'signals'


@final
class PeerNews:
    """The news of one heartbeat."""

    __slots__ = ('crashes', 'signals')

    def __init__(
        self,
        *,
        crashes: CrashNews | None = None,
        signals: SignalNews | None = None,
    ) -> None:
        """Keep news.

        :param crashes: of endpoints that crashed.
        :param signals: of limits and leavings.
        """
        self.crashes = crashes or CrashNews()
        self.signals = signals or SignalNews()

    @property
    def empty(self) -> bool:
        """Whether there is nothing to tell."""
        return self.crashes.empty and self.signals.empty


@final
class NewsExchange:
    """Tells news, and takes what peers tell."""

    __slots__ = ('_crashes', '_signals')

    def __init__(self, *, clock: Clock, knowledge: EndpointKnowledge) -> None:
        """Start with nothing told.

        :param clock: the time.
        :param knowledge: what this gateway knows of endpoints.
        """
        self._crashes = CrashExchange(clock=clock, ledger=knowledge.crashes)
        self._signals = SignalExchange(clock=clock, signals=knowledge.signals)

    @property
    def crash_sum(self) -> int:
        """The number that stands for the crashes of the last minute."""
        return self._crashes.recent_sum

    @property
    def signal_sum(self) -> int:
        """The number that stands for what endpoints said lately."""
        return self._signals.recent_sum

    def wait(self, kind: NewsKind) -> PeerNews:
        """Wait for news that no peer has heard from here.

        :param kind: what is waited for.
        :returns: the news.
        """
        if kind is NewsKind.crashes:
            self._crashes.wait()
            return PeerNews(crashes=self._crashes.take_untold())
        self._signals.wait()
        return PeerNews(signals=self._signals.take_untold())

    def write_all(self) -> PeerNews:
        """Write all that is known, for a new session.

        :returns: the news.
        """
        return PeerNews(
            crashes=self._crashes.write_all(),
            signals=self._signals.write_all(),
        )

    def forget(self, session: PeerSession) -> None:
        """Note the end of a session.

        :param session: the session.
        """
        self._crashes.forget(session)

    def take(
        self,
        session: PeerSession,
        heartbeat: GatewayHeartbeat,
        sessions: int,
    ) -> PeerNews:
        """Take the news of a heartbeat.

        :param session: the session with the peer.
        :param heartbeat: what it tells.
        :param sessions: how many peers see what it told.
        :returns: what the peer has missed, empty if others tell it.
        """
        self._crashes.take(
            CrashNews(crashes=heartbeat.crashes, served=heartbeat.served)
        )
        self._signals.take(
            SignalNews(limits=heartbeat.limits, leavings=heartbeat.leavings)
        )
        return PeerNews(
            crashes=self._crashes.answer(
                session, heartbeat.crash_sum, sessions
            ),
            signals=self._signals.answer(
                session, heartbeat.signal_sum, sessions
            ),
        )
