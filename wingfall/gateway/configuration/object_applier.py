"""Puts the platform's objects in force as they arrive.

The only place that replaces the configuration in force and changes the table of
endpoints. Relies on the replicas to bring each object in the order of its
revisions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from returns.result import Success

from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.gateway.state import GatewayState


@final
class ObjectApplier:
    """Reads objects by the platform's binding; what is unreadable is left."""

    __slots__ = ('_state',)

    def __init__(self, *, state: GatewayState) -> None:
        """Take objects for a gateway.

        :param state: where they are put in force.
        """
        self._state = state

    def apply_routes(self, name: str, spec: dict[str, Any] | None) -> None:
        """Put a configuration in force if its version is higher.

        :param name: name of the object.
        :param spec: what it says, None once it is gone, which changes nothing.
        """
        if spec is None:
            return
        read = self._state.binding.read_routes(spec)
        if not isinstance(read, Success):
            log_event('config', 'Refused.', name=name, reason=read.failure())
            return
        routes = read.unwrap()
        in_force = self._state.routes
        if in_force is not None and routes.version <= in_force.version:
            return
        self._state.routes = routes
        self._state.metrics.config_version.set({}, routes.version)
        log_event(
            'config',
            'In force.',
            version=routes.version,
            routes=len(routes.routes),
            customers=len(routes.customers),
        )

    def apply_endpoint(self, name: str, spec: dict[str, Any] | None) -> None:
        """List an endpoint, or take it off the list.

        :param name: its name.
        :param spec: what its object says, None once it is gone.
        """
        if spec is None:
            self._state.knowledge.table.remove(name)
            return
        read = self._state.binding.read_endpoint(name, spec)
        if not isinstance(read, Success):
            log_event(
                'endpoints',
                'Refused.',
                endpoint=name,
                reason=read.failure(),
            )
            return
        endpoint = read.unwrap()
        self._state.knowledge.table.put(endpoint)
        self._set_cache_capacity(name, endpoint.pool)

    def _set_cache_capacity(self, name: str, pool_name: str) -> None:
        routes = self._state.routes
        pool = routes.pools.get(pool_name) if routes else None
        if pool is not None:
            self._state.knowledge.caches.set_capacity(name, pool.memory_tokens)
