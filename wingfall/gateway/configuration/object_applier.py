"""Puts the platform's objects in force as they arrive.

The only place that replaces the configuration in force and changes the table of
endpoints. Relies on the replicas to bring each object in the order of its
revisions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

from returns.result import Success

from wingfall.errors import ObjectFault
from wingfall.gateway.configuration.replica import ENDPOINTS_KIND, ROUTES_KIND
from wingfall.gateway.knowledge.endpoint_incarnations import EntryStatus
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState


@final
class ObjectApplier:
    """Reads objects by the platform's binding; what is unreadable is told."""

    __slots__ = ('_state',)

    def __init__(self, *, state: GatewayState) -> None:
        """Take objects for a gateway.

        :param state: where they are put in force.
        """
        self._state = state

    def apply_routes(self, name: str, spec: Any) -> None:
        """Put a configuration in force if its version is higher.

        :param name: name of the object.
        :param spec: what it says, None once it is gone, which changes nothing.
        """
        if spec is None:
            return
        read = self._state.binding.read_routes(name, spec)
        if not isinstance(read, Success):
            self._note_refused(ROUTES_KIND, read.failure())
            log_event(
                'config',
                'Refused.',
                name=name,
                field=read.failure().field,
                reason=read.failure().reason,
            )
            return
        routes = read.unwrap()
        in_force = self._state.routes
        if in_force is not None and routes.version <= in_force.version:
            return
        self._state.routes = routes
        self._state.knowledge.set_shortest_gaps(routes.shortest_gaps_ms)
        # Entries may have come before the configuration that tells of memory.
        for endpoint in self._state.knowledge.table.listed:
            self._set_cache_capacity(endpoint)
        self._state.metrics.config_version.set({}, routes.version)
        log_event(
            'config',
            'In force.',
            version=routes.version,
            routes=len(routes.routes),
            customers=len(routes.customers),
        )

    def apply_endpoint(self, name: str, spec: Any) -> None:
        """List an endpoint, or take it off the list.

        An entry that can't be read takes its endpoint out of use as a removal
        does: nobody knows any more what listens there.

        :param name: its name.
        :param spec: what its object says, None once it is gone.
        """
        if spec is None:
            self._state.knowledge.table.remove(name)
            return
        read = self._state.binding.read_endpoint(name, spec)
        if not isinstance(read, Success):
            self._refuse_endpoint(name, read.failure())
            return
        self._put_endpoint(read.unwrap())

    def _put_endpoint(self, endpoint: PoolEndpoint) -> None:
        match self._state.knowledge.incarnations.note(endpoint):
            case EntryStatus.newest:
                self._state.knowledge.table.put(endpoint)
                self._set_cache_capacity(endpoint)
            case EntryStatus.earlier:
                log_event(
                    'endpoints',
                    'An entry of an earlier start changes nothing.',
                    endpoint=endpoint.name,
                )
            case EntryStatus.untold:
                reason = 'the endpoint has told its start before'
                fault = ObjectFault(field='born', reason=reason)
                self._refuse_endpoint(endpoint.instance, fault)

    def _refuse_endpoint(self, name: str, fault: ObjectFault) -> None:
        self._note_refused(ENDPOINTS_KIND, fault)
        log_event(
            'endpoints',
            'Refused.',
            endpoint=name,
            field=fault.field,
            reason=fault.reason,
        )
        self._state.knowledge.table.remove(name)

    def _note_refused(self, kind: str, fault: ObjectFault) -> None:
        labels = {'kind': kind, 'field': fault.field}
        self._state.metrics.objects_refused.inc(labels)

    def _set_cache_capacity(self, endpoint: PoolEndpoint) -> None:
        routes = self._state.routes
        pool = routes.pools.get(endpoint.pool) if routes else None
        if pool is not None:
            caches = self._state.knowledge.caches
            caches.set_capacity(endpoint.name, pool.memory_tokens)
