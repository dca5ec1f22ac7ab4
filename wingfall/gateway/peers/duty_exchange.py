"""Exchange of usage counts and report progress between gateways.

Counts are sent to the few gateways that may have to report them: the first in
the common order, and the holder of the lease. The holder sends its progress to
all gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.peers.ranking import compute_rank

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from wingfall.clock import Clock
    from wingfall.gateway.duties.lease import Lease
    from wingfall.gateway.knowledge.true_time import TrueTime
    from wingfall.gateway.knowledge.usage_counts import UsageCounts
    from wingfall.gateway.peers.peer_session import PeerSession

# Gateways that receive all counts, besides the lease holder: if one ends and
# one is cut off, the counts of a gateway that has ended are still reported.
_COUNT_RECIPIENTS: Final = 3
# Time between two reports of counts. A killed gateway loses the counts since
# its last report, a tenth of a window of five seconds on average.
_COUNTS_INTERVAL_MS: Final = 1000
# Fields of a report; later versions may add more.
_FIELD_COUNT: Final = 4


@final
class DutyExchange:
    """Encodes counts and progress for peers, and merges their reports."""

    __slots__ = (
        '_clock',
        '_counts',
        '_lease',
        '_sent_state',
        '_counts_sent_ms',
        '_true_time',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        true_time: TrueTime,
        counts: UsageCounts,
        lease: Lease,
    ) -> None:
        """Create an exchange that has not reported anything.

        :param clock: monotonic clock.
        :param true_time: receives the time of day that peers report.
        :param counts: usage counts of all gateways, and report progress.
        :param lease: lease of the duties.
        """
        self._clock = clock
        self._true_time = true_time
        self._counts = counts
        self._lease = lease
        self._counts_sent_ms: float = float('-inf')
        # Last state sent to all peers: lease held, and progress of reports.
        self._sent_state = (False, 0)

    def encode_state(self) -> list[Any]:
        """Encode the state of this gateway without counts, for a new session.

        :returns: duties field of a heartbeat.
        """
        return self._encode([])

    def encode_due(
        self,
        sessions: Collection[PeerSession],
        *,
        at_once: bool = False,
    ) -> Iterator[tuple[PeerSession, list[Any]]]:
        """Encode the reports that are due.

        :param sessions: sessions with the connected peers.
        :param at_once: whether to send counts before the interval has passed.
        :yields: session to report to, and the duties field of its heartbeat.
        """
        state = (self._lease.held, self._counts.delivered_window)
        reports_to_all = state != self._sent_state and (
            state[0] or self._sent_state[0]
        )
        self._sent_state = state
        now_ms = self._clock.now_ms()
        counts_due = (
            at_once or now_ms - self._counts_sent_ms >= _COUNTS_INTERVAL_MS
        )
        if counts_due:
            self._counts_sent_ms = now_ms
        recipients = _choose_recipients(sessions) if counts_due else []
        for session in sessions:
            entries: list[Any] = []
            if session in recipients:
                entries = self._counts.changes_since(
                    session.counts_sent_revision
                )
                session.counts_sent_revision = self._counts.revision
            if entries or reports_to_all:
                yield session, self._encode(entries)

    def merge_report(self, session: PeerSession, report: list[Any]) -> None:
        """Merge a report of a peer.

        :param session: session with the peer.
        :param report: duties field of the peer's heartbeat.
        """
        if len(report) < _FIELD_COUNT:
            return
        delivered, holds_lease, true_ms, entries = report[:_FIELD_COUNT]
        session.holds_lease = holds_lease
        self._true_time.note_peer(session.name, true_ms)
        self._counts.note_delivered(delivered)
        if entries:
            source = f'{session.name}/{session.incarnation}'
            self._counts.merge_reported(source, entries)

    def forget(self, session: PeerSession) -> None:
        """Remove the time of day of a disconnected peer; its counts stay.

        :param session: session that ended.
        """
        self._true_time.remove_peer(session.name)

    def _encode(self, entries: list[Any]) -> list[Any]:
        return [
            self._counts.delivered_window,
            self._lease.held,
            self._true_time.own_time_ms,
            entries,
        ]


def _choose_recipients(sessions: Iterable[PeerSession]) -> list[PeerSession]:
    staying = [each for each in sessions if not each.leaving]
    first = sorted(staying, key=_session_rank)[:_COUNT_RECIPIENTS]
    holders = [each for each in staying if each.holds_lease]
    return [*first, *(each for each in holders if each not in first)]


def _session_rank(session: PeerSession) -> bytes:
    return compute_rank(session.name)
