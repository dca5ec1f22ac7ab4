"""Health of endpoints, measured by the outcomes of requests.

Owns a failure rate and an ejection time for each endpoint, and the outcomes
that have not been reported to peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Weight of a new outcome in the failure rate. Five failures in a row raise the
# rate to two thirds.
_OUTCOME_WEIGHT: Final = 0.2
# Weight of an outcome reported by a peer. It is lower, since the peer's own
# network connection may be at fault.
_PEER_OUTCOME_WEIGHT: Final = 0.1
# Milliseconds for which an unreachable endpoint is ejected. The time doubles
# from the minimum to the maximum, so that a restarted endpoint is used within a
# second, and a lost one costs one connection attempt in four seconds.
_MIN_EJECTION_MS: Final = 500
_MAX_EJECTION_MS: Final = 4000
# Milliseconds in which a failure rate halves without requests, so that a
# replaced endpoint is soon tried again.
_HALF_LIFE_MS: Final = 5000


@final
class _HealthRecord:
    """Failure rate and ejection of one endpoint."""

    __slots__ = ('changed_ms', 'eject_ms', 'failure_rate', 'until_ms')

    def __init__(self) -> None:
        """Create the record of a healthy endpoint."""
        self.failure_rate: float = 0
        self.changed_ms = 0
        self.eject_ms = _MIN_EJECTION_MS
        self.until_ms = 0


@final
class Outcomes:
    """Numbers of failed and served requests to an endpoint."""

    __slots__ = ('failed', 'served')

    def __init__(self, *, failed: int = 0, served: int = 0) -> None:
        """Create the counts.

        :param failed: number of requests without a usable answer.
        :param served: number of requests with a usable answer.
        """
        self.failed = failed
        self.served = served

    def add(self, other: Outcomes) -> None:
        """Add the counts of further requests.

        :param other: outcomes of the further requests.
        """
        self.failed += other.failed
        self.served += other.served


@final
class EndpointHealth:
    """Failure rates of endpoints, which decay with time.

    An unreachable endpoint is ejected for a time that doubles, after which
    requests try it again. An endpoint that fails some requests gets a failure
    rate that placement takes into account. Gateways report outcomes to each
    other, so that not each of them has to meet the failures itself.
    """

    __slots__ = ('_clock', '_unreported', '_records')

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty record of failures.

        :param clock: clock for the decay and the ejections.
        """
        self._clock = clock
        self._records: dict[str, _HealthRecord] = {}
        # Outcomes by endpoint that have not been reported to peers.
        self._unreported: dict[str, Outcomes] = {}

    def note_success(self, name: str) -> None:
        """Record an answer and end an ejection.

        :param name: name of the endpoint.
        """
        record = self._records.get(name)
        if record is not None:
            self._update_rate(record, 0, _OUTCOME_WEIGHT)
            self._add_unreported(name, Outcomes(served=1))
            record.eject_ms = _MIN_EJECTION_MS
            record.until_ms = 0

    def note_failure(self, name: str) -> None:
        """Record a failed run or a lost answer.

        :param name: name of the endpoint.
        """
        self._update_rate(
            self._records.setdefault(name, _HealthRecord()), 1, _OUTCOME_WEIGHT
        )
        self._add_unreported(name, Outcomes(failed=1))

    def note_unreachable(self, name: str) -> None:
        """Eject an endpoint that accepted no connection.

        :param name: name of the endpoint.
        """
        record = self._records.setdefault(name, _HealthRecord())
        self._update_rate(record, 1, _OUTCOME_WEIGHT)
        record.until_ms = self._clock.now_ms() + record.eject_ms
        record.eject_ms = min(_MAX_EJECTION_MS, record.eject_ms * 2)

    def take_unreported(self) -> dict[str, Outcomes]:
        """Return and clear the outcomes not yet reported to peers.

        :returns: outcomes since the last call, by endpoint.
        """
        unreported = self._unreported
        self._unreported = {}
        return unreported

    def merge_from_peer(self, name: str, outcomes: Outcomes) -> None:
        """Merge outcomes that a peer reported.

        :param name: name of the endpoint.
        :param outcomes: outcomes of the peer's requests to the endpoint.
        """
        count = outcomes.failed + outcomes.served
        if name not in self._records and not outcomes.failed:
            return
        record = self._records.setdefault(name, _HealthRecord())
        share = outcomes.failed / max(1, count)
        self._update_rate(
            record, share, 1 - (1 - _PEER_OUTCOME_WEIGHT) ** count
        )

    def is_ejected(self, name: str) -> bool:
        """Check if an endpoint is ejected now.

        :param name: name of the endpoint.
        :returns: whether the ejection time has not ended.
        """
        record = self._records.get(name)
        return record is not None and record.until_ms > self._clock.now_ms()

    def failure_rate(self, name: str) -> float:
        """Return the failure rate of an endpoint.

        :param name: name of the endpoint.
        :returns: failed fraction of its recent requests, halved every five
            seconds without a request.
        """
        record = self._records.get(name)
        return 0 if record is None else self._decayed_rate(record)

    def retain_only(self, names: set[str]) -> None:
        """Remove the endpoints that are not listed.

        :param names: names of the listed endpoints.
        """
        for name in self._records.keys() - names:
            self._records.pop(name)
        for name in self._unreported.keys() - names:
            self._unreported.pop(name)

    def _add_unreported(self, name: str, outcomes: Outcomes) -> None:
        self._unreported.setdefault(name, Outcomes()).add(outcomes)

    def _decayed_rate(self, record: _HealthRecord) -> float:
        age_ms = self._clock.now_ms() - record.changed_ms
        return record.failure_rate * 2 ** (-age_ms / _HALF_LIFE_MS)

    def _update_rate(
        self, record: _HealthRecord, share: float, weight: float
    ) -> None:
        current_rate = self._decayed_rate(record)
        record.failure_rate = current_rate + (share - current_rate) * weight
        record.changed_ms = self._clock.now_ms()
