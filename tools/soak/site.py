"""The site of a soak: gateway processes, stand-ins, and links between them."""

from __future__ import annotations

import itertools
import os
import pathlib
import socket
import sys
import time
from typing import TYPE_CHECKING, Any, Callable, Final, final

import yaml
from gevent.lock import BoundedSemaphore, RLock

from standins.link import Link
from standins.object_store import ObjectStoreStandIn
from standins.pool_server import PoolServerStandIn
from standins.serving import start_server
from tools.fleet import HOST, Process
from tools.soak.peer_links import PeerLinks
from tools.soak.retry_bound import RetryBound
from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from standins.duty_platform import DutyPlatformStandIn

STEADY_KEY: Final = 'key-that-stays'
# Gateways are spread over them, so that some speak by relays.
ZONES: Final = ('a', 'b')
POOLS: Final = ('plain', 'engines')
EVENTS: Final = 6
# Requests on it end the engines that run them, in a soak that has such.
CRASH_ROUTE: Final = 'crash'
# How the routes of prompts begin that have a part which ends engines.
BAD_PROMPT_ROUTE: Final = 'stream/bad-'
# How the pools begin that are released beside partitions; each has a route of
# the same name.
RELEASED_POOL: Final = 'released-'
FIRST_VERSION: Final = 'v1'
_HISTORY_MS: Final = 60_000
_SLOTS: Final = 8
# Retry budget of the gateways, unless a soak changes it.
_RETRY_BOUND: Final = {'ratio': 0.2, 'slack': 100, 'window_s': 10}
_FIRST_PORT: Final = 20_000
# Four for each gateway, of which a soak has 29 at most.
_BLOCK_PORTS: Final = 120
_BLOCKS: Final = 100
_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent.parent
_MEMORY_TOKENS: Final = 100_000


@final
class Server:
    """An endpoint stand-in, its link and what was told of it."""

    def __init__(
        self,
        *,
        name: str,
        pool: str,
        arm: Callable[[Server], None],
        version: str,
        has_small_buffers: bool = False,
    ) -> None:
        """Start it.

        :param name: its id, which it keeps if it starts again.
        :param pool: its pool.
        :param arm: what is done to its stand-in before each start.
        :param version: version of its software.
        :param has_small_buffers: whether its link holds little of what is sent.
        """
        self.name = name
        self.pool = pool
        self.arm = arm
        self.version = version
        # Whether its entry names the version.
        self.names_version = True
        self.standin = PoolServerStandIn(name=name)
        self.set_up()
        self.link = Link(
            target=self.standin.address, has_small_buffers=has_small_buffers
        )
        self.draining_since_s: float | None = None
        self.alive = True
        self.born_ms = int(time.time() * MS_PER_S)
        # One fault at a time starts it again or spoils its entry.
        self.lock = BoundedSemaphore()

    def set_up(self) -> None:
        """Have the stand-in answer as all of a soak do."""
        self.standin.events = EVENTS
        self.standin.event_ms = 40
        self.standin.delay_ms = 30
        self.standin.version = self.version
        self.arm(self)


@final
class SoakSite:
    """All parts of one soak; it ends only what it started."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        gateways: int,
        servers: int,
        changes: dict[str, Any] | None = None,
        tells_starts: bool = False,
        duty_platform: DutyPlatformStandIn | None = None,
        earlier: pathlib.Path | None = None,
        versions: tuple[str, ...] = (FIRST_VERSION,),
        small_link_buffers: bool = False,
        released_pools: int = 0,
        cuts_peers: bool = False,
    ) -> None:
        """Start everything and wait until the gateways listen.

        :param folder: for settings and logs.
        :param gateways: how many gateway processes.
        :param servers: how many endpoints in each pool.
        :param changes: settings of the gateways that differ.
        :param tells_starts: whether entries tell when an endpoint started.
        :param earlier: the folder of the version that gateways begin with,
            None for this one.
        :param duty_platform: takes what one gateway does for all, None without
            duties.
        :param versions: versions of the endpoints' software; each pool has
            about the same number of each.
        :param small_link_buffers: whether the links of endpoints hold little of
            what is sent over them.
        :param released_pools: more pools of engines, of which the gateways
            know that they had one version for long.
        :param cuts_peers: whether gateways reach each other over links.
        """
        self._folder = folder
        self.tells_starts = tells_starts
        self.versions = versions
        self._small_link_buffers = small_link_buffers
        # What is done to each endpoint before it is listed.
        self.arm: Callable[[Server], None] = _leave_as_it_is
        self._changes = {'resend': _RETRY_BOUND, **(changes or {})}
        # The bound of the retries that a pool gets.
        self.retry_bound = RetryBound(**self._changes['resend'])
        self.duty_platform = duty_platform
        self._earlier = earlier
        # From when to when gateways of two versions ran.
        self.mixed_s: list[tuple[float, float]] = []
        self._guard = _claim_block()
        self._ports = _ports_after(self._guard)
        self._numbers = itertools.count()
        self.store = ObjectStoreStandIn()
        self._store_server = start_server(self.store.app)
        self.servers: list[Server] = []
        self.keys = [STEADY_KEY]
        self.revoked_s: dict[str, float] = {}
        # From when to when the store or the way to it was disturbed.
        self.store_disturbed: list[tuple[float, float]] = []
        # When requests ended engines, by their targets.
        self.crashed_s: dict[str, list[float]] = {}
        # The same by the parts of their prompts that do so.
        self.part_crashed_s: dict[str, list[float]] = {}
        self.version = 0
        self.released_pools = [
            f'{RELEASED_POOL}{number}' for number in range(released_pools)
        ]
        # Routes that were added, and when they came in force at the store.
        self.added_s: dict[str, float] = {}
        self.write_config()
        for pool in POOLS:
            for _server in range(servers):
                self.add_server(pool)
        if released_pools:
            self._list_released_pools()
        self.store_links: dict[str, Link] = {}
        self.gateways: dict[str, Process] = {}
        # One fault at a time starts or ends a gateway.
        self.held: dict[str, RLock] = {}
        # When gateways were disturbed otherwise than by a planned stop.
        self.disturbed: dict[str, list[float]] = {}
        self._peers = [
            f'{HOST}:{next(self._ports)}' for _gateway in range(gateways)
        ]
        # How gateways reach each other, None if they do so directly.
        self._peer_links = self._link_peers() if cuts_peers else None
        for number in range(gateways):
            self._start_gateway(number)

    @property
    def peer_links(self) -> PeerLinks:
        """How gateways reach each other, where they do so over links."""
        if self._peer_links is None:
            raise ValueError('the gateways reach each other directly')
        return self._peer_links

    def choose_version(self, name: str, *, earlier: bool) -> None:
        """Choose the version of which a gateway is when it starts next.

        :param name: the gateway.
        :param earlier: whether it is the earlier one.
        """
        gateway = self.gateways[name]
        use_earlier = earlier and self._earlier is not None
        gateway.folder = self._earlier if use_earlier else _ROOT
        gateway.command = _command(self._settings_path(name, use_earlier))

    def write_config(self) -> None:
        """Write the configuration with the next version."""
        self.version += 1
        routes = [
            _route('safe', 'plain', kind='safe'),
            _route('unsafe', 'plain', kind='unsafe'),
            _route('stream', 'engines', kind='stream', resumable=True),
            _route('oneway', 'engines', kind='stream'),
            _route(CRASH_ROUTE, 'engines', kind='stream', resumable=True),
            *(_route(name, 'plain', kind='safe') for name in self.added_s),
            *(
                _route(name, name, kind='stream', resumable=True)
                for name in self.released_pools
            ),
        ]
        services = [
            {'name': 'plain', 'health_path': '/health'},
            *(
                {
                    'name': name,
                    'health_path': '/health',
                    'engine': {
                        'slots': _SLOTS,
                        'kv_capacity_tokens': _MEMORY_TOKENS,
                    },
                }
                for name in ('engines', *self.released_pools)
            ),
        ]
        spec = {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': {},
            'tenants': [{'name': 'oslo', 'api_keys': list(self.keys)}],
        }
        self.store.put('config', 'main', spec)

    def add_routes(self, count: int) -> None:
        """Write a configuration with more routes.

        :param count: how many more.
        """
        first = len(self.added_s)
        now_s = time.monotonic()
        for number in range(first, first + count):
            self.added_s[f'added-{number}'] = now_s
        self.write_config()

    def add_server(self, pool: str, version: str | None = None) -> Server:
        """Start an endpoint and list it.

        :param pool: its pool.
        :param version: version of its software, by default the one of which
            the pool has the fewest.
        :returns: the endpoint.
        """
        server = Server(
            name=f'server-{next(self._numbers)}',
            pool=pool,
            arm=self.arm,
            version=version or self._rarest_version(pool),
            has_small_buffers=self._small_link_buffers,
        )
        self.servers.append(server)
        self.list_server(server, 'ready')
        return server

    def list_server(self, server: Server, state: str) -> None:
        """Write an endpoint's entry.

        :param server: the endpoint.
        :param state: ``ready`` or ``draining``.
        """
        self.store.put('servers', server.name, self.entry(server, state))

    def entry(self, server: Server, state: str) -> dict[str, Any]:
        """Make an endpoint's entry.

        :param server: the endpoint.
        :param state: ``ready`` or ``draining``.
        :returns: what it says.
        """
        told: dict[str, Any] = {}
        if self.tells_starts:
            told['born'] = server.born_ms
        if server.names_version:
            told['version'] = server.version
        return {
            'service': server.pool,
            'address': server.link.address,
            'zone': ZONES[self.servers.index(server) % len(ZONES)],
            'slots': _SLOTS,
            'state': state,
            **told,
        }

    def listed(self, pool: str) -> list[Server]:
        """List the endpoints of a pool that take new work.

        :param pool: the pool.
        :returns: the endpoints.
        """
        return [
            server
            for server in self.servers
            if server.pool == pool
            and server.alive
            and server.draining_since_s is None
        ]

    def pick_listed(self, pool: str, chance: random.Random) -> Server:
        """Draw an endpoint that takes new work.

        :param pool: its pool, or any if all endpoints of it have crashed.
        :param chance: what it is drawn by.
        :returns: the endpoint.
        """
        plain, _engines = POOLS
        return chance.choice(self.listed(pool) or self.listed(plain))

    def listed_versions(self, pool: str) -> list[str]:
        """List the versions of the endpoints that take new work.

        :param pool: the pool.
        :returns: a version for each endpoint.
        """
        return [server.version for server in self.listed(pool)]

    def disturb(self, gateway: str) -> None:
        """Note that a gateway was disturbed.

        :param gateway: its name.
        """
        self.disturbed.setdefault(gateway, []).append(time.monotonic())

    def heal(self) -> None:
        """End all failures."""
        self.store.script = {}
        for link in self.store_links.values():
            link.heal()
        for server in self.servers:
            server.link.heal()
            server.standin.faults = []
            server.standin.signals.limit = ''
            server.standin.signals.rest = ''

    def close(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways.values():
            if gateway.child.poll() is None:
                gateway.kill()
        for server in self.servers:
            server.link.close()
            server.standin.stop()
        for link in self.store_links.values():
            link.close()
        if self._peer_links is not None:
            self._peer_links.close()
        self._store_server.stop()
        self._guard.close()

    def _rarest_version(self, pool: str) -> str:
        return min(self.versions, key=self.listed_versions(pool).count)

    def _start_gateway(self, number: int) -> None:
        name = f'gateway-{number}'
        store_address = f'{HOST}:{self._store_server.port}'
        self.store_links[name] = Link(target=store_address)
        self.held[name] = RLock()
        port = next(self._ports)
        settings = {
            'name': name,
            'zone': ZONES[number % len(ZONES)],
            'callers': f'{HOST}:{port}',
            'readiness': f'{HOST}:{next(self._ports)}',
            'admin': {'host': HOST, 'port': next(self._ports)},
            'peers': self._describe_peers(number),
            'store': {'address': self.store_links[name].address},
            **self._changes,
        }
        earlier = self._earlier is not None
        for is_earlier in (True, False):
            if is_earlier:
                known = {**settings}
                # What the earlier version did not know.
                known.pop('duties', None)
            else:
                known = settings
            path = self._settings_path(name, is_earlier)
            path.write_text(yaml.safe_dump(known), 'utf-8')
        self.gateways[name] = Process(
            name=name,
            log=self._folder / f'{name}.log',
            command=_command(self._settings_path(name, earlier)),
            port=port,
            own_session=True,
            folder=self._earlier or _ROOT,
        )

    def _list_released_pools(self) -> None:
        for pool in self.released_pools:
            for _server in range(2):
                self.add_server(pool, FIRST_VERSION)
        versions = {pool: [FIRST_VERSION] for pool in self.released_pools}
        for pool in POOLS:
            versions[pool] = list(self.versions)
        self.store.put(
            'wingfall-versions',
            'pools',
            {'complete_ms': _HISTORY_MS, 'pools': versions},
        )

    def _link_peers(self) -> PeerLinks:
        return PeerLinks(
            listening={
                f'gateway-{number}': address
                for number, address in enumerate(self._peers)
            }
        )

    def _describe_peers(self, number: int) -> dict[str, Any]:
        listen = self._peers[number]
        if self._peer_links is None:
            return {'listen': listen, 'seeds': self._peers[:3]}
        announced = [
            self._peer_links.address(f'gateway-{each}')
            for each in range(len(self._peers))
        ]
        return {
            'listen': listen,
            'announce': announced[number],
            'seeds': announced[:3],
        }

    def _settings_path(self, name: str, earlier: bool) -> pathlib.Path:
        suffix = 'earlier.yaml' if earlier else 'yaml'
        return self._folder / f'{name}.{suffix}'


def _leave_as_it_is(_server: Server) -> None:
    """Change nothing at an endpoint."""


def _command(settings: pathlib.Path) -> tuple[str, ...]:
    gateway = (sys.executable, '-m', 'wingfall.gateway')
    return (*gateway, '--settings', str(settings))


def _claim_block() -> socket.socket:
    # Gateways take their ports late and again after a restart, so each soak
    # that runs at the same time has a block of its own, which it holds by
    # listening on the first port of it.
    taken = OSError('all blocks of ports are in use')
    for turn in range(_BLOCKS):
        block = (os.getpid() + turn) % _BLOCKS
        first = _FIRST_PORT + block * _BLOCK_PORTS
        try:
            guard = socket.create_server((HOST, first))
        except OSError as error:
            taken = error
            continue
        if _are_free(_ports_after(guard)):
            return guard
        guard.close()
    raise taken


def _are_free(ports: Iterator[int]) -> bool:
    # Gateways of a soak that was killed go on, while their block is free.
    for port in ports:
        try:
            socket.create_server((HOST, port)).close()
        except OSError:
            return False
    return True


def _ports_after(guard: socket.socket) -> Iterator[int]:
    first = guard.getsockname()[1]
    return iter(range(first + 1, first + _BLOCK_PORTS))


def _route(name: str, pool: str, **changes: Any) -> dict[str, Any]:
    return {
        'name': name,
        'host': 'site.example',
        'path_prefix': f'/{name}/',
        'service': pool,
        'timeout_ms': 4000,
        'target_latency_ms': 500,
        'priority': 2,
        'max_attempts': 2,
        'public': False,
        'resumable': False,
        **changes,
    }
