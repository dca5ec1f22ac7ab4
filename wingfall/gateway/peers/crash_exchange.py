"""What gateways tell each other of endpoints that crashed.

Each gateway tells all others at once of what it has seen, in every availability
zone and without a relay, so that a request that ends endpoints is blocked
everywhere within tenths of a second. A new session begins with all that is
known. All heartbeats carry one number for what is known of the last minute; a
peer that knows less is told again, also by gateways that only heard of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.model.fingerprint import FINGERPRINT_BYTES
from wingfall.gateway.peers.news_repair import NewsRepair

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.crash_ledger import CrashLedger
    from wingfall.gateway.model.fingerprint import Fingerprint
    from wingfall.gateway.peers.peer_session import PeerSession


@final
class CrashNews:
    """Crashes and good answers as they stand in a heartbeat."""

    __slots__ = ('crashes', 'served')

    def __init__(
        self,
        *,
        crashes: list[list[Any]] | None = None,
        served: list[list[Any]] | None = None,
    ) -> None:
        """Keep news.

        :param crashes: for each crash the endpoint, its age in milliseconds,
            the gateway that told first, requests without output, requests
            whose output had begun.
        :param served: requests that were answered well, and how long ago.
        """
        self.crashes = crashes or []
        self.served = served or []

    @property
    def empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.crashes or self.served)


@final
class CrashExchange:
    """Tells of crashes, and takes what peers tell."""

    __slots__ = ('_clock', '_ledger', '_repair')

    def __init__(self, *, clock: Clock, ledger: CrashLedger) -> None:
        """Start with nothing told.

        :param clock: the time.
        :param ledger: the crashes that are known here.
        """
        self._clock = clock
        self._ledger = ledger
        self._repair = NewsRepair(clock=clock, state=ledger.revision)

    @property
    def recent_sum(self) -> int:
        """The number that stands for the crashes of the last minute."""
        return self._ledger.recent_sum

    def wait(self) -> None:
        """Wait until there is something that no peer has heard from here."""
        self._ledger.news.wait()

    def take_untold(self) -> CrashNews:
        """Take what no peer has heard from here.

        :returns: the news.
        """
        self._ledger.news.clear()
        return self._write(
            self._ledger.take_untold_crashes(),
            self._ledger.take_untold_served(),
        )

    def write_all(self) -> CrashNews:
        """Write all that is known, for a new session.

        :returns: the news.
        """
        return self._write(self._ledger.crashes, self._ledger.served_ms)

    def answer(
        self,
        session: PeerSession,
        recent_sum: int,
        sessions: int,
    ) -> CrashNews:
        """Write what a peer may have missed.

        :param session: the session with the peer.
        :param recent_sum: the number that it told, negative if it told none.
        :param sessions: how many peers see what it told.
        :returns: the news, empty if it has missed nothing or others tell it.
        """
        self._repair.note_state(self._ledger.revision)
        if not self._repair.is_due(
            told_sum=recent_sum,
            own_sum=self._ledger.recent_sum,
            told_ms=session.crashes_told_ms,
            sessions=sessions,
        ):
            return CrashNews()
        session.crashes_told_ms = self._clock.now_ms()
        return self._write(self._ledger.recent(), self._ledger.served_ms)

    def forget(self, session: PeerSession) -> None:
        """Note the end of a session.

        :param session: the session; unless its peer was stopping, the peer
            may have had requests at crashes that it could not tell of.
        """
        if not session.leaving:
            self._ledger.note_gateway_lost(session.name)

    def take(self, news: CrashNews) -> None:
        """Take what a peer tells.

        :param news: the news.
        """
        now_ms = self._clock.now_ms()
        for endpoint, age_ms, told_by, silent, streaming in news.crashes:
            self._ledger.take_crash(
                EndpointCrash(
                    endpoint=endpoint,
                    crashed_ms=now_ms - age_ms,
                    told_by=told_by,
                    silent=_read_fingerprints(silent),
                    streaming=_read_fingerprints(streaming),
                ),
            )
        for fingerprint, age_ms in news.served:
            self._ledger.take_served(fingerprint, now_ms - age_ms)
        self._repair.note_state(self._ledger.revision)

    def _write(
        self,
        crashes: Iterable[EndpointCrash],
        served_ms: Mapping[Fingerprint, int],
    ) -> CrashNews:
        now_ms = self._clock.now_ms()
        return CrashNews(
            crashes=[
                [
                    crash.endpoint,
                    now_ms - crash.crashed_ms,
                    crash.told_by,
                    sorted(crash.silent),
                    sorted(crash.streaming),
                ]
                for crash in crashes
            ],
            served=[
                [fingerprint, now_ms - at_ms]
                for fingerprint, at_ms in served_ms.items()
            ],
        )


def _read_fingerprints(raw: Iterable[bytes]) -> set[Fingerprint]:
    return {each for each in raw if len(each) == FINGERPRINT_BYTES}
