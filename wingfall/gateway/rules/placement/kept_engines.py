"""The engines of each pool that streams with short gaps go to.

Owns the groups that there are now, and
:mod:`wingfall.gateway.rules.placement.engine_groups` decides which there should
be. Nothing is told to other gateways: all have the
same order of engines and hear of the same streams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.rules.placement.engine_groups import keep_none
from wingfall.gateway.rules.placement.pool_groups import PoolGroups

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.rules.placement.engine_groups import EngineGroups
    from wingfall.metrics import Metrics

# Milliseconds between two looks at a pool: loads of other gateways are told as
# often. And milliseconds for each of its engines, so that the looks at a large
# pool take less than a two-hundredth of the time.
_REVIEW_MS: Final = 250
_REVIEW_MS_PER_ENGINE: Final = 2


@final
class KeptEngines:
    """Tells which engines of a pool a prompt may go to."""

    __slots__ = ('_clock', '_knowledge', '_metrics', '_parts_pool', '_pools')

    def __init__(
        self,
        *,
        clock: Clock,
        knowledge: EndpointKnowledge,
        parts_pool: EngineGroups,
        metrics: Metrics | None = None,
    ) -> None:
        """Start with no engine kept.

        :param clock: the time.
        :param knowledge: what is known of the engines.
        :param parts_pool: decides which engines are kept.
        :param metrics: counts changes of groups, if given.
        """
        self._clock = clock
        self._knowledge = knowledge
        self._parts_pool = parts_pool
        self._metrics = metrics
        self._pools: dict[str, PoolGroups] = {}

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
        if not usable or self._parts_pool is keep_none:
            return usable
        groups = self._find(usable[0].pool)
        groups.note_prompt(demand)
        now_ms = self._clock.now_ms()
        seen_ms = groups.reviewed_ms
        apart_ms = max(_REVIEW_MS, len(usable) * _REVIEW_MS_PER_ENGINE)
        if seen_ms is None or now_ms - seen_ms >= apart_ms:
            groups.review(routes, usable, now_ms)
        return groups.narrow(demand, usable)

    def forget(self, pool: str) -> None:
        """Let all engines of a pool be for all streams.

        :param pool: name of the pool, one that has become small.
        """
        groups = self._pools.pop(pool, None)
        if groups is not None:
            groups.forget_groups()

    def safe_gap_ms(self, pool: str, engine: str) -> int | None:
        """Tell beside which streams reads at an engine are harmless.

        :param pool: name of its pool.
        :param engine: its name.
        :returns: the shortest gap in milliseconds that streams there may bear;
            None if no engine is kept, or if it is not known.
        """
        groups = self._pools.get(pool)
        return groups.safe_gap_ms(engine) if groups else None

    def status(self) -> dict[str, Any]:
        """Show the groups.

        :returns: for each pool with groups and each gap the engines, and which
            are closed to long reads.
        """
        shown = {name: groups.show() for name, groups in self._pools.items()}
        return {name: groups for name, groups in shown.items() if groups}

    def _find(self, pool: str) -> PoolGroups:
        groups = self._pools.get(pool)
        if groups is None:
            groups = PoolGroups(
                pool=pool,
                knowledge=self._knowledge,
                parts_pool=self._parts_pool,
                metrics=self._metrics,
            )
            self._pools[pool] = groups
        return groups
