"""The configuration in force at a gateway: routes, pools and customers.

Plain data with indexes for look-ups; a version is replaced as a whole. Times
are milliseconds, a tier of 0 is the highest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.objects.customer import hash_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.objects.request_class import Target

# Tier of a route that names none: the middle of 0 to 9.
DEFAULT_TIER: Final = 5


@final
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    __slots__ = ('body_bytes', 'head_bytes', 'head_ms', 'idle_ms')

    def __init__(
        self,
        *,
        head_bytes: int = 16_384,
        body_bytes: int = 4_194_304,
        head_ms: int = 5000,
        idle_ms: int = 15_000,
    ) -> None:
        """Set the bounds.

        :param head_bytes: longest request head.
        :param body_bytes: longest request body.
        :param head_ms: longest time from a head's first byte to its last.
        :param idle_ms: how long a kept connection may rest.
        """
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_ms = head_ms
        self.idle_ms = idle_ms


@final
class Pool:
    """Endpoints that serve the same thing."""

    __slots__ = (
        'backs_up',
        'copy_tokens_per_ms',
        'event_tokens',
        'memory_tokens',
        'name',
    )

    def __init__(
        self,
        *,
        name: str,
        memory_tokens: int = 0,
        copy_tokens_per_ms: float = 0,
        backs_up: bool = False,
        event_tokens: int = 0,
    ) -> None:
        """Describe a pool.

        :param name: its name.
        :param memory_tokens: prompt tokens an engine of it can hold; 0 for
            plain services.
        :param copy_tokens_per_ms: kept tokens that engines copy from each
            other in a millisecond, 0 if they don't.
        :param backs_up: whether engines keep copies of each other's runs.
        :param event_tokens: tokens of an answer that come with one event of
            its stream, 0 if unknown.
        """
        self.name = name
        self.memory_tokens = memory_tokens
        self.copy_tokens_per_ms = copy_tokens_per_ms
        self.backs_up = backs_up
        self.event_tokens = event_tokens


@final
class WeightedPool:
    """One of a route's pools and its share of the traffic."""

    __slots__ = ('pool', 'weight')

    def __init__(self, *, pool: str, weight: float) -> None:
        """Give a pool a weight.

        :param pool: name of the pool.
        :param weight: its share beside the other pools of the route.
        """
        self.pool = pool
        self.weight = weight


@final
class Route:
    """The terms under which requests to a host and path are served."""

    __slots__ = (
        'host',
        'max_attempts',
        'name',
        'path_prefix',
        'pools',
        'public',
        'repeatable',
        'resumable',
        'streaming',
        'target',
        'tier',
        'timeout_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        pools: tuple[WeightedPool, ...],
        tier: int,
        target: Target,
        timeout_ms: int,
        max_attempts: int,
        public: bool,
        repeatable: bool,
        streaming: bool,
        resumable: bool,
    ) -> None:
        """Describe a route.

        :param name: its name.
        :param host: host that requests name, in lower case.
        :param path_prefix: beginning of their path.
        :param pools: where they go.
        :param tier: priority, 0 is the highest.
        :param target: what on time means.
        :param timeout_ms: when a caller is answered at the latest.
        :param max_attempts: endpoints that one request may be sent to.
        :param public: whether it needs no API key.
        :param repeatable: whether a second run does no harm.
        :param streaming: whether answers are event streams.
        :param resumable: whether another endpoint may continue a stream.
        """
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.pools = pools
        self.tier = tier
        self.target = target
        self.timeout_ms = timeout_ms
        self.max_attempts = max_attempts
        self.public = public
        self.repeatable = repeatable
        self.streaming = streaming
        self.resumable = resumable

    @property
    def target_ms(self) -> int:
        """Time to the answer, or to a stream's first event."""
        return self.target.first_token_ms or self.target.complete_ms or 0


@final
class GatewayCustomer:
    """A customer as a gateway knows it."""

    __slots__ = ('key_hashes', 'name', 'tier')

    def __init__(
        self,
        *,
        name: str,
        key_hashes: tuple[str, ...],
        tier: int | None,
    ) -> None:
        """Describe a customer.

        :param name: its name.
        :param key_hashes: SHA-256 of each API key, in hex.
        :param tier: its own priority, 0 the highest, if any.
        """
        self.name = name
        self.key_hashes = key_hashes
        self.tier = tier


@final
class Routes:
    """One version of the configuration, indexed for look-ups."""

    __slots__ = (
        '_by_host',
        '_by_key',
        '_tiers',
        'customers',
        'limits',
        'pools',
        'routes',
        'tiers',
        'version',
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        pools: Iterable[Pool],
        customers: tuple[GatewayCustomer, ...],
        limits: CallerLimits,
    ) -> None:
        """Index a configuration.

        :param version: its version; a higher one replaces a lower one.
        :param routes: all routes.
        :param pools: all pools.
        :param customers: all customers; none means that no key is asked.
        :param limits: bounds for callers.
        """
        self.version = version
        self.routes = routes
        self.pools = {pool.name: pool for pool in pools}
        self.customers = customers
        self.limits = limits
        # Tiers of all routes, ascending, each once.
        self.tiers = tuple(sorted({route.tier for route in routes}))
        self._by_host = _index_hosts(routes)
        self._tiers = _index_tiers(routes)
        self._by_key = {
            key_hash: customer
            for customer in customers
            for key_hash in customer.key_hashes
        }

    @property
    def shortest_gaps_ms(self) -> dict[str, int]:
        """The shortest token gap in milliseconds that is asked of each pool."""
        shortest: dict[str, int] = {}
        for route in self.routes:
            gap_ms = route.target.token_gap_ms
            for entry in route.pools if gap_ms else ():
                known_ms = shortest.get(entry.pool, gap_ms)
                shortest[entry.pool] = min(known_ms, gap_ms)
        return shortest

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: host that the request names, without a port.
        :param path: its path without the query.
        :returns: the route with the longest prefix that fits, if any.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def tiers_of(self, pool: str) -> tuple[int, ...]:
        """Tell the tiers whose requests go to a pool.

        :param pool: its name.
        :returns: the tiers, the one that goes before all others first.
        """
        return self._tiers.get(pool, (0,))

    def find_customer(self, key: str) -> GatewayCustomer | None:
        """Find who holds an API key.

        :param key: the key as the caller sent it.
        :returns: its customer, if any.
        """
        return self._by_key.get(hash_key(key))


def _index_hosts(routes: tuple[Route, ...]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    for same_host in by_host.values():
        same_host.sort(key=_prefix_length, reverse=True)
    return by_host


def _index_tiers(routes: tuple[Route, ...]) -> dict[str, tuple[int, ...]]:
    tiers: dict[str, set[int]] = {}
    for route in routes:
        for entry in route.pools:
            tiers.setdefault(entry.pool, set()).add(route.tier)
    return {pool: tuple(sorted(known)) for pool, known in tiers.items()}


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
