"""A site of gateways and stand-ins that run in the test's process."""

from __future__ import annotations

import socket
from types import SimpleNamespace
from typing import Any, Final, final

import h11
import yaml
from returns.result import Success

from standins.object_store import ObjectStoreStandIn
from standins.pool_server import PoolServerStandIn
from standins.received_answer import ReceivedAnswer
from standins.serving import start_server
from tests.local_site import wait_until
from wingfall.gateway.application import GatewayApplication
from wingfall.gateway.knowledge.endpoint_table import EndpointTable
from wingfall.gateway.model.prompt import PromptPart
from wingfall.settings.gateway_schema import GATEWAY_SCHEMA
from wingfall.settings.loader import parse_settings

HOST: Final = '127.0.0.1'
KEY: Final = 'key-of-oslo'
_READ_BYTES: Final = 65_536
_TIMEOUT_S: Final = 15


@final
class CallerStandIn:
    """One connection of a caller."""

    def __init__(self, *, port: int) -> None:
        """Connect.

        :param port: the gateway's port.
        """
        self.sock = socket.create_connection((HOST, port), _TIMEOUT_S)
        self._http = h11.Connection(h11.CLIENT)
        self._used = False

    def send(
        self,
        target: str,
        *,
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> None:
        """Send a request.

        :param target: its path and query.
        :param method: its method.
        :param body: its body.
        :param headers: its headers, ``_`` for ``-``.
        """
        if self._used:
            self._http.start_next_cycle()
        self._used = True
        named = {
            'Host': 'site.example',
            'Authorization': f'Token {KEY}',
            'X-Attempt-Id': 'a1',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        if body:
            named['Content-Length'] = str(len(body))
        request = h11.Request(
            method=method,
            target=target,
            headers=[pair for pair in named.items() if pair[1]],
        )
        events = [request, h11.Data(data=body), h11.EndOfMessage()]
        self.sock.sendall(b''.join(map(self._http.send, events)))

    def receive(self) -> ReceivedAnswer:
        """Read an answer, as far as it comes.

        :returns: the answer; ``whole`` tells whether it has its end.
        """
        answer = ReceivedAnswer()
        try:
            self._receive(answer)
        except (OSError, h11.RemoteProtocolError):
            answer.whole = False
        return answer

    def closed(self) -> bool:
        """Wait for the gateway to close.

        :returns: whether it did so without sending more.
        """
        try:
            return self.sock.recv(1) == b''
        except ConnectionResetError:
            return True

    def close(self) -> None:
        """Leave."""
        self.sock.close()

    def _receive(self, answer: ReceivedAnswer) -> None:
        while not answer.whole:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(self.sock.recv(_READ_BYTES))
            elif isinstance(event, h11.ConnectionClosed):
                return
            else:
                answer.take(event)


@final
class GatewaySite:
    """One store, and the endpoints and gateways that a test adds."""

    def __init__(self) -> None:
        """Start the store with a configuration."""
        self.store = ObjectStoreStandIn()
        self._store_server = start_server(self.store.app)
        self.servers: dict[str, PoolServerStandIn] = {}
        self.gateways: list[GatewayApplication] = []
        self.config: dict[str, Any] = {
            'version': 1,
            'routes': [
                route('safe', 'plain', kind='safe'),
                route('unsafe', 'plain', kind='unsafe', max_attempts=1),
                route('patient', 'plain', kind='unsafe', timeout_ms=60_000),
                route('stream', 'engines', kind='stream', resumable=True),
                route('oneway', 'engines', kind='stream', max_attempts=1),
            ],
            'services': [
                {'name': 'plain', 'health_path': '/health', 'max_conns': 100},
                {
                    'name': 'engines',
                    'health_path': '/health',
                    'engine': {'slots': 8, 'kv_capacity_tokens': 100_000},
                },
            ],
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 100_000,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15_000,
            },
            'tenants': [{'name': 'oslo', 'api_keys': [KEY], 'priority': 1}],
        }
        self.write_config()

    def write_config(self) -> None:
        """Write the configuration with the next version."""
        self.config = {**self.config, 'version': self.config['version'] + 1}
        self.store.put('config', 'main', self.config)

    def add_server(self, name: str, pool: str = 'plain') -> PoolServerStandIn:
        """Add an endpoint and list it.

        :param name: its id.
        :param pool: its pool.
        :returns: the endpoint.
        """
        server = PoolServerStandIn(name=name)
        self.servers[name] = server
        self.list_server(name, pool)
        return server

    def list_server(self, name: str, pool: str, state: str = 'ready') -> None:
        """Write an endpoint's entry.

        :param name: its id.
        :param pool: its pool.
        :param state: ``ready`` or ``draining``.
        """
        self.store.put('servers', name, self.entry(name, pool, state=state))

    def entry(self, name: str, pool: str, **changes: Any) -> dict[str, Any]:
        """Make an endpoint's entry.

        :param name: its id.
        :param pool: its pool.
        :param changes: fields that differ.
        :returns: what the entry says.
        """
        return {
            'service': pool,
            'address': self.servers[name].address,
            'zone': 'osl-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            **changes,
        }

    def add_gateway(self, **changes: Any) -> GatewayApplication:
        """Start a gateway and wait until it is ready.

        :param changes: settings that differ.
        :returns: the gateway.
        """
        gateway = self.start_gateway(**changes)
        wait_until(lambda: not gateway.not_ready())
        return gateway

    def start_gateway(self, **changes: Any) -> GatewayApplication:
        """Start a gateway.

        :param changes: settings that differ.
        :returns: the gateway.
        """
        gateway = GatewayApplication(
            settings=self.parse(self.settings(**changes)),
        )
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    def settings(self, **changes: Any) -> dict[str, Any]:
        """Write the settings of the next gateway.

        :param changes: sections that differ.
        :returns: the settings.
        """
        return {
            'name': f'gateway-{len(self.gateways)}',
            'zone': 'osl-a',
            'callers': f'{HOST}:0',
            'readiness': f'{HOST}:0',
            'admin': {'host': HOST, 'port': 0},
            'peers': {'listen': f'{HOST}:0', 'seeds': self.seeds()},
            'store': {
                'address': f'{HOST}:{self._store_server.port}',
                'watch_ms': 500,
            },
            **changes,
        }

    def parse(self, settings: dict[str, Any]) -> SimpleNamespace:
        """Check settings.

        :param settings: the settings.
        :returns: them with all defaults.
        """
        parsed = parse_settings('test', yaml.dump(settings), GATEWAY_SCHEMA)
        assert isinstance(parsed, Success), list(map(str, parsed.failure()))
        return parsed.unwrap()

    def seeds(self) -> list[str]:
        """List where gateways are found.

        :returns: ``host:port`` of those that were started.
        """
        return [gateway.peer_address for gateway in self.gateways]

    def caller(self, number: int = 0) -> CallerStandIn:
        """Connect a caller.

        :param number: which gateway.
        :returns: the connection.
        """
        return CallerStandIn(port=self.gateways[number].caller_port)

    def ask(self, target: str, **named: Any) -> ReceivedAnswer:
        """Send one request on a new connection.

        :param target: its path.
        :param named: see :meth:`CallerStandIn.send`.
        :returns: the answer.
        """
        caller = self.caller()
        caller.send(target, **named)
        answer = caller.receive()
        caller.close()
        return answer

    def close(self) -> None:
        """End everything."""
        for gateway in self.gateways:
            gateway.close()
        for server in self.servers.values():
            server.stop()
        self._store_server.stop()


def known_endpoints(gateway: GatewayApplication) -> EndpointTable:
    """Give the endpoints that a gateway knows."""
    return gateway._state.knowledge.table


def holds_watch(gateway: GatewayApplication) -> bool:
    """Tell whether a gateway watches the store for others as well."""
    return gateway._peers.view.holds_watch


def caches_part(gateway: GatewayApplication, engine: str, part_id: str) -> bool:
    """Tell whether an engine is believed to cache a part of prompts."""
    part = PromptPart(part_id=part_id, tokens=1)
    cache = gateway._state.knowledge.caches.find(engine)
    return bool(cache.cached_tokens([part]))


def route(name: str, pool: str, **changes: Any) -> dict[str, Any]:
    """Describe a route as the platform stores it.

    :param name: its name and path.
    :param pool: its pool.
    :param changes: fields that differ.
    :returns: the route.
    """
    return {
        'name': name,
        'host': 'site.example',
        'path_prefix': f'/{name}/',
        'service': pool,
        'timeout_ms': 3000,
        'target_latency_ms': 200,
        'priority': 2,
        'max_attempts': 2,
        'public': False,
        'resumable': False,
        **changes,
    }
