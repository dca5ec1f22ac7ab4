"""The engine groups of one pool, as decided by the group policy.

Engines with free capacity are found a few times a second, not for each prompt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.rules.placement.engine_groups import PoolState
from wingfall.gateway.rules.placement.gap_group import GapGroup
from wingfall.gateway.rules.placement.pool_snapshot import PoolSnapshot
from wingfall.gateway.rules.placement.prompt_lengths import PromptLengths

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.rules.placement.engine_groups import (
        EngineGrouping,
        EngineGroupPolicy,
    )
    from wingfall.metrics import Metrics

# Fraction of the engines whose loss at once stops all group changes: streams of
# the lost engines are sent again, which distorts the load for a while.
_ENGINE_LOSS_FRACTION: Final = 0.25
# Time without group changes after such a loss: until the resent streams have
# ended and new engines are listed.
_LOSS_FREEZE_MS: Final = 5000


# Minimum number of engines with free capacity to choose among: their loads are
# those of the last snapshot, and a burst of prompts would all go to the last
# remaining engine.
_MIN_CANDIDATE_ENGINES: Final = 3


@final
class PoolGroups:
    """The current engine groups of one pool."""

    __slots__ = (
        '_classes',
        '_closed',
        '_fit',
        '_groups',
        '_frozen_until_ms',
        '_prompt_lengths',
        '_knowledge',
        '_engine_count',
        '_snapshot',
        '_metrics',
        '_group_policy',
        '_pool',
        '_safe_gaps_ms',
        'refreshed_ms',
    )

    def __init__(
        self,
        *,
        pool: str,
        knowledge: EndpointKnowledge,
        group_policy: EngineGroupPolicy,
        metrics: Metrics | None,
    ) -> None:
        """Create a pool without groups.

        :param pool: name of the pool.
        :param knowledge: loads, rates and token gaps of the engines.
        :param group_policy: policy that decides which engines are reserved.
        :param metrics: metrics that count the changes, if given.
        """
        self._pool = pool
        self._knowledge = knowledge
        self._group_policy = group_policy
        self._metrics = metrics
        self._prompt_lengths = PromptLengths()
        self._snapshot = PoolSnapshot(usable=(), knowledge=knowledge)
        # Clock time of the last update; None before the first one.
        self.refreshed_ms: int | None = None
        self._groups: dict[int, GapGroup] = {}
        # Classes and fit counts of the last decision.
        self._classes: dict[str, int] = {}
        self._fit: dict[int, int] = {}
        # Engines closed to long prefills.
        self._closed: frozenset[str] = frozenset()
        # Shortest token gap bound kept during prefills, by engine.
        self._safe_gaps_ms: dict[str, int] = {}
        # Engines at the last update, and the end of the pause after a loss.
        self._engine_count = 0
        self._frozen_until_ms = 0

    def note_prompt(self, demand: Demand) -> None:
        """Record the length of a prompt.

        :param demand: the demand of the prompt.
        """
        self._prompt_lengths.note(demand)

    def allowed_engines(
        self,
        demand: Demand,
        usable: list[PoolEndpoint],
    ) -> list[PoolEndpoint]:
        """Return the engines that a prompt may go to.

        :param demand: the demand of the prompt.
        :param usable: engines of the pool that take new work.
        :returns: the allowed engines, all if none is reserved.
        """
        if not self._groups:
            return usable
        group = self._groups.get(demand.gap_target_ms or 0)
        if group is None or self._prompt_lengths.is_long(demand):
            return self._list_open_engines(demand, usable)
        for names in (group.free_engines & group.fit, group.free_engines):
            candidates = [each for each in usable if each.name in names]
            if len(candidates) >= _MIN_CANDIDATE_ENGINES:
                return candidates
        return usable

    def safe_gap_ms(self, engine: str) -> int | None:
        """Return the shortest token gap bound that an engine keeps.

        :param engine: name of the engine.
        :returns: shortest bound in milliseconds that its streams keep during
            prefills; None if it is unknown.
        """
        return self._safe_gaps_ms.get(engine)

    def describe(self) -> dict[str, Any]:
        """Return the status of the groups.

        :returns: status of each :class:`GapGroup` by token gap bound.
        """
        return {
            str(gap_ms): group.describe()
            for gap_ms, group in self._groups.items()
        }

    def refresh(
        self,
        routes: Routes,
        usable: Sequence[PoolEndpoint],
        now_ms: int,
    ) -> None:
        """Update the groups, adding or releasing at most one engine each.

        :param routes: current configuration of the routes.
        :param usable: engines of the pool that take new work.
        :param now_ms: the current time in milliseconds.
        """
        self.refreshed_ms = now_ms
        self._freeze_after_loss(len(usable), now_ms)
        self._snapshot = PoolSnapshot(usable=usable, knowledge=self._knowledge)
        state = self._build_state(routes)
        grouping = self._group_policy(state)
        if grouping is None:
            self.remove_groups()
        else:
            self._update_groups(grouping, now_ms)
            for group in self._groups.values():
                group.log_change(state.streams, now_ms)

    def remove_groups(self) -> None:
        """Remove all groups, so that all engines serve all streams."""
        if not self._groups:
            return
        for group in self._groups.values():
            group.log_end()
        # Prefills count as harmless until gaps are clearly too long again.
        class_count = len(set(self._classes.values()))
        self._fit = dict.fromkeys(self._groups, class_count)
        self._groups = {}
        self._safe_gaps_ms = {}
        self._closed = frozenset()

    def _build_state(self, routes: Routes) -> PoolState:
        # Engines are closed only for streams of short prompts, and only while
        # long prompts arrive.
        streams = {}
        if self._snapshot.has_long_prefills:
            streams = self._snapshot.count_streams(
                self._prompt_lengths.is_short
            )
        return PoolState(
            name=self._pool,
            engines=list(self._snapshot.engines.values()),
            gap_bounds_ms=_list_gap_bounds(routes, self._pool),
            streams=streams,
            classes=self._classes,
            fit=self._fit,
        )

    def _freeze_after_loss(self, engine_count: int, now_ms: int) -> None:
        if engine_count <= self._engine_count * (1 - _ENGINE_LOSS_FRACTION):
            self._frozen_until_ms = now_ms + _LOSS_FREEZE_MS
        self._engine_count = engine_count

    def _update_groups(self, grouping: EngineGrouping, now_ms: int) -> None:
        self._classes = dict(grouping.classes)
        self._fit = dict(grouping.fit)
        is_frozen = now_ms < self._frozen_until_ms
        for gap_ms in grouping.fit:
            if gap_ms not in self._groups:
                self._groups[gap_ms] = GapGroup(
                    pool=self._pool, gap_ms=gap_ms, metrics=self._metrics
                )
        for ended_gap_ms in self._groups.keys() - grouping.fit.keys():
            self._groups.pop(ended_gap_ms).log_end()
        for group in self._groups.values():
            group.step_towards(grouping, now_ms, is_frozen=is_frozen)
        self._update_engine_sets()

    def _update_engine_sets(self) -> None:
        groups = self._groups.values()
        self._closed = frozenset().union(*(each.closed for each in groups))
        self._safe_gaps_ms = {}
        for gap_ms in sorted(self._groups, reverse=True):
            fit = self._groups[gap_ms].fit
            self._safe_gaps_ms.update(dict.fromkeys(fit, gap_ms))
        for group in groups:
            group.free_engines = frozenset(
                name
                for name in group.engines
                if self._snapshot.has_free_capacity(name, self._closed)
            )

    def _list_open_engines(
        self,
        demand: Demand,
        usable: list[PoolEndpoint],
    ) -> list[PoolEndpoint]:
        if not self._closed:
            return usable
        open_engines = [
            each for each in usable if each.name not in self._closed
        ]
        if any(
            self._snapshot.starts_in_time(each.name, demand)
            for each in open_engines
        ):
            return open_engines
        is_short = self._prompt_lengths.is_short
        return [
            each
            for each in usable
            if each.name not in self._closed
            or not self._snapshot.has_streams(each.name, is_short)
        ] or usable


def _list_gap_bounds(routes: Routes, pool: str) -> list[int]:
    bounds_ms = {
        route.target.token_gap_ms
        for route in routes.routes
        if any(entry.pool == pool for entry in route.pools)
    }
    return sorted(gap_ms for gap_ms in bounds_ms if gap_ms)
