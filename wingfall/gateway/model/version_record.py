"""The history of software versions as the platform's store holds it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, Protocol, final

if TYPE_CHECKING:
    from wingfall.gateway.model.object_store import StoredObject

Version = str | None
Pools = dict[str, list[Version]]

# Milliseconds for which a version is kept after it was last listed. The object
# tells nothing of times before.
KEPT_MS: Final = 60_000


@final
class VersionRecord:
    """Content of the object at one revision."""

    __slots__ = ('complete_ms', 'pools', 'revision')

    def __init__(
        self,
        *,
        revision: int | None = None,
        complete_ms: int = 0,
        pools: Pools | None = None,
    ) -> None:
        """Describe an object.

        :param revision: its revision, None if there is no object.
        :param complete_ms: for how many milliseconds before it was written it
            names all versions.
        :param pools: the versions that each pool had within ``KEPT_MS``.
        """
        self.revision = revision
        self.complete_ms = complete_ms
        self.pools = pools or {}

    @property
    def names(self) -> set[tuple[str, Version]]:
        """Pool and version of all entries."""
        return {
            (pool, version)
            for pool, versions in self.pools.items()
            for version in versions
        }

    def is_before(self, other: VersionRecord) -> bool:
        """Check if another record is of a later revision.

        :param other: the other record.
        :returns: whether both are objects, and the other one is later.
        """
        if self.revision is None or other.revision is None:
            return False
        return self.revision < other.revision


@final
class VersionReading:
    """A record as the store returned it, and when it was asked."""

    __slots__ = ('begun_ms', 'number', 'record')

    def __init__(
        self, *, number: int, begun_ms: int, record: VersionRecord
    ) -> None:
        """Describe a reading.

        :param number: number of the read in the order in which they began.
        :param begun_ms: time in milliseconds at which the read began.
        :param record: the record.
        """
        self.number = number
        self.begun_ms = begun_ms
        self.record = record


class VersionReads(Protocol):
    """Reads of the history that serve calls."""

    def read(self, timeout_ms: int) -> VersionReading | None:
        """Return the history by a read that begins from now on.

        :param timeout_ms: maximum milliseconds to wait.
        :returns: the reading, None if the store has not answered in time.
        """


def parse_record(stored: StoredObject | None) -> VersionRecord:
    """Read the history from its stored object.

    :param stored: the object, None if there is none.
    :returns: the record; without entries if another writer has left anything
        else in its place.
    """
    if stored is None:
        return VersionRecord()
    if not _is_history(stored.spec):
        return VersionRecord(revision=stored.revision)
    return VersionRecord(
        revision=stored.revision,
        complete_ms=min(stored.spec['complete_ms'], KEPT_MS),
        pools=stored.spec['pools'],
    )


def is_version(pool: Any, version: Any) -> bool:
    """Check if two fields are a pool and one of its versions.

    :param pool: the pool, as another process wrote it.
    :param version: the version, None for endpoints that tell none.
    :returns: whether both have the right type.
    """
    return isinstance(pool, str) and (
        version is None or isinstance(version, str)
    )


def _is_history(spec: Any) -> bool:
    if not isinstance(spec, dict):
        return False
    complete_ms, pools = spec.get('complete_ms'), spec.get('pools')
    if not isinstance(complete_ms, int) or not isinstance(pools, dict):
        return False
    return all(
        isinstance(versions, list)
        and all(is_version(pool, version) for version in versions)
        for pool, versions in pools.items()
    )
