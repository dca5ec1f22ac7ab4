"""The endpoints that a gateway knows, and whether they take new work.

Filled by the object applier alone. An entry that went may only have lapsed in
the store, which is decided here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.endpoint_lives import told_by_endpoints
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# An entry that went without notice may only have lapsed in the store. Its
# endpoint stays usable for this many milliseconds, but only where at least
# half of a pool went at once. A leaving endpoint must get nothing new two
# seconds after its entry went, and a gateway that hears of it from a peer hears
# up to 1.2 s late (revisions are told each second, asked for after 200 ms).
_LAPSE_MS: Final = 600


@final
class EndpointTable:
    """All endpoints by name, with those that went a moment ago."""

    __slots__ = (
        '_by_instance',
        '_by_name',
        '_by_pool',
        '_clock',
        '_lapsed',
        '_ready',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start empty.

        :param clock: tells how long ago an entry went.
        """
        self._clock = clock
        self._by_name: dict[str, PoolEndpoint] = {}
        # The same by the id that an endpoint keeps when it starts again.
        self._by_instance: dict[str, PoolEndpoint] = {}
        self._by_pool: dict[str, dict[str, PoolEndpoint]] = {}
        self._lapsed: dict[str, tuple[PoolEndpoint, int]] = {}
        # Those that take new work, by pool, until something changes.
        self._ready: dict[str, list[PoolEndpoint]] = {}

    @property
    def names(self) -> set[str]:
        """Names of all endpoints that are listed."""
        return set(self._by_name)

    @property
    def listed(self) -> list[PoolEndpoint]:
        """All endpoints that are listed."""
        return list(self._by_name.values())

    def find(self, name: str) -> PoolEndpoint | None:
        """Find a listed endpoint.

        :param name: its name.
        :returns: the endpoint, if it is listed.
        """
        return self._by_name.get(name)

    def put(self, endpoint: PoolEndpoint) -> None:
        """List an endpoint, or replace its entry.

        :param endpoint: the endpoint; an earlier incarnation goes with its
            entry, and a pool that the entry names no longer loses it.
        """
        known = self._by_instance.get(endpoint.instance)
        if known is not None:
            self._drop(known)
        self._lapsed.pop(endpoint.instance, None)
        self._ready.clear()
        self._by_name[endpoint.name] = endpoint
        self._by_instance[endpoint.instance] = endpoint
        self._by_pool.setdefault(endpoint.pool, {})[endpoint.name] = endpoint
        if known is None or _differs(known, endpoint):
            log_event(
                'endpoints',
                'The list has an endpoint.',
                endpoint=endpoint.name,
                pool=endpoint.pool,
                zone=endpoint.zone,
                draining=endpoint.draining,
            )

    def remove(self, instance: str) -> None:
        """Take an endpoint off the list.

        :param instance: its id.
        """
        endpoint = self._by_instance.get(instance)
        if endpoint is None:
            return
        self._ready.clear()
        self._drop(endpoint)
        if not endpoint.draining:
            until_ms = self._clock.now_ms() + _LAPSE_MS
            self._lapsed[instance] = (endpoint, until_ms)
        log_event(
            'endpoints',
            'An endpoint left the list.',
            endpoint=endpoint.name,
            pool=endpoint.pool,
            draining=endpoint.draining,
        )

    def usable(self, pool: str) -> list[PoolEndpoint]:
        """List the endpoints of a pool that take new work.

        :param pool: name of the pool.
        :returns: those listed and not draining; where at least as many
            entries went a moment ago, those as well.
        """
        ready = self._list_ready(pool)
        if not self._lapsed:
            return ready
        lapsed = self._recently_listed(pool)
        return ready + lapsed if len(lapsed) >= len(ready) else ready

    def _drop(self, endpoint: PoolEndpoint) -> None:
        self._by_instance.pop(endpoint.instance)
        self._by_name.pop(endpoint.name)
        self._by_pool[endpoint.pool].pop(endpoint.name)

    def _list_ready(self, pool: str) -> list[PoolEndpoint]:
        ready = self._ready.get(pool)
        if ready is None:
            listed = list(self._by_pool.get(pool, {}).values())
            told = told_by_endpoints(listed)
            ready = [each for each in told if not each.draining]
            self._ready[pool] = ready
        return ready

    def _recently_listed(self, pool: str) -> list[PoolEndpoint]:
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


def _differs(known: PoolEndpoint, endpoint: PoolEndpoint) -> bool:
    before = (known.name, known.pool, known.draining)
    return before != (endpoint.name, endpoint.pool, endpoint.draining)
