"""Origin of a stream of which no record is left, by the pool's only version.

What this gateway knows may be outdated, so that it can only contradict. That a
pool had no other version within the life of a stream is told by the history in
the store alone, by a read that begins after the call has arrived. The read also
brings the versions that this gateway has not heard of.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from wingfall.gateway.model.stream_origin import StreamOrigin
from wingfall.gateway.model.version_record import KEPT_MS

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.version_record import (
        VersionReading,
        VersionRecord,
    )
    from wingfall.gateway.state import GatewayState


@final
class OnlyVersion:
    """What the history tells of the origin of a stream."""

    __slots__ = ('origin', 'pool', 'reading', 'reason')

    def __init__(
        self,
        *,
        reason: str,
        pool: str = '',
        origin: StreamOrigin | None = None,
        reading: VersionReading | None = None,
    ) -> None:
        """Create a decision.

        :param reason: why it was made.
        :param pool: name of the pool, empty if there are several.
        :param origin: the origin, None if it stays unknown.
        :param reading: the history, None if it was not read.
        """
        self.reason = reason
        self.pool = pool
        self.origin = origin
        self.reading = reading

    def describe(self, now_ms: int) -> dict[str, Any]:
        """Return what decided, as fields of a log line.

        :param now_ms: current time in milliseconds.
        :returns: age and content of the history, empty if it was not read.
        """
        if self.reading is None:
            return {}
        record = self.reading.record
        return {
            'read_age_ms': now_ms - self.reading.begun_ms,
            'complete_ms': record.complete_ms,
            'versions': len(record.pools.get(self.pool, ())),
            'revision': record.revision,
        }


def find_only_version(
    state: GatewayState, call: Call, life_ms: int, timeout_ms: int
) -> OnlyVersion:
    """Find the only version at which a stream can have begun.

    :param state: state of the gateway.
    :param call: the call that takes the stream up.
    :param life_ms: milliseconds within which the stream began.
    :param timeout_ms: maximum milliseconds to wait for the history.
    :returns: the origin, or the reason why it is unknown.
    """
    # The stream may have begun at any pool of the route.
    if len(call.route.pools) != 1:
        return OnlyVersion(reason='several_pools')
    pool = call.route.pools[0].pool
    if life_ms > KEPT_MS:
        return OnlyVersion(reason='long_life')
    if len(_list_known(state, pool, life_ms)) > 1:
        return OnlyVersion(reason='several_versions')
    reads = state.knowledge.versions.reads
    reading = reads.read(timeout_ms) if reads else None
    if reading is None:
        return OnlyVersion(reason='not_read')
    reason = _find_doubt(state, pool, life_ms, reading.record)
    if reason:
        return OnlyVersion(reason=reason, pool=pool, reading=reading)
    origin = StreamOrigin(
        pool=pool,
        version=reading.record.pools[pool][0],
        is_only_version=True,
    )
    return OnlyVersion(
        reason='only_version', pool=pool, origin=origin, reading=reading
    )


def has_one_version(state: GatewayState, call: Call, life_ms: int) -> bool:
    """Check if a pool seems to have had one version, which decides nothing.

    :param state: state of the gateway.
    :param call: the call that takes a stream up.
    :param life_ms: milliseconds within which the stream began.
    :returns: whether the history as last known names one version.
    """
    record = state.knowledge.versions.record
    if record is None or len(call.route.pools) != 1:
        return False
    return not _find_doubt(state, call.route.pools[0].pool, life_ms, record)


def _find_doubt(
    state: GatewayState, pool: str, life_ms: int, record: VersionRecord
) -> str:
    if record.complete_ms < life_ms:
        return 'short_history'
    named = set(record.pools.get(pool, ()))
    if len(named) != 1:
        return 'several_versions' if named else 'no_version'
    # The history keeps a version for longer than this, so that one which it
    # lacks was never written. Streams may begin there for as long as a gateway
    # has not heard that it left.
    return 'other_version' if _list_known(state, pool, KEPT_MS) - named else ''


def _list_known(
    state: GatewayState, pool: str, life_ms: int
) -> set[str | None]:
    versions = state.knowledge.versions.list_known(pool, life_ms)
    return versions | {
        each.version for each in state.knowledge.table.usable(pool)
    }
