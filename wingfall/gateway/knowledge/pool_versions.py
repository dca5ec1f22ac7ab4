"""Software versions that the endpoints of pools had lately.

Shows where a pool had another version within the life of a stream. That it had
none is never inferred from here, since this gateway may not have heard of it.
Also knows which versions the history in the store names, so that streams begin
only at these.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from gevent.event import Event

from wingfall.gateway.knowledge.stream_origins import MAX_STREAM_LIFE_MS
from wingfall.gateway.model.version_record import (
    KEPT_MS,
    Version,
    VersionReads,
    VersionRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Milliseconds since a version was last listed after which it no longer counts
# as named: the history drops it after twice this time.
_MAX_NAMED_MS: Final = KEPT_MS // 2


@final
class PoolVersions:
    """When each version of a pool was last listed, as far back as is known."""

    __slots__ = (
        '_clock',
        '_last_listed_ms',
        '_named',
        '_unnamed',
        'has_new',
        'reads',
        'record',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty record.

        :param clock: source of the current time.
        """
        self._clock = clock
        self._last_listed_ms: dict[str, dict[Version, int]] = {}
        # Pools and versions that the store's object names, as known here.
        self._named: set[tuple[str, Version]] = set()
        # The versions listed lately that it does not name, by pool.
        self._unnamed: dict[str, set[Version]] = {}
        # Set when a version is listed that was not known or named, and when
        # one that was not named is, or has left.
        self.has_new = Event()
        # The latest known content of the store's object, None before it was
        # read.
        self.record: VersionRecord | None = None
        # Reads the store's object; only the application sets it.
        self.reads: VersionReads | None = None

    @property
    def ages_ms(self) -> list[tuple[str, Version, int]]:
        """Pool and version, and milliseconds since it was last listed."""
        now_ms = self._clock.now_ms()
        return [
            (pool, version, now_ms - listed_ms)
            for pool, versions in self._last_listed_ms.items()
            for version, listed_ms in versions.items()
        ]

    @property
    def unnamed(self) -> set[tuple[str, Version]]:
        """Pools and versions listed lately that the history lacks."""
        return {
            (pool, version)
            for pool, versions in self._unnamed.items()
            for version in versions
        }

    @property
    def has_several(self) -> bool:
        """Whether a pool had several versions within ``KEPT_MS``."""
        return any(
            len(self.list_known(pool, KEPT_MS)) > 1
            for pool in self._last_listed_ms
        )

    @property
    def awaits_history(self) -> bool:
        """Whether a pool has several versions, and the history is unknown."""
        if self.record is not None:
            return False
        return any(len(each) > 1 for each in self._unnamed.values())

    def note_listed(self, endpoint: PoolEndpoint) -> None:
        """Record that an endpoint is listed, or was until now.

        :param endpoint: the endpoint.
        """
        pool, version = endpoint.pool, endpoint.version
        self._note(pool, version, self._clock.now_ms())
        if self.is_named(pool, version):
            return
        unnamed = self._unnamed.setdefault(pool, set())
        if version not in unnamed:
            unnamed.add(version)
            self.has_new.set()

    def update(self, listed: Iterable[PoolEndpoint]) -> None:
        """Record the listed endpoints; called each second.

        :param listed: all listed endpoints.
        """
        for endpoint in listed:
            self.note_listed(endpoint)
        self._forget_before(self._clock.now_ms() - MAX_STREAM_LIFE_MS)
        self._named = self._select_recent(self._named)
        # An endpoint may serve for a while after its entry was lost.
        self._retain_unnamed(self._select_recent(self.unnamed))

    def adopt(self, record: VersionRecord) -> None:
        """Adopt the content of the store's object.

        :param record: the content; ignored if a later one is known.
        """
        known = self.record or VersionRecord()
        if record.is_before(known):
            return
        # Another gateway has listed what is new there, whatever this one has
        # heard.
        for pool, version in record.names - known.names:
            self._note(pool, version, self._clock.now_ms())
        self.record = record
        self._named = record.names
        self._retain_unnamed(self.unnamed - self._named)

    def is_named(self, pool: str, version: Version) -> bool:
        """Check if the history names a version, as far as is known here.

        :param pool: name of the pool.
        :param version: the version.
        :returns: whether a stream that begins there can be taken up.
        """
        return (pool, version) in self._named

    def prefer_named(
        self, pool: str, endpoints: list[PoolEndpoint]
    ) -> list[PoolEndpoint]:
        """Leave out endpoints of versions that the history does not name.

        :param pool: name of the pool.
        :param endpoints: endpoints of the pool.
        :returns: the others, all if there are no others.
        """
        unnamed = self._unnamed.get(pool)
        if not unnamed:
            return endpoints
        named = [each for each in endpoints if each.version not in unnamed]
        return named or endpoints

    def merge(self, ages_ms: Iterable[tuple[str, Version, int]]) -> None:
        """Merge the versions that a peer remembers.

        :param ages_ms: pool, version and milliseconds since it was last listed.
        """
        now_ms = self._clock.now_ms()
        for pool, version, age_ms in ages_ms:
            self._note(pool, version, now_ms - age_ms)

    def unlisted_ms(self, pool: str, version: Version) -> int | None:
        """Return how long ago a version was last listed.

        :param pool: name of the pool.
        :param version: the version.
        :returns: milliseconds, None if it was not listed lately.
        """
        listed_ms = self._last_listed_ms.get(pool, {}).get(version)
        return None if listed_ms is None else self._clock.now_ms() - listed_ms

    def list_known(self, pool: str, within_ms: int) -> set[Version]:
        """List the versions that a pool is known to have had.

        :param pool: name of the pool.
        :param within_ms: milliseconds before now.
        :returns: the versions that were listed within that time.
        """
        since_ms = self._clock.now_ms() - within_ms
        return {
            version
            for version, listed_ms in self._last_listed_ms.get(pool, {}).items()
            if listed_ms >= since_ms
        }

    def _retain_unnamed(self, retained: set[tuple[str, Version]]) -> None:
        for pool, version in self.unnamed - retained:
            self._unnamed[pool].remove(version)
            self.has_new.set()

    def _select_recent(
        self, known: set[tuple[str, Version]]
    ) -> set[tuple[str, Version]]:
        recent = {
            (pool, version)
            for pool, version, age_ms in self.ages_ms
            if age_ms <= _MAX_NAMED_MS
        }
        return known & recent

    def _forget_before(self, since_ms: int) -> None:
        for pool, versions in self._last_listed_ms.items():
            self._last_listed_ms[pool] = {
                version: listed_ms
                for version, listed_ms in versions.items()
                if listed_ms >= since_ms
            }

    def _note(self, pool: str, version: Version, listed_ms: int) -> None:
        versions = self._last_listed_ms.setdefault(pool, {})
        if version not in versions:
            self.has_new.set()
        versions[version] = max(listed_ms, versions.get(version, listed_ms))
