"""A peer behind a slow link that only answers requests of gateways."""

from __future__ import annotations

import socket
from typing import Any, Final, final

import gevent
from gevent.server import StreamServer

from standins.link import Bandwidth, Link
from wingfall.clock import WallClock
from wingfall.errors import WireError
from wingfall.gateway.configuration.replica import ROUTES_KIND, ObjectReplica
from wingfall.gateway.model.object_store import StoredObject, StoreResponse
from wingfall.gateway.peers.heartbeat_schedule import silence_timeout_ms
from wingfall.gateway.peers.objects.object_exchange import ObjectExchange
from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.wire.connection import Connection
from wingfall.wire.gateway_messages import GatewayHeartbeat, GatewayHello
from wingfall.wire.transfer_messages import ObjectsFetch

HOST: Final = '127.0.0.1'
ZONE: Final = 'osl-a'
_HEARTBEAT_INTERVAL_S: Final = 0.1
_SEND_BUFFER_BYTES: Final = 32_768


@final
class PeerStandIn:
    """A peer with a copy of the configuration, reachable over one link."""

    def __init__(self, *, name: str, bandwidth: Bandwidth) -> None:
        """Start to accept connections.

        :param name: name of the peer.
        :param bandwidth: limit on sent data, shared with other links.
        """
        self._name = name
        self._replica = ObjectReplica(
            kind=ROUTES_KIND,
            listener=lambda _name, _spec: None,
        )
        self._exchange = ObjectExchange(
            replicas=[self._replica],
            clock=WallClock(),
            zone=ZONE,
        )
        self.session_count = 0
        self._server = StreamServer((HOST, 0), self._accept)
        self._server.start()
        self.link = Link(
            target=f'{HOST}:{self._server.server_port}',
            bandwidth=bandwidth,
        )

    def apply_configuration(self, revision: int, spec: dict[str, Any]) -> None:
        """Apply a configuration as if read from the store.

        :param revision: revision of the store.
        :param spec: configuration to apply.
        """
        stored = StoredObject(name='main', revision=revision, spec=spec)
        reading = StoreResponse(revision=revision, objects=[stored])
        self._replica.apply_changes(reading)

    def stop(self) -> None:
        """Close the port and the link."""
        self._server.stop(timeout=0)
        self.link.close()

    def _accept(self, sock: socket.socket, _peer: object) -> None:
        size = _SEND_BUFFER_BYTES
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        connection = Connection(sock=sock)
        connection.allow_large()
        connection.set_timeout(silence_timeout_ms(1))
        connection.send(self._hello())
        heartbeats = gevent.spawn(self._send_heartbeats, connection)
        try:
            self._serve(connection)
        except WireError:
            connection.close()
        finally:
            heartbeats.kill()
            connection.close()

    def _serve(self, connection: Connection) -> None:
        session: PeerSession | None = None
        for message in connection.receive():
            if isinstance(message, GatewayHello):
                session = PeerSession(hello=message, connection=connection)
                self.session_count += 1
            elif isinstance(message, ObjectsFetch) and session is not None:
                self._exchange.send_objects(session, message)

    def _send_heartbeats(self, connection: Connection) -> None:
        while not connection.closed:
            connection.send(
                GatewayHeartbeat(
                    revisions=self._exchange.revisions,
                    loads=[],
                    sent=[],
                    leaving=False,
                    whole=True,
                    watching=True,
                ),
            )
            gevent.sleep(_HEARTBEAT_INTERVAL_S)

    def _hello(self) -> GatewayHello:
        return GatewayHello(
            name=self._name,
            address=self.link.address,
            known=[],
            zone=ZONE,
        )
