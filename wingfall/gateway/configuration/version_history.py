"""Software versions that pools had lately, kept in the platform's store.

After the end of all gateways this object shows which versions a pool had, so
that streams can still continue in a pool that had only one. The gateways that
watch the store add a version as soon as it is listed, and streams begin there
once it is named; they remove it long after its last endpoint has left.
"""

from __future__ import annotations

import http
from typing import TYPE_CHECKING, Callable, Final, final

import gevent
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.gateway.configuration.version_reader import OBJECT_NAME
from wingfall.gateway.model.version_record import (
    KEPT_MS,
    Pools,
    Version,
    VersionRecord,
    parse_record,
)
from wingfall.log import log_event
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from gevent.event import Event

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.pool_versions import PoolVersions
    from wingfall.gateway.model.object_store import ObjectWriter
    from wingfall.metrics import Metrics

# Milliseconds beyond KEPT_MS before a version is removed: for the second
# between two looks at the list, and from the arrival of a call to its read.
_REMOVAL_MARGIN_MS: Final = 5000
_REMOVED_MS: Final = KEPT_MS + _REMOVAL_MARGIN_MS
# Milliseconds for which a gateway must have followed the list to claim them
# for the object, above the shortest time that a stream is asked for.
MIN_COMPLETE_MS: Final = 20_000
# Interval of the checks whether the object is up to date.
_CHECK_INTERVAL_MS: Final = 1000
# Maximum interval of the attempts to read the object at a start.
_MAX_READ_DELAY_MS: Final = 8000
# Maximum attempts to write a change while other gateways write too.
_MAX_ATTEMPTS: Final = 3
# Delay of a change for each gateway that precedes this one in the common order,
# so that one gateway writes it.
_RANK_DELAY_MS: Final = 300


@final
class VersionHistory:
    """Reads the object at a start, and keeps it up to date."""

    __slots__ = (
        '_announce',
        '_backoff',
        '_clock',
        '_get_followed_ms',
        '_get_rank',
        '_may_write',
        '_metrics',
        '_read_due_ms',
        '_store',
        '_unnamed_since_ms',
        '_versions',
    )

    def __init__(
        self,
        *,
        store: ObjectWriter,
        clock: Clock,
        metrics: Metrics,
        versions: PoolVersions,
        announce: Callable[[VersionRecord], None],
        may_write: Callable[[], bool],
        get_followed_ms: Callable[[], int],
        get_rank: Callable[[], int],
    ) -> None:
        """Initialize a history that was not read yet.

        :param store: store of the object.
        :param clock: source of the current time.
        :param metrics: counts the versions that wait to be named.
        :param versions: versions known to this gateway, which are updated.
        :param announce: tells the other gateways what was written.
        :param may_write: returns whether this gateway is among those that keep
            the object.
        :param get_followed_ms: returns for how many milliseconds this gateway
            has followed the list of endpoints in the store without a gap.
        :param get_rank: returns the number of gateways that precede this one.
        """
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._versions = versions
        self._announce = announce
        self._may_write = may_write
        self._get_followed_ms = get_followed_ms
        self._get_rank = get_rank
        # A store that is away is not asked by all gateways each second.
        self._backoff = Backoff(
            min_ms=_CHECK_INTERVAL_MS, max_ms=_MAX_READ_DELAY_MS
        )
        # When the object is read if no gateway tells that it was written.
        self._read_due_ms: int | None = None
        # The listed versions that the object does not name, and since when.
        self._unnamed_since_ms: dict[tuple[str, Version], int] = {}

    def run(self, stop: Event) -> None:
        """Read the object, then keep it up to date until the process ends.

        :param stop: set when the process ends.
        """
        while not self._read():
            if stop.wait(self._backoff.take_ms() / MS_PER_S):
                return
        while not stop.is_set():
            self._versions.has_new.clear()
            self._note_unnamed()
            self._update()
            self._read_if_due()
            self._note_unnamed()
            self._versions.has_new.wait(_CHECK_INTERVAL_MS / MS_PER_S)

    def _update(self) -> None:
        if not self._may_write() or self._find_change() is None:
            return
        gevent.sleep(self._get_rank() * _RANK_DELAY_MS / MS_PER_S)
        for _ in range(_MAX_ATTEMPTS):
            # Another gateway may have written the change.
            change = self._find_change() if self._read() else None
            if change is None or not self._is_conflict(change):
                return

    def _is_conflict(self, change: VersionRecord) -> bool:
        spec = {'complete_ms': change.complete_ms, 'pools': change.pools}
        written = self._store.write(OBJECT_NAME, spec, change.revision)
        is_written = isinstance(written, Success)
        if is_written:
            record = parse_record(written.unwrap())
            self._versions.adopt(record)
            self._announce(record)
        log_event(
            'versions',
            'The history of versions was written.',
            ok=is_written,
            **spec,
        )
        return (
            not is_written
            and written.failure().status == http.HTTPStatus.CONFLICT
        )

    def _read_if_due(self) -> None:
        now_ms = self._clock.now_ms()
        # A gateway of an earlier release may drop a version, and tells nobody.
        may_lack = self._versions.has_several and self._may_write()
        if not self._versions.unnamed and not may_lack:
            self._read_due_ms = None
            self._backoff.reset()
        elif self._read_due_ms is None:
            self._read_due_ms = now_ms + self._backoff.take_ms()
        elif now_ms >= self._read_due_ms:
            self._read()
            self._read_due_ms = now_ms + self._backoff.take_ms()

    def _note_unnamed(self) -> None:
        now_ms, unnamed = self._clock.now_ms(), self._versions.unnamed
        for added in unnamed - self._unnamed_since_ms.keys():
            self._unnamed_since_ms[added] = now_ms
            self._log_unnamed('A version waits to be named.', 'unnamed', added)
        for removed in self._unnamed_since_ms.keys() - unnamed:
            since_ms = self._unnamed_since_ms.pop(removed)
            self._log_unnamed(
                'A version waits no longer to be named.',
                'named' if self._versions.is_named(*removed) else 'left',
                removed,
                ms=now_ms - since_ms,
            )

    def _log_unnamed(
        self,
        sentence: str,
        reason: str,
        unnamed: tuple[str, Version],
        **fields: int,
    ) -> None:
        self._metrics.decisions.inc({'part': 'versions', 'reason': reason})
        pool, version = unnamed
        log_event(
            'versions',
            sentence,
            pool=pool,
            version=version,
            reason=reason,
            **fields,
        )

    def _find_change(self) -> VersionRecord | None:
        record = self._versions.record or VersionRecord()
        followed_ms = self._get_followed_ms()
        pools = self._list_pools(record, may_remove=followed_ms >= _REMOVED_MS)
        claims = [
            claim
            for claim in (MIN_COMPLETE_MS, KEPT_MS)
            if followed_ms >= claim
        ]
        complete_ms = max(record.complete_ms, *claims, 0)
        if (complete_ms, pools) == (record.complete_ms, record.pools):
            return None
        return VersionRecord(
            revision=record.revision, complete_ms=complete_ms, pools=pools
        )

    def _list_pools(self, record: VersionRecord, *, may_remove: bool) -> Pools:
        # All versions of the object are known here since they were read.
        known = {
            (pool, version)
            for pool, version, age_ms in self._versions.ages_ms
            if age_ms <= _REMOVED_MS
        }
        if not may_remove:
            known |= record.names
        pools: Pools = {}
        for pool, version in sorted(known, key=_sort_key):
            pools.setdefault(pool, []).append(version)
        return pools

    def _read(self) -> bool:
        answer = self._store.read(OBJECT_NAME)
        if not isinstance(answer, Success):
            return False
        self._versions.adopt(parse_record(answer.unwrap()))
        return True


def _sort_key(known: tuple[str, Version]) -> tuple[str, str, bool]:
    pool, version = known
    return pool, version or '', version is not None
