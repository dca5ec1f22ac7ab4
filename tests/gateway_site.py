"""Gateways with stand-in services, all in the process of the test."""

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
API_KEY: Final = 'key-of-oslo'
_MAX_READ_BYTES: Final = 65_536
_TIMEOUT_S: Final = 15


@final
class CallerStandIn:
    """Client for a single connection to a gateway."""

    def __init__(self, *, port: int) -> None:
        """Connect to a gateway.

        :param port: port for callers.
        """
        self.sock = socket.create_connection((HOST, port), _TIMEOUT_S)
        self._http = h11.Connection(h11.CLIENT)
        self._has_sent = False

    def send(
        self,
        target: str,
        *,
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> None:
        """Send a request.

        :param target: path and query.
        :param method: HTTP method.
        :param body: request body.
        :param headers: additional headers, ``_`` for ``-``, empty to omit one.
        """
        if self._has_sent:
            self._http.start_next_cycle()
        self._has_sent = True
        all_headers = {
            'Host': 'site.example',
            'Authorization': f'Token {API_KEY}',
            'X-Attempt-Id': 'a1',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        if body:
            all_headers['Content-Length'] = str(len(body))
        request = h11.Request(
            method=method,
            target=target,
            headers=[pair for pair in all_headers.items() if pair[1]],
        )
        events = [request, h11.Data(data=body), h11.EndOfMessage()]
        self.sock.sendall(b''.join(map(self._http.send, events)))

    def receive(self) -> ReceivedAnswer:
        """Read a response until its end or the end of the connection.

        :returns: the response; ``whole`` is False if it was cut off.
        """
        answer = ReceivedAnswer()
        try:
            self._receive(answer)
        except (OSError, h11.RemoteProtocolError):
            answer.whole = False
        return answer

    def wait_closed(self) -> bool:
        """Wait until the gateway closes the connection or sends data.

        :returns: whether the gateway closed without sending data.
        """
        try:
            return self.sock.recv(1) == b''
        except ConnectionResetError:
            return True

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _receive(self, answer: ReceivedAnswer) -> None:
        while not answer.whole:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(self.sock.recv(_MAX_READ_BYTES))
            elif isinstance(event, h11.ConnectionClosed):
                return
            else:
                answer.take(event)


@final
class GatewaySite:
    """A configuration store with the endpoints and gateways of a test."""

    def __init__(self) -> None:
        """Start the store with a default configuration."""
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
            'tenants': [{'name': 'oslo', 'api_keys': [API_KEY], 'priority': 1}],
        }
        self.write_config()

    def write_config(self) -> None:
        """Store the configuration with the next version."""
        self.config = {**self.config, 'version': self.config['version'] + 1}
        self.store.put('config', 'main', self.config)

    def add_server(
        self, name: str, pool: str = 'plain', *, pause_ms: float = 1
    ) -> PoolServerStandIn:
        """Start an endpoint and add its entry to the store.

        :param name: endpoint id.
        :param pool: name of the pool.
        :param pause_ms: time between two pieces of an answer without end.
        :returns: the endpoint.
        """
        server = PoolServerStandIn(name=name, endless_pause_ms=pause_ms)
        self.servers[name] = server
        self.put_server(name, pool)
        return server

    def put_server(self, name: str, pool: str, state: str = 'ready') -> None:
        """Write an endpoint's entry to the store.

        :param name: endpoint id.
        :param pool: name of the pool.
        :param state: ``ready`` or ``draining``.
        """
        self.store.put(
            'servers', name, self.make_entry(name, pool, state=state)
        )

    def make_entry(
        self, name: str, pool: str, **changes: Any
    ) -> dict[str, Any]:
        """Create an endpoint's store entry.

        :param name: endpoint id.
        :param pool: name of the pool.
        :param changes: fields that differ from the defaults.
        :returns: the fields of the entry.
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

        :param changes: settings that differ from the defaults.
        :returns: the gateway.
        """
        gateway = self.start_gateway(**changes)
        wait_until(lambda: not gateway.not_ready())
        return gateway

    def start_gateway(self, **changes: Any) -> GatewayApplication:
        """Start a gateway without waiting for its readiness.

        :param changes: settings that differ from the defaults.
        :returns: the gateway.
        """
        gateway = GatewayApplication(
            settings=self.parse(self.settings(**changes)),
        )
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    def settings(self, **changes: Any) -> dict[str, Any]:
        """Create the settings of the next gateway.

        :param changes: sections that differ from the defaults.
        :returns: the settings as in a settings file.
        """
        return {
            'name': f'gateway-{len(self.gateways)}',
            'zone': 'osl-a',
            'callers': f'{HOST}:0',
            'readiness': f'{HOST}:0',
            'admin': {'host': HOST, 'port': 0},
            'peers': {'listen': f'{HOST}:0', 'seeds': self.list_seeds()},
            'store': {
                'address': f'{HOST}:{self._store_server.port}',
                'watch_ms': 500,
            },
            # A new gateway has earned no retries; with this it earns many
            # within a millisecond.
            'resend': {'slack': 1_000_000},
            **changes,
        }

    def parse(self, settings: dict[str, Any]) -> SimpleNamespace:
        """Parse and check settings.

        :param settings: settings as in a settings file.
        :returns: the settings with all defaults.
        """
        parsed = parse_settings('test', yaml.dump(settings), GATEWAY_SCHEMA)
        assert isinstance(parsed, Success), list(map(str, parsed.failure()))
        return parsed.unwrap()

    def list_seeds(self) -> list[str]:
        """List the peer addresses of the started gateways.

        :returns: a ``host:port`` per gateway.
        """
        return [gateway.peer_address for gateway in self.gateways]

    def caller(self, number: int = 0) -> CallerStandIn:
        """Connect a caller to a gateway.

        :param number: index of the gateway.
        :returns: the connection.
        """
        return CallerStandIn(port=self.gateways[number].caller_port)

    def ask(self, target: str, **options: Any) -> ReceivedAnswer:
        """Send one request on a new connection.

        :param target: path and query.
        :param options: see :meth:`CallerStandIn.send`.
        :returns: the response.
        """
        caller = self.caller()
        caller.send(target, **options)
        answer = caller.receive()
        caller.close()
        return answer

    def close(self) -> None:
        """Stop the gateways, the endpoints and the store."""
        for gateway in self.gateways:
            gateway.close()
        for server in self.servers.values():
            server.stop()
        self._store_server.stop()


def known_endpoints(gateway: GatewayApplication) -> EndpointTable:
    """Return the table of endpoints known to a gateway."""
    return gateway._state.knowledge.table


def shared_gateways(gateway: GatewayApplication) -> int | None:
    """Return the number of gateways that share the slack of the budget."""
    return gateway._state.budget.usage('plain').gateways


def holds_watch(gateway: GatewayApplication) -> bool:
    """Check if a gateway watches the store on behalf of its peers."""
    return gateway._peers.view.holds_watch


def caches_part(gateway: GatewayApplication, engine: str, part_id: str) -> bool:
    """Check if a gateway estimates that an engine caches a prompt part."""
    part = PromptPart(part_id=part_id, tokens=1)
    cache = gateway._state.knowledge.caches.find(engine)
    return bool(cache.cached_tokens([part]))


def route(name: str, pool: str, **changes: Any) -> dict[str, Any]:
    """Create a route in the format of the store.

    :param name: name of the route and its path.
    :param pool: name of the pool.
    :param changes: fields that differ from the defaults.
    :returns: the fields of the route.
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
