"""Which endpoints fail, by what they do and not by what they say.

Owns a share of failures and a time out for each endpoint, and the outcomes that
peers have not been told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Part of a new outcome in the share of failures. Five failures in a row make an
# endpoint one that fails two times in three.
_WEIGHT: Final = 0.2
# The same for what a peer tells, which counts less: its own line may be at
# fault.
_PEER_WEIGHT: Final = 0.1
# Milliseconds for which an endpoint that takes no connection is left out; the
# time doubles from the first to the second, so that one that restarts is used
# within a second, and one that is gone costs one connect in four seconds.
_MIN_EJECT_MS: Final = 500
_MAX_EJECT_MS: Final = 4000
# Milliseconds in which a share of failures halves without a request, so that an
# endpoint that was replaced is soon tried again.
_FADE_MS: Final = 5000


@final
class _Record:
    """What one endpoint did lately."""

    __slots__ = ('changed_ms', 'eject_ms', 'failing', 'until_ms')

    def __init__(self) -> None:
        """Start without a fault."""
        self.failing: float = 0
        self.changed_ms = 0
        self.eject_ms = _MIN_EJECT_MS
        self.until_ms = 0


@final
class Outcomes:
    """How some requests to an endpoint ended."""

    __slots__ = ('failed', 'served')

    def __init__(self, *, failed: int = 0, served: int = 0) -> None:
        """Count requests.

        :param failed: requests without an answer of use.
        :param served: requests with one.
        """
        self.failed = failed
        self.served = served

    def add(self, other: Outcomes) -> None:
        """Add further requests.

        :param other: how they ended.
        """
        self.failed += other.failed
        self.served += other.served


@final
class EndpointHealth:
    """Failures of each endpoint, fading with time.

    An endpoint that can't be reached is left out for a time that doubles;
    then requests try it again. One that fails part of its requests gets a
    share of failures that placement weighs; gateways tell each other of
    them, so that each needn't meet the failures by itself.
    """

    __slots__ = ('_clock', '_unsent', '_records')

    def __init__(self, *, clock: Clock) -> None:
        """Start without a fault.

        :param clock: the time.
        """
        self._clock = clock
        self._records: dict[str, _Record] = {}
        # Outcomes that peers have not heard of.
        self._unsent: dict[str, Outcomes] = {}

    def note_success(self, name: str) -> None:
        """Count an answer.

        :param name: the endpoint.
        """
        record = self._records.get(name)
        if record is not None:
            self._mix(record, 0, _WEIGHT)
            self._tell(name, Outcomes(served=1))
            record.eject_ms = _MIN_EJECT_MS
            record.until_ms = 0

    def note_failure(self, name: str) -> None:
        """Count a run that failed or an answer that was lost.

        :param name: the endpoint.
        """
        self._mix(self._records.setdefault(name, _Record()), 1, _WEIGHT)
        self._tell(name, Outcomes(failed=1))

    def note_unreachable(self, name: str) -> None:
        """Leave an endpoint out that took no connection.

        :param name: the endpoint.
        """
        record = self._records.setdefault(name, _Record())
        self._mix(record, 1, _WEIGHT)
        record.until_ms = self._clock.now_ms() + record.eject_ms
        record.eject_ms = min(_MAX_EJECT_MS, record.eject_ms * 2)

    def take_unsent(self) -> dict[str, Outcomes]:
        """Take what the peers have not heard of.

        :returns: outcomes since the last call, by endpoint.
        """
        unsent = self._unsent
        self._unsent = {}
        return unsent

    def take_from_peer(self, name: str, outcomes: Outcomes) -> None:
        """Take what a peer tells.

        :param name: the endpoint.
        :param outcomes: how the peer's requests ended there.
        """
        count = outcomes.failed + outcomes.served
        if name not in self._records and not outcomes.failed:
            return
        record = self._records.setdefault(name, _Record())
        share = outcomes.failed / max(1, count)
        self._mix(record, share, 1 - (1 - _PEER_WEIGHT) ** count)

    def is_out(self, name: str) -> bool:
        """Tell whether an endpoint is left out for now.

        :param name: the endpoint.
        :returns: whether it is.
        """
        record = self._records.get(name)
        return record is not None and record.until_ms > self._clock.now_ms()

    def failing(self, name: str) -> float:
        """Tell how often an endpoint fails.

        :param name: the endpoint.
        :returns: share of its late requests, halved each five seconds
            without a request.
        """
        record = self._records.get(name)
        return 0 if record is None else self._faded(record)

    def forget(self, names: set[str]) -> None:
        """Keep only the endpoints that are listed.

        :param names: their names.
        """
        for name in self._records.keys() - names:
            self._records.pop(name)
        for name in self._unsent.keys() - names:
            self._unsent.pop(name)

    def _tell(self, name: str, outcomes: Outcomes) -> None:
        self._unsent.setdefault(name, Outcomes()).add(outcomes)

    def _faded(self, record: _Record) -> float:
        age_ms = self._clock.now_ms() - record.changed_ms
        return record.failing * 2 ** (-age_ms / _FADE_MS)

    def _mix(self, record: _Record, share: float, weight: float) -> None:
        known = self._faded(record)
        record.failing = known + (share - known) * weight
        record.changed_ms = self._clock.now_ms()
