"""What gateways tell each other of endpoints that crashed.

Each gateway tells all others at once of what it has seen, in every availability
zone and without a relay, so that a request that ends endpoints is blocked
everywhere within tenths of a second. A new session begins with all that is
known. All heartbeats carry one number for what is known of the last minute; a
peer that knows less is told again, also by gateways that only heard of it.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.model.fingerprint import FINGERPRINT_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.crash_ledger import CrashLedger
    from wingfall.gateway.model.fingerprint import Fingerprint
    from wingfall.gateway.peers.peer_session import PeerSession

# Milliseconds without a change after which a peer that knows other crashes has
# missed some: news and heartbeats of a moment ago may have crossed.
_SETTLED_MS: Final = 500
# Milliseconds between two such tellings to one peer: what it has no room for
# must not be told at each heartbeat.
_TOLD_AGAIN_MS: Final = 3000
# Gateways that tell a peer again, of all that see that it missed news. Not
# measured: one may be cut off from it.
_TELLING: Final = 4


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

    __slots__ = ('_changed_ms', '_clock', '_ledger', '_revision')

    def __init__(self, *, clock: Clock, ledger: CrashLedger) -> None:
        """Start with nothing told.

        :param clock: the time.
        :param ledger: the crashes that are known here.
        """
        self._clock = clock
        self._ledger = ledger
        self._revision = ledger.revision
        self._changed_ms = clock.now_ms()

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
        self._note_changes()
        now_ms = self._clock.now_ms()
        if recent_sum < 0 or now_ms - self._changed_ms < _SETTLED_MS:
            return CrashNews()
        if now_ms - session.crashes_told_ms < _TOLD_AGAIN_MS:
            return CrashNews()
        if recent_sum == self._ledger.recent_sum:
            return CrashNews()
        if random.random() * sessions > _TELLING:  # noqa: S311
            return CrashNews()
        session.crashes_told_ms = now_ms
        return self._write(self._ledger.recent(), self._ledger.served_ms)

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
        self._note_changes()

    def _note_changes(self) -> None:
        if self._revision != self._ledger.revision:
            self._revision = self._ledger.revision
            self._changed_ms = self._clock.now_ms()

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
