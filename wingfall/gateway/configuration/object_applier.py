"""Puts the platform's objects in force as they arrive.

Only this module replaces the configuration in force and changes the table of
endpoints. The replicas pass each object in the order of its revisions.
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
    """Parses objects by the platform's binding and reports invalid ones."""

    __slots__ = ('_state',)

    def __init__(self, *, state: GatewayState) -> None:
        """Create an applier.

        :param state: gateway state in which objects are put in force.
        """
        self._state = state

    def apply_routes(self, name: str, spec: Any) -> None:
        """Put a configuration in force if its version is higher.

        :param name: name of the object.
        :param spec: content of the object; None once the object is removed,
            which changes nothing.
        """
        if spec is None:
            return
        parsed = self._state.binding.read_routes(name, spec)
        if not isinstance(parsed, Success):
            self._note_refused(ROUTES_KIND, parsed.failure())
            log_event(
                'config',
                'Refused.',
                name=name,
                field=parsed.failure().field,
                reason=parsed.failure().reason,
            )
            return
        routes = parsed.unwrap()
        in_force = self._state.routes
        if in_force is not None and routes.version <= in_force.version:
            return
        self._state.routes = routes
        self._state.knowledge.set_shortest_gaps(routes.shortest_gaps_ms)
        # Entries may arrive before the configuration that sets cache sizes.
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
        """Add, update or remove an endpoint.

        An entry that can't be parsed removes its endpoint from the table, since
        the service at its address is no longer known.

        :param name: name of the endpoint.
        :param spec: content of the object, None once the object is removed.
        """
        if spec is None:
            self._state.knowledge.table.remove(name)
            return
        parsed = self._state.binding.read_endpoint(name, spec)
        if not isinstance(parsed, Success):
            self._refuse_endpoint(name, parsed.failure())
            return
        self._put_endpoint(parsed.unwrap())

    def _put_endpoint(self, endpoint: PoolEndpoint) -> None:
        match self._state.knowledge.incarnations.note(endpoint):
            case EntryStatus.newest:
                self._state.knowledge.table.put(endpoint)
                self._state.knowledge.versions.note_listed(endpoint)
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
