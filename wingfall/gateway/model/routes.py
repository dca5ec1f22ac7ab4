"""Active configuration of a gateway: routes, pools and customers.

Data classes with indexes for lookups; a version is replaced as a whole. Times
are in milliseconds; tier 0 is the highest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.objects.customer import hash_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.objects.request_class import Target

# Tier of a route without one: the middle of 0 to 9.
DEFAULT_TIER: Final = 5


@final
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    __slots__ = ('body_bytes', 'head_bytes', 'head_ms', 'idle_ms')

    def __init__(
        self,
        *,
        head_bytes: int = 16_384,
        body_bytes: int = 4_194_304,
        head_ms: int = 5000,
        idle_ms: int = 15_000,
    ) -> None:
        """Initialize the limits.

        :param head_bytes: maximum length of a request head.
        :param body_bytes: maximum length of a request body.
        :param head_ms: maximum time from the first to the last byte of a head.
        :param idle_ms: maximum idle time of a persistent connection.
        """
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.head_ms = head_ms
        self.idle_ms = idle_ms


@final
class Pool:
    """Group of endpoints that provide the same service."""

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
        """Create a pool.

        :param name: name of the pool.
        :param memory_tokens: prompt tokens that an engine of the pool can hold;
            0 for plain services.
        :param copy_tokens_per_ms: cached tokens per millisecond that engines
            copy from each other, 0 if they don't.
        :param backs_up: whether engines store copies of each other's runs.
        :param event_tokens: tokens of an answer per event of its stream, 0 if
            unknown.
        """
        self.name = name
        self.memory_tokens = memory_tokens
        self.copy_tokens_per_ms = copy_tokens_per_ms
        self.backs_up = backs_up
        self.event_tokens = event_tokens


@final
class WeightedPool:
    """Pool of a route and its share of the traffic."""

    __slots__ = ('pool', 'weight')

    def __init__(self, *, pool: str, weight: float) -> None:
        """Create a weighted pool.

        :param pool: name of the pool.
        :param weight: share relative to the other pools of the route.
        """
        self.pool = pool
        self.weight = weight


@final
class Route:
    """Rules for serving the requests to a host and path."""

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
        """Create a route.

        :param name: name of the route.
        :param host: requested host, in lower case.
        :param path_prefix: prefix of the requested path.
        :param pools: pools that serve the requests.
        :param tier: priority, 0 is the highest.
        :param target: target times of answers.
        :param timeout_ms: maximum time to the final answer.
        :param max_attempts: maximum number of endpoints per request.
        :param public: whether requests need no API key.
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
    """Customer in the configuration of a gateway."""

    __slots__ = ('key_hashes', 'name', 'tier')

    def __init__(
        self,
        *,
        name: str,
        key_hashes: tuple[str, ...],
        tier: int | None,
    ) -> None:
        """Create a customer.

        :param name: name of the customer.
        :param key_hashes: SHA-256 of each API key, in hex.
        :param tier: priority of the customer, 0 the highest, if any.
        """
        self.name = name
        self.key_hashes = key_hashes
        self.tier = tier


@final
class Routes:
    """Version of the configuration, indexed for lookups."""

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

        :param version: version number; higher versions replace lower ones.
        :param routes: all routes.
        :param pools: all pools.
        :param customers: all customers; if empty, no API key is required.
        :param limits: limits for callers.
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
        """Shortest target token gap of each pool, in milliseconds."""
        shortest: dict[str, int] = {}
        for route in self.routes:
            gap_ms = route.target.token_gap_ms
            for entry in route.pools if gap_ms else ():
                shortest_ms = shortest.get(entry.pool, gap_ms)
                shortest[entry.pool] = min(shortest_ms, gap_ms)
        return shortest

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: requested host, without a port.
        :param path: requested path without the query.
        :returns: the route with the longest matching prefix, if any.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_tiers(self, pool: str) -> tuple[int, ...]:
        """Return the tiers of the routes to a pool.

        :param pool: name of the pool.
        :returns: the tiers, the highest priority first.
        """
        return self._tiers.get(pool, (0,))

    def find_customer(self, key: str) -> GatewayCustomer | None:
        """Find the customer with an API key.

        :param key: the key as received.
        :returns: the customer, if any.
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
    return {pool: tuple(sorted(each)) for pool, each in tiers.items()}


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
