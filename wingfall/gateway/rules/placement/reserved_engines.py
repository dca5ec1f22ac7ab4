"""Engines of each pool that are reserved for streams with short token gaps.

This module owns the current groups;
:mod:`wingfall.gateway.rules.placement.engine_groups` decides which groups
should exist. Nothing is reported to other gateways: all have the same order of
engines and know of the same streams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.rules.placement.engine_groups import reserve_none
from wingfall.gateway.rules.placement.pool_groups import PoolGroups

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.rules.placement.engine_groups import EngineGroupPolicy
    from wingfall.metrics import Metrics

# Minimum time between two updates of a pool: other gateways report their loads
# as often. The time per engine keeps the updates of a large pool below a
# two-hundredth of the time.
_UPDATE_INTERVAL_MS: Final = 250
_UPDATE_INTERVAL_MS_PER_ENGINE: Final = 2


@final
class ReservedEngines:
    """The reserved engines of all pools."""

    __slots__ = ('_clock', '_knowledge', '_metrics', '_group_policy', '_pools')

    def __init__(
        self,
        *,
        clock: Clock,
        knowledge: EndpointKnowledge,
        group_policy: EngineGroupPolicy,
        metrics: Metrics | None = None,
    ) -> None:
        """Create an instance without groups.

        :param clock: clock that gives the current time.
        :param knowledge: loads, rates and token gaps of the engines.
        :param group_policy: policy that decides which engines are reserved.
        :param metrics: metrics that count the changes of groups, if given.
        """
        self._clock = clock
        self._knowledge = knowledge
        self._group_policy = group_policy
        self._metrics = metrics
        self._pools: dict[str, PoolGroups] = {}

    def allowed_engines(
        self,
        routes: Routes,
        demand: Demand,
        usable: list[PoolEndpoint],
    ) -> list[PoolEndpoint]:
        """Return the engines that a prompt may go to.

        :param routes: current configuration of the routes.
        :param demand: the demand of the prompt.
        :param usable: engines of one pool that take new work.
        :returns: the allowed engines, all if none is reserved.
        """
        if not usable or self._group_policy is reserve_none:
            return usable
        groups = self._find_or_create(usable[0].pool)
        groups.note_prompt(demand)
        now_ms = self._clock.now_ms()
        last_ms = groups.refreshed_ms
        interval_ms = max(
            _UPDATE_INTERVAL_MS, len(usable) * _UPDATE_INTERVAL_MS_PER_ENGINE
        )
        if last_ms is None or now_ms - last_ms >= interval_ms:
            groups.refresh(routes, usable, now_ms)
        return groups.allowed_engines(demand, usable)

    def forget(self, pool: str) -> None:
        """Remove all groups of a pool.

        :param pool: name of the pool, which has become small.
        """
        groups = self._pools.pop(pool, None)
        if groups is not None:
            groups.remove_groups()

    def safe_gap_ms(self, pool: str, engine: str) -> int | None:
        """Return the shortest token gap bound that an engine keeps.

        :param pool: name of the pool of the engine.
        :param engine: name of the engine.
        :returns: shortest bound in milliseconds that its streams keep during
            prefills; None if it is unknown or no engine is reserved.
        """
        groups = self._pools.get(pool)
        return groups.safe_gap_ms(engine) if groups else None

    def status(self) -> dict[str, Any]:
        """Return the status of the groups.

        :returns: engines and engines closed to long prefills, by token gap
            bound, by pool with groups.
        """
        statuses = {
            name: groups.describe() for name, groups in self._pools.items()
        }
        return {name: groups for name, groups in statuses.items() if groups}

    def _find_or_create(self, pool: str) -> PoolGroups:
        groups = self._pools.get(pool)
        if groups is None:
            groups = PoolGroups(
                pool=pool,
                knowledge=self._knowledge,
                group_policy=self._group_policy,
                metrics=self._metrics,
            )
            self._pools[pool] = groups
        return groups
