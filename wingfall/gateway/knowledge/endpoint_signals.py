"""Signals of endpoints about themselves: rate limits, rests and leaving.

Owns the newest signal of each kind. Limits and leaving apply to all gateways,
which report them to each other; a rest applies only to the gateway that was
asked for it (:mod:`wingfall.gateway.knowledge.endpoint_rests`). Signals are
stored by the name of the incarnation, so that a restarted endpoint has none.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, Final, final

from gevent.event import Event

from wingfall.gateway.knowledge.endpoint_rests import EndpointRests
from wingfall.gateway.knowledge.signal_faults import SignalFaultLog
from wingfall.gateway.model.endpoint_leaving import EndpointLeaving
from wingfall.gateway.model.endpoint_limit import EndpointLimit, choose_newer
from wingfall.gateway.model.signal_change import SignalChange
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.clock import Clock
    from wingfall.gateway.model.answer_signals import AnswerSignals

# Milliseconds for which a signal is part of the digest, and is retained for an
# endpoint that is not listed: an entry may lapse and be written again.
_RETENTION_MS: Final = 60_000
# Maximum number of endpoints with a stored signal, above the 12,000 endpoints
# expected in two years. Beyond it, the entry that was added first is dropped.
_MAX_ENDPOINTS: Final = 16_384
# Milliseconds after which the digest is computed again without a change, since
# entries expire.
_DIGEST_TTL_MS: Final = 1000
# Size of the digest.
_DIGEST_BYTES: Final = 8


@final
class EndpointSignals:
    """The newest limits, rests and leaving signals of all endpoints."""

    __slots__ = (
        '_clock',
        '_faults',
        '_leaving',
        '_limits',
        '_name',
        '_digest',
        '_digest_ms',
        '_unreported',
        'updates_available',
        'rests',
    )

    def __init__(self, *, name: str, clock: Clock) -> None:
        """Create an empty store.

        :param name: name of this gateway.
        :param clock: clock for the times of signals.
        """
        self._name = name
        self._clock = clock
        # Current limits, and recently ended ones with a rate of None.
        self._limits: dict[str, EndpointLimit] = {}
        self._leaving: dict[str, EndpointLeaving] = {}
        # Endpoints whose newest signals have not been reported to peers.
        self._unreported: set[str] = set()
        self._faults = SignalFaultLog(clock=clock)
        # Cached digest, None after a change.
        self._digest: int | None = None
        self._digest_ms = 0
        # Set while there are signals that have not been reported to peers.
        self.updates_available = Event()
        self.rests = EndpointRests(clock=clock)

    @property
    def limits(self) -> dict[str, EndpointLimit]:
        """Limits by endpoint, including ended ones; must not be changed."""
        return self._limits

    @property
    def leaving(self) -> dict[str, EndpointLeaving]:
        """Leaving signals by endpoint; must not be changed."""
        return self._leaving

    @property
    def recent_digest(self) -> int:
        """Digest that is equal for gateways with equal recent signals.

        Each heartbeat contains the digest, so it is cached, and computed again
        only after a change or when entries may have expired.
        """
        now_ms = self._clock.now_ms()
        if self._digest is None or now_ms - self._digest_ms >= _DIGEST_TTL_MS:
            self._digest = self._compute_digest()
            self._digest_ms = now_ms
        return self._digest

    def recent(self) -> set[str]:
        """Return the endpoints that are part of the digest.

        :returns: names of the endpoints whose signals changed recently.
        """
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        recent = {
            name
            for name, limit in self._limits.items()
            if limit.changed_ms > oldest_ms
        }
        recent.update(
            name
            for name, leaving in self._leaving.items()
            if leaving.received_ms > oldest_ms
        )
        return recent

    def note_answer(
        self,
        endpoint: str,
        signals: AnswerSignals,
        sent_ms: int,
    ) -> list[SignalChange]:
        """Record the signals in the head of an answer.

        :param endpoint: name of the endpoint that answered.
        :param signals: signals of the endpoint in the answer.
        :param sent_ms: time at which the request was sent, in milliseconds.
        :returns: the changes that the signals caused.
        """
        changes = []
        if signals.faults:
            self._faults.note(endpoint, signals.faults)
            changes.append(SignalChange.unreadable)
        else:
            changes += self._note_limit(endpoint, signals.rate, sent_ms)
        if signals.leaving and endpoint not in self._leaving:
            changes.append(SignalChange.leaving)
            self._add_leaving(endpoint, self._clock.now_ms(), self._name)
            self._mark_unreported(endpoint)
        if self.rests.note(endpoint, signals.rest_ms):
            changes.append(SignalChange.rest)
        return changes

    def merge_limit(self, endpoint: str, reported: EndpointLimit) -> None:
        """Merge a limit, or its end, that a peer reported.

        :param endpoint: name of the endpoint.
        :param reported: limit from the peer, with times of this gateway's
            clock.
        """
        # The end of an unknown limit is stored too, since an older report of
        # the limit may arrive after it.
        self._merge_limit(endpoint, reported)

    def merge_leaving(self, endpoint: str, reported: EndpointLeaving) -> None:
        """Merge a leaving signal that a peer reported.

        :param endpoint: name of the endpoint.
        :param reported: leaving signal from the peer.
        """
        if endpoint not in self._leaving:
            self._add_leaving(
                endpoint, reported.received_ms, reported.reported_by
            )

    def take_unreported(self) -> set[str]:
        """Return and clear the endpoints with unreported signals.

        :returns: names of the endpoints.
        """
        unreported = self._unreported
        self._unreported = set()
        self.updates_available.clear()
        return unreported

    def remove_expired(self, listed: Collection[str]) -> None:
        """Remove expired signals, and those of endpoints that left.

        :param listed: names of the listed endpoints.
        """
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        self.rests.remove_expired()
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if limit.received_ms >= oldest_ms
            or (name in listed and limit.rate is not None)
        }
        self._leaving = {
            name: leaving
            for name, leaving in self._leaving.items()
            if leaving.received_ms >= oldest_ms or name in listed
        }

    def _note_limit(
        self,
        endpoint: str,
        rate: float | None,
        sent_ms: int,
    ) -> list[SignalChange]:
        known = self._limits.get(endpoint)
        if rate is None and (known is None or known.rate is None):
            return []
        now_ms = self._clock.now_ms()
        limit = EndpointLimit(
            rate=rate,
            sent_ms=sent_ms,
            received_ms=now_ms,
            changed_ms=now_ms,
            reported_by=self._name,
        )
        if not self._merge_limit(endpoint, limit):
            return []
        self._mark_unreported(endpoint)
        ended = rate is None
        change = SignalChange.limit_ended if ended else SignalChange.limit_named
        return [change]

    def _compute_digest(self) -> int:
        combined = 0
        for name in self.recent():
            limit = self._limits.get(name)
            rate = limit.rate if limit else None
            combined ^= _hash_entry(name, rate, name in self._leaving)
        return combined

    def _merge_limit(self, endpoint: str, reported: EndpointLimit) -> bool:
        known = self._limits.get(endpoint)
        newer = reported if known is None else choose_newer(known, reported)
        if newer is known:
            return False
        if known is not None and known.rate == newer.rate:
            # The same rate was signalled again: only the other times change.
            newer.changed_ms = min(known.changed_ms, newer.changed_ms)
        _put(self._limits, endpoint, newer)
        if known is not None and known.rate == newer.rate:
            return False
        self._digest = None
        if known is None and newer.rate is None:
            return False
        sentence = 'An endpoint names a limit.'
        if newer.rate is None:
            sentence = 'An endpoint names no limit any more.'
        self._log_signal(
            sentence,
            endpoint,
            newer.reported_by,
            newer.received_ms,
            rate=newer.rate,
            before=known.rate if known else None,
        )
        return True

    def _add_leaving(
        self, endpoint: str, received_ms: int, reported_by: str
    ) -> None:
        leaving = EndpointLeaving(
            received_ms=received_ms, reported_by=reported_by
        )
        _put(self._leaving, endpoint, leaving)
        self._digest = None
        self._log_signal(
            'An endpoint is leaving.', endpoint, reported_by, received_ms
        )

    def _mark_unreported(self, endpoint: str) -> None:
        self._unreported.add(endpoint)
        self.updates_available.set()

    def _log_signal(
        self,
        sentence: str,
        endpoint: str,
        reported_by: str,
        received_ms: int,
        **fields: Any,
    ) -> None:
        log_event(
            'signals',
            sentence,
            endpoint=endpoint,
            told_by=reported_by,
            age_ms=self._clock.now_ms() - received_ms,
            **fields,
        )


def _put(known: dict[str, Any], endpoint: str, entry: Any) -> None:
    if endpoint not in known and len(known) >= _MAX_ENDPOINTS:
        known.pop(next(iter(known)))
    known[endpoint] = entry


def _hash_entry(*words: object) -> int:
    digest = hashlib.blake2b(repr(words).encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')
