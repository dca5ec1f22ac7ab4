"""Idle connections to endpoints, kept for further requests.

Owns them between two requests. A kept one may be dead without a sign, so
requests that may not be repeated get a new one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.endpoints.endpoint_connection import connect

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndpointConnection,
    )
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint


@final
class KeptConnections:
    """Idle connections to endpoints, the newest taken first."""

    __slots__ = ('_clock', '_idle')

    def __init__(self, *, clock: Clock) -> None:
        """Start without connections.

        :param clock: the time.
        """
        self._clock = clock
        self._idle: dict[str, list[EndpointConnection]] = {}

    def take(
        self,
        endpoint: PoolEndpoint,
        *,
        timeout_ms: int,
        kept: bool,
    ) -> EndpointConnection:
        """Give a connection to an endpoint.

        :param endpoint: the endpoint.
        :param timeout_ms: how long a new one may take to come up.
        :param kept: whether one that was used before will do.
        :returns: the connection.
        :raises NotConnectedError: if none came up.
        """
        idle = self._idle.get(endpoint.name, [])
        while kept and idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return connect(endpoint, self._clock, timeout_ms)

    def give_back(
        self,
        endpoint: PoolEndpoint,
        connection: EndpointConnection,
    ) -> None:
        """Keep a connection after a whole answer, if it can be used again.

        :param endpoint: the endpoint.
        :param connection: the connection.
        """
        if connection.release():
            self._idle.setdefault(endpoint.name, []).append(connection)
        else:
            connection.close()

    def forget(self, names: set[str]) -> None:
        """Close connections to endpoints that are not listed any more.

        :param names: the endpoints that are listed.
        """
        for name in self._idle.keys() - names:
            for connection in self._idle.pop(name):
                connection.close()
        for idle in self._idle.values():
            self._close_old(idle)

    def _close_old(self, idle: list[EndpointConnection]) -> None:
        old = [each for each in idle if not each.is_reusable]
        for connection in old:
            idle.remove(connection)
            connection.close()
