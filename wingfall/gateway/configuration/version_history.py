"""Software versions that pools had lately, kept in the platform's store.

Gateways remember which versions a pool had. After the end of all gateways this
object shows it, so that streams can still continue in a pool that had only one.
The gateways that watch the store add a version as soon as it is listed and
remove it long after the last endpoint of it has left.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Callable, Final, final

import gevent
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.log import log_event
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from gevent.event import Event

    from wingfall.gateway.knowledge.pool_versions import PoolVersions, Version
    from wingfall.gateway.model.object_store import ObjectWriter, StoredObject

_OBJECT_NAME: Final = 'pools'
# Milliseconds for which a version is kept after it was last listed. The object
# tells nothing of times before.
KEPT_MS: Final = 60_000
# Milliseconds for which a gateway must have followed the list to create the
# object, above the shortest time that a stream is asked for.
MIN_COMPLETE_MS: Final = 20_000
# Interval of the checks whether the object is up to date.
_CHECK_INTERVAL_MS: Final = 1000
# Maximum interval of the attempts to read the object at a start.
_MAX_READ_DELAY_MS: Final = 8000
# Delay of a change for each gateway that precedes this one in the common order,
# so that one gateway writes it.
_RANK_DELAY_MS: Final = 300

Pools = dict[str, list['Version']]


@final
class VersionHistory:
    """Reads the object at a start, and keeps it up to date."""

    __slots__ = (
        '_complete_ms',
        '_get_rank',
        '_may_write',
        '_pools',
        '_revision',
        '_store',
        '_versions',
    )

    def __init__(
        self,
        *,
        store: ObjectWriter,
        versions: PoolVersions,
        may_write: Callable[[], bool],
        get_rank: Callable[[], int],
    ) -> None:
        """Initialize a history that was not read yet.

        :param store: store of the object.
        :param versions: versions known to this gateway, which are updated.
        :param may_write: returns whether this gateway is among those that keep
            the object.
        :param get_rank: returns the number of gateways that precede this one.
        """
        self._store = store
        self._versions = versions
        self._may_write = may_write
        self._get_rank = get_rank
        # The object as last read or written.
        self._revision: int | None = None
        self._complete_ms = 0
        self._pools: Pools = {}
        versions.is_loading = True

    def run(self, stop: Event) -> None:
        """Read the object, then keep it up to date until the process ends.

        :param stop: set when the process ends.
        """
        # A store that is away is not asked by all gateways each second.
        backoff = Backoff(min_ms=_CHECK_INTERVAL_MS, max_ms=_MAX_READ_DELAY_MS)
        while not self._read():
            if stop.wait(backoff.take_ms() / MS_PER_S):
                return
        self._versions.merge([], self._complete_ms)
        self._versions.is_loading = False
        while not stop.is_set():
            self._versions.has_new.wait(_CHECK_INTERVAL_MS / MS_PER_S)
            self._versions.has_new.clear()
            self._update()

    def _update(self) -> None:
        if not self._may_write() or self._find_change() is None:
            return
        gevent.sleep(self._get_rank() * _RANK_DELAY_MS / MS_PER_S)
        # Another gateway may have written the change.
        change = self._find_change() if self._read() else None
        if change is None:
            return
        spec = {'complete_ms': change[0], 'pools': change[1]}
        written = self._store.write(_OBJECT_NAME, spec, self._revision)
        if isinstance(written, Success):
            self._adopt(written.unwrap())
        log_event(
            'versions',
            'The history of versions was written.',
            ok=isinstance(written, Success),
            **spec,
        )

    def _find_change(self) -> tuple[int, Pools] | None:
        complete_ms = min(self._versions.complete_ms, KEPT_MS)
        if self._revision is None and complete_ms < MIN_COMPLETE_MS:
            return None
        pools = self._list_pools(may_remove=complete_ms == KEPT_MS)
        if self._revision is not None and complete_ms < KEPT_MS:
            complete_ms = self._complete_ms
        if (complete_ms, pools) == (self._complete_ms, self._pools):
            return None
        return complete_ms, pools

    def _list_pools(self, *, may_remove: bool) -> Pools:
        known = {
            (pool, version)
            for pool, version, age_ms in self._versions.ages_ms
            if age_ms <= KEPT_MS
        }
        if not may_remove:
            known |= _list_names(self._pools)
        pools: Pools = {}
        for pool, version in sorted(known, key=_sort_key):
            pools.setdefault(pool, []).append(version)
        return pools

    def _read(self) -> bool:
        answer = self._store.read(_OBJECT_NAME)
        if not isinstance(answer, Success):
            return False
        self._adopt(answer.unwrap())
        return True

    def _adopt(self, stored: StoredObject | None) -> None:
        complete_ms, pools = _parse(stored.spec if stored else None)
        for pool, version in _list_names(pools) - _list_names(self._pools):
            # Another gateway has listed it, whatever this one has heard.
            self._versions.note(pool, version)
        self._revision = stored.revision if stored else None
        self._complete_ms = complete_ms
        self._pools = pools


def _list_names(pools: Pools) -> set[tuple[str, Version]]:
    return {
        (pool, version)
        for pool, versions in pools.items()
        for version in versions
    }


def _parse(spec: Any) -> tuple[int, Pools]:
    # Another writer may have left anything; then nothing is known.
    if not isinstance(spec, dict):
        return 0, {}
    complete_ms, pools = spec.get('complete_ms'), spec.get('pools')
    if not isinstance(complete_ms, int) or not isinstance(pools, dict):
        return 0, {}
    if not all(isinstance(each, list) for each in pools.values()):
        return 0, {}
    return min(complete_ms, KEPT_MS), pools


def _sort_key(known: tuple[str, Version]) -> tuple[str, str]:
    return known[0], known[1] or ''
