"""Table of the endpoints that a gateway knows and may send new work to.

Only the object applier changes the table. The table decides whether a removed
entry may only have lapsed in the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.endpoint_incarnations import select_own_entries
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# An entry removed while its endpoint was not draining may only have lapsed in
# the store. The endpoint stays usable for this time, but only where at least
# half of a pool went at once. A leaving endpoint must get no new work two
# seconds after its entry went, and a gateway that receives the change from a
# peer is up to 1.2 s late (revisions are sent each second, objects requested
# after 200 ms).
_LAPSE_GRACE_MS: Final = 600


@final
class EndpointTable:
    """The listed endpoints, and endpoints whose entries may have lapsed."""

    __slots__ = (
        '_by_instance',
        '_by_name',
        '_by_pool',
        '_clock',
        '_lapsed',
        '_ready',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty table.

        :param clock: measures the time since an entry was removed.
        """
        self._clock = clock
        self._by_name: dict[str, PoolEndpoint] = {}
        # By the id that an endpoint keeps across restarts.
        self._by_instance: dict[str, PoolEndpoint] = {}
        self._by_pool: dict[str, dict[str, PoolEndpoint]] = {}
        self._lapsed: dict[str, tuple[PoolEndpoint, int]] = {}
        # Endpoints that take new work, by pool; cleared at each change.
        self._ready: dict[str, list[PoolEndpoint]] = {}

    @property
    def names(self) -> set[str]:
        """Names of all listed endpoints."""
        return set(self._by_name)

    @property
    def listed(self) -> list[PoolEndpoint]:
        """All listed endpoints."""
        return list(self._by_name.values())

    def find(self, name: str) -> PoolEndpoint | None:
        """Return a listed endpoint.

        :param name: name of the endpoint.
        :returns: the endpoint, or None if it is not listed.
        """
        return self._by_name.get(name)

    def find_instance(self, instance: str) -> PoolEndpoint | None:
        """Return the newest incarnation of a listed endpoint.

        :param instance: id of the endpoint, the same across restarts.
        :returns: the endpoint, or None if it is not listed.
        """
        return self._by_instance.get(instance)

    def put(self, endpoint: PoolEndpoint) -> None:
        """Add an endpoint or replace its entry.

        :param endpoint: the endpoint; an earlier incarnation is removed, also
            from a pool that the new entry no longer names.
        """
        previous = self._by_instance.get(endpoint.instance)
        if previous is not None:
            self._unlist(previous)
        self._lapsed.pop(endpoint.instance, None)
        self._ready.clear()
        self._by_name[endpoint.name] = endpoint
        self._by_instance[endpoint.instance] = endpoint
        self._by_pool.setdefault(endpoint.pool, {})[endpoint.name] = endpoint
        if previous is None or _is_changed(previous, endpoint):
            log_event(
                'endpoints',
                'The list has an endpoint.',
                endpoint=endpoint.name,
                pool=endpoint.pool,
                zone=endpoint.zone,
                address=endpoint.address,
                draining=endpoint.draining,
                version=endpoint.version,
            )

    def remove(self, instance: str) -> None:
        """Remove an endpoint.

        :param instance: id of the endpoint, the same across restarts.
        """
        endpoint = self._by_instance.get(instance)
        if endpoint is None:
            return
        self._ready.clear()
        self._unlist(endpoint)
        if not endpoint.draining:
            until_ms = self._clock.now_ms() + _LAPSE_GRACE_MS
            self._lapsed[instance] = (endpoint, until_ms)
        log_event(
            'endpoints',
            'An endpoint left the list.',
            endpoint=endpoint.name,
            pool=endpoint.pool,
            draining=endpoint.draining,
        )

    def usable(self, pool: str) -> list[PoolEndpoint]:
        """Return the endpoints of a pool that take new work.

        :param pool: name of the pool.
        :returns: the listed endpoints that are not draining, and the lapsed
            endpoints where these are at least as many.
        """
        ready = self._list_ready(pool)
        if not self._lapsed:
            return ready
        lapsed = self._list_lapsed(pool)
        return ready + lapsed if len(lapsed) >= len(ready) else ready

    def _unlist(self, endpoint: PoolEndpoint) -> None:
        self._by_instance.pop(endpoint.instance)
        self._by_name.pop(endpoint.name)
        self._by_pool[endpoint.pool].pop(endpoint.name)

    def _list_ready(self, pool: str) -> list[PoolEndpoint]:
        ready = self._ready.get(pool)
        if ready is None:
            listed = list(self._by_pool.get(pool, {}).values())
            own_entries = select_own_entries(listed)
            ready = [each for each in own_entries if not each.draining]
            self._ready[pool] = ready
        return ready

    def _list_lapsed(self, pool: str) -> list[PoolEndpoint]:
        now_ms = self._clock.now_ms()
        self._lapsed = {
            name: (endpoint, until_ms)
            for name, (endpoint, until_ms) in self._lapsed.items()
            if until_ms > now_ms
        }
        return [
            endpoint
            for endpoint, _until_ms in self._lapsed.values()
            if endpoint.pool == pool
        ]


def _is_changed(previous: PoolEndpoint, endpoint: PoolEndpoint) -> bool:
    return _describe_state(previous) != _describe_state(endpoint)


def _describe_state(endpoint: PoolEndpoint) -> tuple[str | bool | None, ...]:
    return (
        endpoint.name,
        endpoint.pool,
        endpoint.address,
        endpoint.draining,
        endpoint.version,
    )
