"""Which endpoints fail, by what they do and not by what they say."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock

_WEIGHT: Final = 0.2
_MIN_EJECT_MS: Final = 500
_MAX_EJECT_MS: Final = 4000
_UNREACHABLE_IN_A_ROW: Final = 1
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
class EndpointHealth:
    """Failures of each endpoint, fading with time.

    An endpoint that can't be reached is left out for a time that doubles;
    then requests try it again. One that fails part of its requests gets a
    share of failures that placement weighs.
    """

    __slots__ = ('_clock', '_records')

    def __init__(self, *, clock: Clock) -> None:
        """Start without a fault.

        :param clock: the time.
        """
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def note_success(self, name: str) -> None:
        """Count an answer.

        :param name: the endpoint.
        """
        record = self._records.get(name)
        if record is not None:
            self._mix(record, 0)
            record.eject_ms = _MIN_EJECT_MS
            record.until_ms = 0

    def note_failure(self, name: str) -> None:
        """Count a run that failed or an answer that was lost.

        :param name: the endpoint.
        """
        self._mix(self._records.setdefault(name, _Record()), 1)

    def note_unreachable(self, name: str) -> None:
        """Leave an endpoint out that took no connection.

        :param name: the endpoint.
        """
        record = self._records.setdefault(name, _Record())
        self._mix(record, 1)
        record.until_ms = self._clock.now_ms() + record.eject_ms
        record.eject_ms = min(_MAX_EJECT_MS, record.eject_ms * 2)

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
        if record is None:
            return 0
        age_ms = self._clock.now_ms() - record.changed_ms
        return record.failing * 2 ** (-age_ms / _FADE_MS)

    def forget(self, names: set[str]) -> None:
        """Keep only the endpoints that are listed.

        :param names: their names.
        """
        for name in self._records.keys() - names:
            self._records.pop(name)

    def _mix(self, record: _Record, failed: int) -> None:
        record.failing += (failed - record.failing) * _WEIGHT
        record.changed_ms = self._clock.now_ms()
