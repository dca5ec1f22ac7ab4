"""The engines of each pool that are kept for streams with short gaps.

Owns which they are now; :mod:`wingfall.gateway.rules.placement.engine_groups`
decides which they should be.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.rules.placement.engine_groups import EngineGroups


@final
class KeptEngines:
    """Tells which engines of a pool a prompt may go to."""

    __slots__ = ('_clock', '_knowledge', '_parts_pool')

    def __init__(
        self,
        *,
        clock: Clock,
        knowledge: EndpointKnowledge,
        parts_pool: EngineGroups,
    ) -> None:
        """Start with no engine kept.

        :param clock: the time.
        :param knowledge: what is known of the engines.
        :param parts_pool: decides which engines are kept.
        """
        self._clock = clock
        self._knowledge = knowledge
        self._parts_pool = parts_pool

    def narrow(
        self,
        routes: Routes,
        demand: Demand,
        usable: list[PoolEndpoint],
    ) -> list[PoolEndpoint]:
        """Leave out engines that a prompt should not go to.

        :param routes: the configuration in force.
        :param demand: what the prompt asks.
        :param usable: engines of one pool that take new work.
        :returns: those that it may go to, all where none is kept.
        """
        return usable
