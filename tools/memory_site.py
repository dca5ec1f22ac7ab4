"""One gateway process before endpoints that take bodies of any size.

The gateway runs as the deploy file starts it, and its peak memory is read from
the kernel. The endpoints keep nothing of what they receive but the ids of the
requests.
"""

from __future__ import annotations

import os
import pathlib
import re
import socket
import sys
from typing import TYPE_CHECKING, Any, Final, final

import gevent
import yaml
from gevent.server import StreamServer

from standins.object_store import ObjectStoreStandIn
from standins.serving import start_server
from tools.fleet import HOST, Process, free_port
from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY: Final = 'key-of-oslo'
MB: Final = 1_048_576
_KB_PER_MB: Final = 1024
_READ_BYTES: Final = 262_144
_TIMEOUT_S: Final = 30
_READY_S: Final = 10
_POLL_S: Final = 0.02
_PEAK: Final = re.compile(r'VmHWM:\s+(\d+) kB')
_CALL_ID: Final = re.compile(rb'\r\nx-attempt-id: *(\S+)', re.IGNORECASE)
_LENGTH: Final = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)
_HEAD_END: Final = b'\r\n\r\n'


@final
class SinkEndpoint:
    """Endpoint that drops bodies and answers after a delay."""

    def __init__(self) -> None:
        """Listen on loopback."""
        self.delay_ms = 1
        self.answer_bytes = 2
        # Pause before the last byte of an answer.
        self.pause_ms = 0
        # Ids of the requests that came whole.
        self.served: set[str] = set()
        self._scratch = bytearray(_READ_BYTES)
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Its ``host:port``."""
        return f'{HOST}:{self._server.server_port}'

    def stop(self) -> None:
        """End all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _peer: object) -> None:
        received = b''
        try:
            while True:
                head, received = self._read_head(sock, received)
                received = self._read_body(sock, head, received)
                self._answer(sock, head)
        except OSError:  # The gateway has closed the connection.
            return

    def _read_head(
        self, sock: socket.socket, received: bytes
    ) -> tuple[bytes, bytes]:
        while _HEAD_END not in received:
            piece = sock.recv(_READ_BYTES)
            if not piece:
                raise ConnectionError
            received += piece
        head, _end, rest = received.partition(_HEAD_END)
        return head, rest

    def _read_body(
        self, sock: socket.socket, head: bytes, received: bytes
    ) -> bytes:
        length = _find_length(head)
        missing = length - len(received)
        while missing > 0:
            count = sock.recv_into(self._scratch, min(missing, _READ_BYTES))
            if not count:
                raise ConnectionError
            missing -= count
        return received[length:]

    def _answer(self, sock: socket.socket, head: bytes) -> None:
        found = _CALL_ID.search(head)
        # A question for its health has no id.
        call_id = found[1] if found else b''
        if call_id:
            self.served.add(call_id.decode())
            gevent.sleep(self.delay_ms / MS_PER_S)
        sock.sendall(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nContent-Length: %d\r\n\r\n'
            % (call_id, self.answer_bytes)
        )
        first_bytes = self.answer_bytes - 1
        sock.sendall(bytes(first_bytes))
        if call_id and self.pause_ms:
            gevent.sleep(self.pause_ms / MS_PER_S)
        sock.sendall(bytes(self.answer_bytes - first_bytes))


@final
class MemorySite:
    """A store, endpoints and one gateway process."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        memory_mb: int | None = None,
        endpoints: int = 4,
        launcher: tuple[str, ...] = (),
    ) -> None:
        """Start everything and wait until the gateway is ready.

        :param folder: for settings and log.
        :param memory_mb: limit in the gateway's settings, None for none.
        :param endpoints: how many endpoints.
        :param launcher: command that runs the gateway's.
        """
        self.store = ObjectStoreStandIn()
        self._store_server = start_server(self.store.app)
        self.endpoints = [SinkEndpoint() for _number in range(endpoints)]
        self._write_config()
        self._ready_port = free_port()
        settings = self._describe_settings(memory_mb)
        path = folder / 'settings.yaml'
        path.write_text(yaml.safe_dump(settings), 'utf-8')
        # As the deploy file starts it; the packages are found by the path.
        os.environ['PYTHONPATH'] = os.pathsep.join(filter(None, sys.path))
        self.gateway = Process(
            name='gateway',
            log=folder / 'gateway.log',
            command=(
                *launcher,
                sys.executable,
                '-S',
                '-m',
                'wingfall.gateway',
                '--settings',
                str(path),
            ),
            port=int(settings['callers'].rpartition(':')[2]),
            admin_port=settings['admin']['port'],
        )
        self.peer_port = int(settings['peers']['listen'].rpartition(':')[2])
        self._wait_until_ready()

    @property
    def log_text(self) -> str:
        """What the gateway has logged."""
        return self.gateway.log.read_text('utf-8')

    @property
    def peak_mb(self) -> float:
        """Peak resident memory of the gateway."""
        status = pathlib.Path(f'/proc/{self.gateway.child.pid}/status')
        found = _PEAK.search(status.read_text('utf-8'))
        if found is None:
            raise RuntimeError('the gateway has ended')
        return int(found[1]) / _KB_PER_MB

    @property
    def served(self) -> set[str]:
        """Ids of the requests that an endpoint received whole."""
        return set().union(*(each.served for each in self.endpoints))

    def change_endpoints(
        self, *, delay_ms: int, answer_bytes: int = 2, pause_ms: int = 0
    ) -> None:
        """Change how all endpoints answer.

        :param delay_ms: time from the whole request to the answer.
        :param answer_bytes: length of the answer's body.
        :param pause_ms: pause before the last byte of the body.
        """
        for endpoint in self.endpoints:
            endpoint.delay_ms = delay_ms
            endpoint.answer_bytes = answer_bytes
            endpoint.pause_ms = pause_ms

    def connect(self) -> socket.socket:
        """Connect a caller.

        :returns: the connection.
        """
        return socket.create_connection((HOST, self.gateway.port), _TIMEOUT_S)

    def connect_peer(self) -> socket.socket:
        """Connect to the port for other gateways.

        :returns: the connection.
        """
        return socket.create_connection((HOST, self.peer_port), _TIMEOUT_S)

    def is_ready(self) -> bool:
        """Check if the readiness port answers that it is ready."""
        try:
            with socket.create_connection(
                (HOST, self._ready_port), _TIMEOUT_S
            ) as sock:
                sock.sendall(b'GET /wingfall/ready HTTP/1.0\r\n\r\n')
                return b' 200 ' in sock.recv(_READ_BYTES)
        except OSError:  # It is not listening yet.
            return False

    def close(self) -> None:
        """End everything that was started."""
        if self.gateway.child.poll() is None:
            self.gateway.kill()
        for endpoint in self.endpoints:
            endpoint.stop()
        self._store_server.stop()

    def _describe_settings(self, memory_mb: int | None) -> dict[str, Any]:
        limits = {} if memory_mb is None else {'memory_mb': memory_mb}
        return {
            'name': 'gateway',
            'zone': 'osl-a',
            'callers': f'{HOST}:{free_port()}',
            'readiness': f'{HOST}:{self._ready_port}',
            'admin': {'host': HOST, 'port': free_port()},
            'peers': {'listen': f'{HOST}:{free_port()}'},
            'store': {'address': f'{HOST}:{self._store_server.port}'},
            'limits': limits,
        }

    def _write_config(self) -> None:
        self.store.put(
            'config',
            'main',
            {
                'version': 1,
                'routes': [
                    _route(name, tier) for tier, name in enumerate('abc')
                ],
                'services': [{'name': 'plain', 'health_path': '/health'}],
                'limits': {},
                'tenants': [{'name': 'oslo', 'api_keys': [KEY]}],
            },
        )
        for number, endpoint in enumerate(self.endpoints):
            entry = {
                'service': 'plain',
                'address': endpoint.address,
                'zone': 'osl-a',
                'version': 'v1',
                'slots': 1000,
                'state': 'ready',
            }
            self.store.put('servers', f'server-{number}', entry)

    def _wait_until_ready(self) -> None:
        for _turn in range(int(_READY_S / _POLL_S)):
            if self.is_ready():
                return
            gevent.sleep(_POLL_S)
        self.close()
        raise RuntimeError('the gateway is not ready')


def make_head(call_id: str, length: int, *, path: str = '/a/') -> bytes:
    """Create the head of a request.

    :param call_id: id of the request.
    :param length: bytes of its body.
    :param path: its target; the tiers of ``/a/``, ``/b/`` and ``/c/`` are 0,
        1 and 2.
    :returns: the encoded head.
    """
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: site.example',
        f'Authorization: Token {KEY}',
        f'X-Attempt-Id: {call_id}',
        f'Content-Length: {length}',
    )
    return '\r\n'.join((*lines, '', '')).encode()


def read_answer(sock: socket.socket) -> tuple[int, bytes]:
    """Read one answer.

    :param sock: connection of a caller.
    :returns: the status, 0 if the connection ended before, and the answer.
    """
    received = b''
    for piece in _read_pieces(sock):
        received += piece
        head, end, body = received.partition(_HEAD_END)
        if end and len(body) >= _find_length(head):
            return int(head.split(b' ', 2)[1]), received
    return 0, received


def _find_length(head: bytes) -> int:
    length = _LENGTH.search(head)
    return int(length[1]) if length else 0


def _read_pieces(sock: socket.socket) -> Iterator[bytes]:
    piece = b'-'
    while piece:
        try:
            piece = sock.recv(_READ_BYTES)
        except OSError:
            return
        yield piece


def _route(name: str, tier: int) -> dict[str, Any]:
    return {
        'name': name,
        'host': 'site.example',
        'path_prefix': f'/{name}/',
        'service': 'plain',
        'kind': 'safe',
        'timeout_ms': 20_000,
        'target_latency_ms': 2000,
        'priority': tier,
        'max_attempts': 2,
        'public': False,
        'resumable': False,
    }
