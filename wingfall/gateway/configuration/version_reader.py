"""Reads of the version history for calls, one read for all that wait.

A stream of unknown origin continues only by what the store says after the call
has arrived: whatever this gateway knew before may be outdated.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

import gevent
from gevent.event import Event
from gevent.pool import Pool
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.gateway.model.version_record import VersionReading, parse_record
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.pool_versions import PoolVersions
    from wingfall.gateway.model.object_store import ObjectWriter

OBJECT_NAME: Final = 'pools'
# Fraction of the store's reads that all gateways together use.
_READS_FRACTION: Final = 0.1
# Milliseconds without an answer after which another read begins beside, so that
# one lost answer does not use up the time for which calls wait.
_MAX_ANSWER_MS: Final = 200
# Maximum reads at a time.
_MAX_READS: Final = 3
# Interval of the reads after a failed one, which doubles with each failure.
_MIN_RETRY_MS: Final = 100
_MAX_RETRY_MS: Final = 1000


@final
class VersionReader:
    """Reads the object while calls wait for it, at a bounded rate."""

    __slots__ = (
        '_backoff',
        '_begun_count',
        '_clock',
        '_finished',
        '_get_gateway_count',
        '_is_running',
        '_latest',
        '_next_ms',
        '_note_changes',
        '_reads',
        '_reads_per_s',
        '_store',
        '_versions',
        '_waiting_count',
    )

    def __init__(
        self,
        *,
        store: ObjectWriter,
        clock: Clock,
        versions: PoolVersions,
        note_changes: Callable[[], bool],
        reads_per_s: float,
        get_gateway_count: Callable[[], int],
    ) -> None:
        """Initialize a reader that has read nothing.

        :param store: store of the object.
        :param clock: source of the current time.
        :param versions: versions known to this gateway, which are updated.
        :param note_changes: reads from the store, and records, the versions of
            endpoints that this gateway has not heard of; returns whether the
            store has answered.
        :param reads_per_s: reads a second that the store takes of all gateways.
        :param get_gateway_count: returns the number of gateways.
        """
        self._store = store
        self._clock = clock
        self._versions = versions
        self._note_changes = note_changes
        self._reads_per_s = reads_per_s * _READS_FRACTION
        self._get_gateway_count = get_gateway_count
        self._backoff = Backoff(min_ms=_MIN_RETRY_MS, max_ms=_MAX_RETRY_MS)
        self._reads = Pool(_MAX_READS)
        self._begun_count = 0
        self._next_ms = clock.now_ms()
        self._latest: VersionReading | None = None
        self._waiting_count = 0
        self._is_running = False
        # Set when the next read ends, and then replaced.
        self._finished = Event()

    def read(self, timeout_ms: int) -> VersionReading | None:
        """Return the history by a read that begins from now on.

        :param timeout_ms: maximum milliseconds to wait.
        :returns: the reading, None if the store has not answered in time.
        """
        # A read that is under way may have been answered before this moment.
        first = self._begun_count + 1
        until_ms = self._clock.now_ms() + timeout_ms
        self._waiting_count += 1
        try:
            return self._await_reading(first, until_ms)
        finally:
            self._waiting_count -= 1

    def _await_reading(
        self, first: int, until_ms: int
    ) -> VersionReading | None:
        if not self._is_running:
            self._is_running = True
            gevent.spawn(self._run)
        while True:
            latest = self._latest
            if latest is not None and latest.number >= first:
                return latest
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return None
            self._finished.wait(left_ms / MS_PER_S)

    def _run(self) -> None:
        try:
            while self._waiting_count:
                wait_ms = self._next_ms - self._clock.now_ms()
                if wait_ms > 0:
                    gevent.sleep(wait_ms / MS_PER_S)
                self._reads.spawn(self._read_once).join(
                    _MAX_ANSWER_MS / MS_PER_S
                )
        finally:
            self._is_running = False

    def _read_once(self) -> None:
        number = self._begun_count + 1
        self._begun_count = number
        begun_ms = self._clock.now_ms()
        gateways = max(1, self._get_gateway_count())
        self._next_ms = begun_ms + int(MS_PER_S * gateways / self._reads_per_s)
        changes = gevent.spawn(self._note_changes)
        answer = self._store.read(OBJECT_NAME)
        if changes.get() and isinstance(answer, Success):
            self._backoff.reset()
            record = parse_record(answer.unwrap())
            self._versions.adopt(record)
            self._note_reading(
                VersionReading(number=number, begun_ms=begun_ms, record=record)
            )
        else:
            retry_ms = self._clock.now_ms() + self._backoff.take_ms()
            self._next_ms = max(self._next_ms, retry_ms)
        finished = self._finished
        self._finished = Event()
        finished.set()
        # The calls that this read serves go on before the next one begins.
        gevent.sleep(0)

    def _note_reading(self, reading: VersionReading) -> None:
        latest = self._latest
        if latest is None or latest.number < reading.number:
            self._latest = reading
