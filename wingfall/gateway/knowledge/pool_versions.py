"""Software versions that the endpoints of pools had lately.

Shows where a pool had one version for longer than a stream lives: a stream of
which nothing else is known can only have begun at that version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from gevent.event import Event

from wingfall.gateway.knowledge.stream_origins import MAX_STREAM_LIFE_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

Version = str | None
# Milliseconds for which the report of a peer at the start of a session holds
# until this gateway has a list of its own.
_MAX_REPORT_AGE_MS: Final = 10_000


@final
class PoolVersions:
    """When each version of a pool was last listed, as far back as is known."""

    __slots__ = (
        '_clock',
        '_complete_since_ms',
        '_last_listed_ms',
        '_reported',
        'has_new',
        'is_loading',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty record.

        :param clock: source of the current time.
        """
        self._clock = clock
        self._last_listed_ms: dict[str, dict[Version, int]] = {}
        # Since when no change of the list can have been missed.
        self._complete_since_ms: int | None = None
        # The same as peers reported it, and when.
        self._reported: tuple[int, int] | None = None
        # Set when a version is listed that was not known.
        self.has_new = Event()
        # Whether the history is still to be read; only its owner sets it.
        self.is_loading = False

    @property
    def complete_ms(self) -> int:
        """Milliseconds for which no change of the list was missed."""
        now_ms = self._clock.now_ms()
        if self._complete_since_ms is None:
            return now_ms - self._reported_since(now_ms)
        return now_ms - self._complete_since_ms

    @property
    def ages_ms(self) -> list[tuple[str, Version, int]]:
        """Pool and version, and milliseconds since it was last listed."""
        now_ms = self._clock.now_ms()
        return [
            (pool, version, now_ms - listed_ms)
            for pool, versions in self._last_listed_ms.items()
            for version, listed_ms in versions.items()
        ]

    def note_listed(self, endpoint: PoolEndpoint) -> None:
        """Record that an endpoint is listed, or was until now.

        :param endpoint: the endpoint.
        """
        self._note(endpoint.pool, endpoint.version, self._clock.now_ms())

    def update(
        self, listed: Iterable[PoolEndpoint], *, is_current: bool
    ) -> None:
        """Record the listed endpoints; called each second.

        :param listed: all listed endpoints.
        :param is_current: whether this gateway receives changes of the list.
        """
        for endpoint in listed:
            self.note_listed(endpoint)
        now_ms = self._clock.now_ms()
        self._forget_before(now_ms - MAX_STREAM_LIFE_MS)
        if not is_current or not self._last_listed_ms:
            self._complete_since_ms = None
        elif self._complete_since_ms is None:
            self._complete_since_ms = self._reported_since(now_ms)

    def merge(
        self, ages_ms: Iterable[tuple[str, Version, int]], complete_ms: int
    ) -> None:
        """Merge the record of a peer.

        :param ages_ms: pool, version and milliseconds since it was last listed.
        :param complete_ms: milliseconds for which the peer missed no change.
        """
        now_ms = self._clock.now_ms()
        for pool, version, age_ms in ages_ms:
            self._note(pool, version, now_ms - age_ms)
        since_ms = now_ms - complete_ms
        self._reported = (
            min(since_ms, self._reported_since(now_ms)),
            now_ms,
        )
        if self._complete_since_ms is not None:
            self._complete_since_ms = min(self._complete_since_ms, since_ms)

    def unlisted_ms(self, pool: str, version: Version) -> int | None:
        """Return how long ago a version was last listed.

        :param pool: name of the pool.
        :param version: the version.
        :returns: milliseconds, None if it was not listed lately.
        """
        listed_ms = self._last_listed_ms.get(pool, {}).get(version)
        return None if listed_ms is None else self._clock.now_ms() - listed_ms

    def has_only(self, pool: str, version: Version, life_ms: int) -> bool:
        """Check if a pool had only one version for a time.

        :param pool: name of the pool.
        :param version: the version.
        :param life_ms: the time in milliseconds.
        :returns: whether no other version was listed, as far back as that.
        """
        if self.complete_ms < life_ms:
            return False
        since_ms = self._clock.now_ms() - life_ms
        return all(
            known == version or listed_ms < since_ms
            for known, listed_ms in self._last_listed_ms.get(pool, {}).items()
        )

    def had_several(self, pool: str, within_ms: int) -> bool:
        """Check if a pool had more than one version lately.

        :param pool: name of the pool.
        :param within_ms: how far back, in milliseconds.
        :returns: whether more than one version was listed since then.
        """
        since_ms = self._clock.now_ms() - within_ms
        listed = self._last_listed_ms.get(pool, {}).values()
        return sum(listed_ms >= since_ms for listed_ms in listed) > 1

    def _reported_since(self, now_ms: int) -> int:
        if self._reported is None:
            return now_ms
        since_ms, reported_ms = self._reported
        is_recent = now_ms - reported_ms <= _MAX_REPORT_AGE_MS
        return since_ms if is_recent else now_ms

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
