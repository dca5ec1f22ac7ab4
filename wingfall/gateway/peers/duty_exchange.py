"""What gateways tell each other for the duties.

Counts go to the few gateways that may have to report them: to the first in an
order that all agree on, and to the holder of the lease. The holder tells all
how far it is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.peers.ranking import rank

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from wingfall.clock import Clock
    from wingfall.gateway.duties.lease import Lease
    from wingfall.gateway.knowledge.true_time import TrueTime
    from wingfall.gateway.knowledge.usage_counts import UsageCounts
    from wingfall.gateway.peers.peer_session import PeerSession

# Gateways that hear all counts, besides the holder: one may end and one be cut
# off, and what a gateway counted before it ended is still reported.
_KEEPERS: Final = 3
# Milliseconds between two tellings of counts: so much of them is lost with a
# gateway that is killed, a tenth of a window of five seconds on average.
_TELL_MS: Final = 1000
# Fields of what is told; later programs may add some.
_FIELDS: Final = 4


@final
class DutyExchange:
    """Tells counts and progress, and takes what peers tell."""

    __slots__ = (
        '_clock',
        '_counts',
        '_lease',
        '_sent',
        '_told_ms',
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
        """Start with nothing told.

        :param clock: the steady clock.
        :param true_time: takes the time of day that peers tell.
        :param counts: the counts of all gateways, and how far reports are.
        :param lease: the lease of the duties.
        """
        self._clock = clock
        self._true_time = true_time
        self._counts = counts
        self._lease = lease
        self._told_ms: float = float('-inf')
        # Whether the lease is held and how far reports are, as all were told.
        self._sent = (False, 0)

    def greet(self) -> list[Any]:
        """Write where this gateway stands, for a new session.

        :returns: the field of a heartbeat.
        """
        return self._write([])

    def due(
        self,
        sessions: Collection[PeerSession],
        *,
        at_once: bool = False,
    ) -> Iterator[tuple[PeerSession, list[Any]]]:
        """Write what peers are told now.

        :param sessions: the connected peers.
        :param at_once: whether to tell counts that are not due yet.
        :yields: each peer that is told something, and the field of a
            heartbeat.
        """
        state = (self._lease.held, self._counts.delivered)
        tells_all = state != self._sent and (state[0] or self._sent[0])
        self._sent = state
        now_ms = self._clock.now_ms()
        counts_due = at_once or now_ms - self._told_ms >= _TELL_MS
        if counts_due:
            self._told_ms = now_ms
        keepers = _choose_keepers(sessions) if counts_due else []
        for session in sessions:
            entries: list[Any] = []
            if session in keepers:
                entries = self._counts.changes_since(session.counts_told)
                session.counts_told = self._counts.revision
            if entries or tells_all:
                yield session, self._write(entries)

    def take(self, session: PeerSession, told: list[Any]) -> None:
        """Take what a peer tells.

        :param session: the peer.
        :param told: the field of its heartbeat.
        """
        if len(told) < _FIELDS:
            return
        delivered, holds, true_ms, entries = told[:_FIELDS]
        session.holds_lease = holds
        self._true_time.note_peer(session.name, true_ms)
        self._counts.note_delivered(delivered)
        if entries:
            source = f'{session.name}/{session.incarnation}'
            self._counts.take(source, entries)

    def forget(self, session: PeerSession) -> None:
        """Forget the time of day of a peer that is gone; its counts stay.

        :param session: the session that ended.
        """
        self._true_time.forget(session.name)

    def _write(self, entries: list[Any]) -> list[Any]:
        return [
            self._counts.delivered,
            self._lease.held,
            self._true_time.own_ms,
            entries,
        ]


def _choose_keepers(sessions: Iterable[PeerSession]) -> list[PeerSession]:
    staying = [each for each in sessions if not each.leaving]
    first = sorted(staying, key=_rank)[:_KEEPERS]
    holders = [each for each in staying if each.holds_lease]
    return [*first, *(each for each in holders if each not in first)]


def _rank(session: PeerSession) -> bytes:
    return rank(session.name)
