"""Software versions that pools had lately, kept in the platform's store.

After the end of all gateways this object shows which versions a pool had, so
that streams can still continue in a pool that had only one. The gateways that
watch the store add a version as soon as it is listed and remove it long after
the last endpoint of it has left.
"""

from __future__ import annotations

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

    from wingfall.gateway.knowledge.pool_versions import PoolVersions
    from wingfall.gateway.model.object_store import ObjectWriter

# Milliseconds for which a gateway must have followed the list to claim them
# for the object, above the shortest time that a stream is asked for.
MIN_COMPLETE_MS: Final = 20_000
# Interval of the checks whether the object is up to date.
_CHECK_INTERVAL_MS: Final = 1000
# Maximum interval of the attempts to read the object at a start.
_MAX_READ_DELAY_MS: Final = 8000
# Delay of a change for each gateway that precedes this one in the common order,
# so that one gateway writes it.
_RANK_DELAY_MS: Final = 300


@final
class VersionHistory:
    """Reads the object at a start, and keeps it up to date."""

    __slots__ = (
        '_get_followed_ms',
        '_get_rank',
        '_may_write',
        '_store',
        '_versions',
    )

    def __init__(
        self,
        *,
        store: ObjectWriter,
        versions: PoolVersions,
        may_write: Callable[[], bool],
        get_followed_ms: Callable[[], int],
        get_rank: Callable[[], int],
    ) -> None:
        """Initialize a history that was not read yet.

        :param store: store of the object.
        :param versions: versions known to this gateway, which are updated.
        :param may_write: returns whether this gateway is among those that keep
            the object.
        :param get_followed_ms: returns for how many milliseconds this gateway
            has followed the list of endpoints in the store without a gap.
        :param get_rank: returns the number of gateways that precede this one.
        """
        self._store = store
        self._versions = versions
        self._may_write = may_write
        self._get_followed_ms = get_followed_ms
        self._get_rank = get_rank

    def run(self, stop: Event) -> None:
        """Read the object, then keep it up to date until the process ends.

        :param stop: set when the process ends.
        """
        # A store that is away is not asked by all gateways each second.
        backoff = Backoff(min_ms=_CHECK_INTERVAL_MS, max_ms=_MAX_READ_DELAY_MS)
        while not self._read():
            if stop.wait(backoff.take_ms() / MS_PER_S):
                return
        while not stop.is_set():
            self._update()
            self._versions.has_new.wait(_CHECK_INTERVAL_MS / MS_PER_S)
            self._versions.has_new.clear()

    def _update(self) -> None:
        if not self._may_write() or self._find_change() is None:
            return
        gevent.sleep(self._get_rank() * _RANK_DELAY_MS / MS_PER_S)
        # Another gateway may have written the change.
        change = self._find_change() if self._read() else None
        if change is None:
            return
        spec = {'complete_ms': change.complete_ms, 'pools': change.pools}
        written = self._store.write(OBJECT_NAME, spec, change.revision)
        if isinstance(written, Success):
            self._versions.adopt(parse_record(written.unwrap()))
        log_event(
            'versions',
            'The history of versions was written.',
            ok=isinstance(written, Success),
            **spec,
        )

    def _find_change(self) -> VersionRecord | None:
        record = self._versions.record or VersionRecord()
        followed_ms = self._get_followed_ms()
        pools = self._list_pools(record, may_remove=followed_ms >= KEPT_MS)
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
            if age_ms <= KEPT_MS
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
