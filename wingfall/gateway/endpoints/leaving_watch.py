"""Connections that show whether a leaving endpoint still runs.

An endpoint that leaves may stop listening before it finishes its answers. After
that only a connection that it accepted before shows that it outlives an answer
without a length or chunks.
"""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.endpoint_connection import NotConnectedError
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.gateway.endpoints.connection_cache import ConnectionCache
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndpointConnection,
    )
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Milliseconds between two looks at whether an endpoint leaves. Endpoints
# announce it seconds before.
_POLL_INTERVAL_MS: Final = 100


@final
class _RunningAnswers:
    """Answers of one endpoint that will end with their connections."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        """Count no answer."""
        self.count = 0


@final
class LeavingWatch:
    """Keeps a connection to each leaving endpoint that still answers."""

    __slots__ = ('_connections', '_knowledge', '_running')

    def __init__(
        self, *, connections: ConnectionCache, knowledge: EndpointKnowledge
    ) -> None:
        """Create a watch without answers.

        :param connections: connections to endpoints.
        :param knowledge: tells which endpoints leave.
        """
        self._connections = connections
        self._knowledge = knowledge
        self._running: dict[str, _RunningAnswers] = {}

    @contextlib.contextmanager
    def watch(self, endpoint: PoolEndpoint) -> Iterator[None]:
        """Watch an endpoint while one of its answers is read.

        :param endpoint: endpoint whose answer ends with its connection.
        :yields: once, for as long as the answer is read.
        """
        answers = self._running.get(endpoint.name)
        if answers is None:
            answers = _RunningAnswers()
            self._running[endpoint.name] = answers
            gevent.spawn(self._keep_connection, endpoint, answers)
        answers.count += 1
        try:
            yield
        finally:
            answers.count -= 1

    def _keep_connection(
        self, endpoint: PoolEndpoint, answers: _RunningAnswers
    ) -> None:
        connection = None
        try:
            if self._await_leaving(endpoint, answers):
                connection = self._connect(endpoint)
            while answers.count:
                gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        finally:
            self._running.pop(endpoint.name)
        if connection is not None:
            connection.close()

    def _await_leaving(
        self, endpoint: PoolEndpoint, answers: _RunningAnswers
    ) -> bool:
        while answers.count:
            if self._knowledge.is_leaving(endpoint.name):
                return True
            gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        return False

    def _connect(self, endpoint: PoolEndpoint) -> EndpointConnection | None:
        try:
            return self._connections.connect_idle(endpoint)
        except NotConnectedError as error:
            log_event(
                'dispatch',
                'A leaving endpoint takes no connection to watch it.',
                endpoint=endpoint.name,
                reason=str(error),
            )
            return None
