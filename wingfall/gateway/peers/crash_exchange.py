"""Exchange of endpoint crashes between gateways.

Each gateway immediately sends the crashes that it observes to all others, in
every availability zone and without a relay, so that a request that crashes
endpoints is blocked everywhere within tenths of a second. A new session begins
with all known entries. All heartbeats carry a digest of the last minute; after
a mismatch the entries are resent, also by gateways that only received them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.model.fingerprint import (
    FINGERPRINT_BYTES,
    PART_FINGERPRINT_BYTES,
)
from wingfall.gateway.peers.anti_entropy import AntiEntropy

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.crash_ledger import CrashLedger
    from wingfall.gateway.model.fingerprint import Fingerprint
    from wingfall.gateway.peers.peer_session import PeerSession

_FINGERPRINT_LENGTHS: Final = (FINGERPRINT_BYTES, PART_FINGERPRINT_BYTES)


@final
class CrashUpdates:
    """Crashes and successful requests as encoded in a heartbeat."""

    __slots__ = ('crashes', 'served')

    def __init__(
        self,
        *,
        crashes: list[list[Any]] | None = None,
        served: list[list[Any]] | None = None,
    ) -> None:
        """Create updates.

        :param crashes: for each crash the endpoint, its age in milliseconds,
            the gateway that reported it first, requests without output and
            the parts of their prompts, the same of requests whose output had
            begun.
        :param served: requests that succeeded and the parts of their prompts,
            and their ages in milliseconds.
        """
        self.crashes = crashes or []
        self.served = served or []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        return not (self.crashes or self.served)


@final
class CrashExchange:
    """Sends crashes to peers and merges theirs."""

    __slots__ = ('_clock', '_ledger', '_anti_entropy')

    def __init__(self, *, clock: Clock, ledger: CrashLedger) -> None:
        """Initialize the exchange.

        :param clock: source of the current time.
        :param ledger: the crashes known to this gateway.
        """
        self._clock = clock
        self._ledger = ledger
        self._anti_entropy = AntiEntropy(clock=clock, state=ledger.revision)

    @property
    def recent_digest(self) -> int:
        """The digest of the requests at the crashes of the last minute."""
        return self._ledger.recent_digest

    @property
    def recent_part_digest(self) -> int:
        """The same of the prompt parts."""
        return self._ledger.recent_part_digest

    def wait(self) -> None:
        """Wait for entries that this gateway has not sent."""
        self._ledger.updates_available.wait()

    def take_unreported(self) -> CrashUpdates:
        """Return and clear the entries that were not sent yet.

        :returns: the updates.
        """
        self._ledger.updates_available.clear()
        return self._encode(
            self._ledger.take_unreported_crashes(),
            self._ledger.take_unreported_served(),
        )

    def encode_all(self) -> CrashUpdates:
        """Return all known entries, for a new session.

        :returns: the updates.
        """
        return self._encode(self._ledger.crashes, self._ledger.served_ms)

    def answer_digest(
        self,
        session: PeerSession,
        peer_digest: int,
        sessions: int,
        peer_part_digest: int = -1,
    ) -> CrashUpdates:
        """Return the entries that a peer may have missed.

        :param session: the session with the peer.
        :param peer_digest: digest of the peer, negative if it sent none.
        :param sessions: number of gateways that receive the digest.
        :param peer_part_digest: the peer's digest of prompt parts, negative if
            it sent none.
        :returns: the updates, empty if none were missed or others resend.
        """
        self._anti_entropy.note_state(self._ledger.revision)
        digests = (
            (peer_digest, self._ledger.recent_digest),
            (peer_part_digest, self._ledger.recent_part_digest),
        )
        if not any(
            self._anti_entropy.is_due(
                peer_digest=peer,
                own_digest=own,
                resent_ms=session.crashes_resent_ms,
                sessions=sessions,
            )
            for peer, own in digests
        ):
            return CrashUpdates()
        session.crashes_resent_ms = self._clock.now_ms()
        return self._encode(self._ledger.recent(), self._ledger.served_ms)

    def forget(self, session: PeerSession) -> None:
        """Record the end of a session.

        :param session: the session that ended; unless its peer was stopping,
            the peer may have had requests at crashes that it could not report.
        """
        if not session.leaving:
            self._ledger.note_gateway_lost(session.name)

    def merge(self, updates: CrashUpdates) -> None:
        """Merge the updates of a peer.

        :param updates: the updates.
        """
        now_ms = self._clock.now_ms()
        for endpoint, age_ms, reported_by, silent, streaming in updates.crashes:
            self._ledger.merge_crash(
                EndpointCrash(
                    endpoint=endpoint,
                    crashed_ms=now_ms - age_ms,
                    reported_by=reported_by,
                    silent=_decode_fingerprints(silent),
                    streaming=_decode_fingerprints(streaming),
                ),
            )
        for fingerprint, age_ms in updates.served:
            self._ledger.merge_served(fingerprint, now_ms - age_ms)
        self._anti_entropy.note_state(self._ledger.revision)

    def _encode(
        self,
        crashes: Iterable[EndpointCrash],
        served_ms: Mapping[Fingerprint, int],
    ) -> CrashUpdates:
        now_ms = self._clock.now_ms()
        return CrashUpdates(
            crashes=[
                [
                    crash.endpoint,
                    now_ms - crash.crashed_ms,
                    crash.reported_by,
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


def _decode_fingerprints(encoded: Iterable[bytes]) -> set[Fingerprint]:
    # Gateways of earlier versions take the requests only.
    return {each for each in encoded if len(each) in _FINGERPRINT_LENGTHS}
