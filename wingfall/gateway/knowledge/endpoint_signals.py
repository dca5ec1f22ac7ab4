"""What endpoints have said of themselves: limits, rests, that they leave.

Owns the newest of each. A limit and a leaving hold for all gateways, which tell
each other what they have heard; a rest is asked of one gateway and stays there
(:mod:`wingfall.gateway.knowledge.endpoint_rests`). All stands under the name of
an incarnation, so that an endpoint that starts again has said nothing yet.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any, Final, final

from gevent.event import Event

from wingfall.gateway.knowledge.endpoint_rests import EndpointRests
from wingfall.gateway.knowledge.signal_faults import SignalFaults
from wingfall.gateway.model.endpoint_leaving import EndpointLeaving
from wingfall.gateway.model.endpoint_limit import EndpointLimit, choose_newer
from wingfall.gateway.model.signal_change import SignalChange
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.clock import Clock
    from wingfall.gateway.model.answer_signals import AnswerSignals

# Milliseconds for which it is compared with what peers know, and kept of an
# endpoint that isn't listed: an entry may lapse and come back.
_REMEMBERED_MS: Final = 60_000
# Endpoints of which something is remembered: over 12,000, the size in two
# years. Beyond that the one heard of first goes.
_MOST_REMEMBERED: Final = 16_384
# Milliseconds after which the number by which gateways compare what they know
# is worked out again without a change.
_SUM_EVERY_MS: Final = 1000
# Bytes of that number.
_SUM_BYTES: Final = 8


@final
class EndpointSignals:
    """The limits, rests and leavings of endpoints."""

    __slots__ = (
        '_clock',
        '_faults',
        '_leaving',
        '_limits',
        '_name',
        '_sum',
        '_sum_ms',
        '_untold',
        'news',
        'rests',
    )

    def __init__(self, *, name: str, clock: Clock) -> None:
        """Start with nothing said.

        :param name: name of this gateway.
        :param clock: the time.
        """
        self._name = name
        self._clock = clock
        # Limits, and for a while those that have ended.
        self._limits: dict[str, EndpointLimit] = {}
        self._leaving: dict[str, EndpointLeaving] = {}
        # Endpoints of which peers have not heard the newest.
        self._untold: set[str] = set()
        self._faults = SignalFaults(clock=clock)
        # The number of what is known, None once that has changed.
        self._sum: int | None = None
        self._sum_ms = 0
        # Set while there is something that peers have not heard.
        self.news = Event()
        self.rests = EndpointRests(clock=clock)

    @property
    def limits(self) -> dict[str, EndpointLimit]:
        """Limits by endpoint, ended ones among them; must not be changed."""
        return self._limits

    @property
    def leaving(self) -> dict[str, EndpointLeaving]:
        """Endpoints that are leaving; must not be changed."""
        return self._leaving

    @property
    def recent_sum(self) -> int:
        """A number that is the same for gateways that know the same.

        Each heartbeat asks for it, so it is worked out again only after a
        change, or when what it stands for may have grown old.
        """
        now_ms = self._clock.now_ms()
        if self._sum is None or now_ms - self._sum_ms >= _SUM_EVERY_MS:
            self._sum = self._work_out_sum()
            self._sum_ms = now_ms
        return self._sum

    def recent(self) -> set[str]:
        """List the endpoints that are compared with what peers know.

        :returns: names of those of which something changed lately.
        """
        oldest_ms = self._clock.now_ms() - _REMEMBERED_MS
        recent = {
            name
            for name, limit in self._limits.items()
            if limit.changed_ms > oldest_ms
        }
        recent.update(
            name
            for name, leaving in self._leaving.items()
            if leaving.heard_ms > oldest_ms
        )
        return recent

    def note_answer(
        self,
        endpoint: str,
        signals: AnswerSignals,
        sent_ms: int,
    ) -> list[SignalChange]:
        """Note what the head of an answer says.

        :param endpoint: name of the endpoint that answered.
        :param signals: what it said of itself.
        :param sent_ms: when the request was sent.
        :returns: what has changed by it.
        """
        changes = []
        if signals.faults:
            self._faults.note(endpoint, signals.faults)
            changes.append(SignalChange.unreadable)
        else:
            changes += self._note_limit(endpoint, signals.rate, sent_ms)
        if signals.leaving and endpoint not in self._leaving:
            changes.append(SignalChange.leaving)
            self._set_leaving(endpoint, self._clock.now_ms(), self._name)
            self._tell(endpoint)
        if self.rests.note(endpoint, signals.rest_ms):
            changes.append(SignalChange.rest)
        return changes

    def take_limit(self, endpoint: str, told: EndpointLimit) -> None:
        """Take a limit that a peer tells, or the end of one.

        :param endpoint: name of the endpoint.
        :param told: what the peer tells, times by this gateway's clock.
        """
        # Also an end of which no beginning was heard: old news of the limit may
        # come after it.
        self._set_limit(endpoint, told)

    def take_leaving(self, endpoint: str, told: EndpointLeaving) -> None:
        """Take an endpoint's leaving that a peer tells.

        :param endpoint: name of the endpoint.
        :param told: what the peer tells.
        """
        if endpoint not in self._leaving:
            self._set_leaving(endpoint, told.heard_ms, told.told_by)

    def take_untold(self) -> set[str]:
        """Take the endpoints of which peers have not heard the newest.

        :returns: their names.
        """
        untold = self._untold
        self._untold = set()
        self.news.clear()
        return untold

    def forget(self, listed: Collection[str]) -> None:
        """Forget what is over, and endpoints that are gone for a while.

        :param listed: names of the endpoints that are listed.
        """
        oldest_ms = self._clock.now_ms() - _REMEMBERED_MS
        self.rests.forget()
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if limit.heard_ms >= oldest_ms
            or (name in listed and limit.rate is not None)
        }
        self._leaving = {
            name: leaving
            for name, leaving in self._leaving.items()
            if leaving.heard_ms >= oldest_ms or name in listed
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
        said = EndpointLimit(
            rate=rate,
            sent_ms=sent_ms,
            heard_ms=now_ms,
            changed_ms=now_ms,
            told_by=self._name,
        )
        if not self._set_limit(endpoint, said):
            return []
        self._tell(endpoint)
        ended = rate is None
        change = SignalChange.limit_ended if ended else SignalChange.limit_named
        return [change]

    def _work_out_sum(self) -> int:
        combined = 0
        for name in self.recent():
            limit = self._limits.get(name)
            rate = limit.rate if limit else None
            combined ^= _digest(name, rate, name in self._leaving)
        return combined

    def _set_limit(self, endpoint: str, told: EndpointLimit) -> bool:
        known = self._limits.get(endpoint)
        kept = told if known is None else choose_newer(known, told)
        if kept is known:
            return False
        if known is not None and known.rate == kept.rate:
            # Said again: only how late it was said has changed.
            kept.changed_ms = min(known.changed_ms, kept.changed_ms)
        _put(self._limits, endpoint, kept)
        if known is not None and known.rate == kept.rate:
            return False
        self._sum = None
        if known is None and kept.rate is None:
            return False
        sentence = 'An endpoint names a limit.'
        if kept.rate is None:
            sentence = 'An endpoint names no limit any more.'
        self._log(
            sentence,
            endpoint,
            kept.told_by,
            kept.heard_ms,
            rate=kept.rate,
            before=known.rate if known else None,
        )
        return True

    def _set_leaving(self, endpoint: str, heard_ms: int, told_by: str) -> None:
        leaving = EndpointLeaving(heard_ms=heard_ms, told_by=told_by)
        _put(self._leaving, endpoint, leaving)
        self._sum = None
        self._log('An endpoint is leaving.', endpoint, told_by, heard_ms)

    def _tell(self, endpoint: str) -> None:
        self._untold.add(endpoint)
        self.news.set()

    def _log(
        self,
        sentence: str,
        endpoint: str,
        told_by: str,
        heard_ms: int,
        **fields: Any,
    ) -> None:
        log_event(
            'signals',
            sentence,
            endpoint=endpoint,
            told_by=told_by,
            age_ms=self._clock.now_ms() - heard_ms,
            **fields,
        )


def _put(known: dict[str, Any], endpoint: str, entry: Any) -> None:
    if endpoint not in known and len(known) >= _MOST_REMEMBERED:
        known.pop(next(iter(known)))
    known[endpoint] = entry


def _digest(*words: object) -> int:
    digest = hashlib.blake2b(repr(words).encode(), digest_size=_SUM_BYTES)
    return int.from_bytes(digest.digest(), 'big')
