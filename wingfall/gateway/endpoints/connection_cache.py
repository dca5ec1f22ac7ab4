"""Cache of idle connections to endpoints.

The cache owns connections between two requests. A cached connection may be
broken without notice, so requests that must not be repeated use a new one. The
connections in use are only observed.
"""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.endpoints.endpoint_connection import (
    EndpointWithheldError,
    connect,
)
from wingfall.tcp import SocketState

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndpointConnection,
    )
    from wingfall.gateway.endpoints.sending_gate import SendingGate
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Several round trips between availability zones.
_IDLE_CONNECT_TIMEOUT_MS: Final = 300


@final
class ConnectionCache:
    """Idle connections to endpoints; the newest is reused first."""

    __slots__ = ('_clock', '_gate', '_idle', '_observed')

    def __init__(self, *, clock: Clock, gate: SendingGate) -> None:
        """Create an empty cache.

        :param clock: clock of this gateway.
        :param gate: gate that decides whether an endpoint takes a request now.
        """
        self._clock = clock
        self._gate = gate
        self._idle: dict[str, list[EndpointConnection]] = {}
        # All connections by name of the endpoint, as long as they exist.
        self._observed: dict[str, weakref.WeakSet[EndpointConnection]] = {}

    def acquire(
        self,
        endpoint: PoolEndpoint,
        *,
        timeout_ms: int,
        allow_reuse: bool,
    ) -> EndpointConnection:
        """Return a connection to an endpoint for a request to be sent now.

        :param endpoint: endpoint to connect to.
        :param timeout_ms: maximum milliseconds to establish a new connection.
        :param allow_reuse: whether an idle connection may be reused.
        :returns: a connection, owned by the caller.
        :raises NotConnectedError: if the connection can't be established.
        :raises EndpointWithheldError: if the endpoint takes no request now.
        """
        # Every request to an endpoint passes here, so its limits also count
        # retries, resumed streams and requests of the gateway itself.
        withheld = self._gate.withheld_reason(endpoint.name)
        if withheld is not None:
            raise EndpointWithheldError(withheld)
        connection = self._reuse_or_connect(
            endpoint, timeout_ms, allow_reuse=allow_reuse
        )
        # A signal of the endpoint may have arrived during the connect.
        withheld = self._gate.acquire(endpoint.name)
        if withheld is not None:
            connection.close()
            raise EndpointWithheldError(withheld)
        return connection

    def connect_idle(self, endpoint: PoolEndpoint) -> EndpointConnection:
        """Return a new connection on which no request is sent.

        :param endpoint: endpoint to connect to.
        :returns: a connection, owned by the caller.
        :raises NotConnectedError: if the connection can't be established.
        """
        return self._connect(endpoint, _IDLE_CONNECT_TIMEOUT_MS)

    def release(
        self,
        endpoint: PoolEndpoint,
        connection: EndpointConnection,
    ) -> None:
        """Cache a connection after a complete answer, or close it.

        An endpoint that has not read the whole request may read on.

        :param endpoint: endpoint of the connection.
        :param connection: connection that is no longer in use.
        """
        if connection.release():
            self._idle.setdefault(endpoint.name, []).append(connection)
        else:
            connection.close_when_delivered()

    def list_open(self, name: str) -> list[EndpointConnection]:
        """List the connections to an endpoint that are open.

        :param name: name of the endpoint.
        :returns: those, idle or in use, whose end was not received.
        """
        observed = self._observed.get(name, ())
        return [
            each
            for each in list(observed)
            if each.state is not SocketState.ended
        ]

    def retain_only(self, listed: set[str]) -> None:
        """Close expired connections and those to unlisted endpoints.

        :param listed: names of the listed endpoints.
        """
        for name in self._idle.keys() - listed:
            for connection in self._idle.pop(name):
                connection.close()
        for idle in self._idle.values():
            self._close_expired(idle)
        self._observed = {
            name: observed
            for name, observed in self._observed.items()
            if observed
        }

    def _reuse_or_connect(
        self,
        endpoint: PoolEndpoint,
        timeout_ms: int,
        *,
        allow_reuse: bool,
    ) -> EndpointConnection:
        idle = self._idle.get(endpoint.name, [])
        while allow_reuse and idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return self._connect(endpoint, timeout_ms)

    def _connect(
        self, endpoint: PoolEndpoint, timeout_ms: int
    ) -> EndpointConnection:
        connection = connect(endpoint, self._clock, timeout_ms)
        observed = self._observed.setdefault(endpoint.name, weakref.WeakSet())
        observed.add(connection)
        return connection

    def _close_expired(self, idle: list[EndpointConnection]) -> None:
        expired = [each for each in idle if not each.is_reusable]
        for connection in expired:
            idle.remove(connection)
            connection.close()
