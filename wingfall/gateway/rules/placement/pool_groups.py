"""The groups of one pool: puts to the rule what is known, keeps what it says.

Which engines have room is worked out some times a second, not for each prompt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.rules.placement.engine_groups import PoolState
from wingfall.gateway.rules.placement.gap_group import GapGroup
from wingfall.gateway.rules.placement.pool_look import PoolLook
from wingfall.gateway.rules.placement.prompt_kinds import PromptKinds

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.rules.placement.candidate import Demand
    from wingfall.gateway.rules.placement.engine_groups import (
        EngineGroups,
        Parting,
    )
    from wingfall.metrics import Metrics

# Part of the engines whose loss at once stops all moves: the streams of those
# that went are sent again, so that what runs tells nothing for a while.
_LOST_PART: Final = 0.25
# Milliseconds for which nothing moves after such a loss: until the streams that
# were sent again have ended, and new engines are listed.
_HOLD_MS: Final = 5000


# Engines with room that are enough to choose among: what runs at them was
# looked at a moment ago; a crowd of prompts would all go to the last one.
_FEWEST_WEIGHED: Final = 3


@final
class PoolGroups:
    """The groups of one pool as they are now."""

    __slots__ = (
        '_classes',
        '_closed',
        '_fit',
        '_groups',
        '_held_until_ms',
        '_kinds',
        '_knowledge',
        '_listed',
        '_look',
        '_metrics',
        '_parts_pool',
        '_pool',
        '_safe_gaps',
        'reviewed_ms',
    )

    def __init__(
        self,
        *,
        pool: str,
        knowledge: EndpointKnowledge,
        parts_pool: EngineGroups,
        metrics: Metrics | None,
    ) -> None:
        """Start without a group.

        :param pool: name of the pool.
        :param knowledge: what is known of the engines.
        :param parts_pool: decides which engines are kept.
        :param metrics: counts changes, if given.
        """
        self._pool = pool
        self._knowledge = knowledge
        self._parts_pool = parts_pool
        self._metrics = metrics
        self._kinds = PromptKinds()
        self._look = PoolLook(usable=(), knowledge=knowledge)
        # When the pool was looked at last, by the clock; None if never.
        self.reviewed_ms: int | None = None
        self._groups: dict[int, GapGroup] = {}
        # What the rule said last.
        self._classes: dict[str, int] = {}
        self._fit: dict[int, int] = {}
        # Engines that take no long reads.
        self._closed: frozenset[str] = frozenset()
        # The shortest gap that streams bear beside reads, by engine.
        self._safe_gaps: dict[str, int] = {}
        # How many engines there were, and until when nothing moves.
        self._listed = 0
        self._held_until_ms = 0

    def note_prompt(self, demand: Demand) -> None:
        """Learn how long the prompts of each kind are.

        :param demand: what a prompt asks.
        """
        self._kinds.note(demand)

    def narrow(
        self,
        demand: Demand,
        usable: list[PoolEndpoint],
    ) -> list[PoolEndpoint]:
        """Leave out engines that a prompt should not go to.

        :param demand: what the prompt asks.
        :param usable: engines of the pool that take new work.
        :returns: those that it may go to, all where none is kept.
        """
        if not self._groups:
            return usable
        group = self._groups.get(demand.gap_target_ms or 0)
        if group is None or self._kinds.is_long(demand):
            return self._list_open(demand, usable)
        for room in (group.room & group.fit, group.room):
            chosen = [each for each in usable if each.name in room]
            if len(chosen) >= _FEWEST_WEIGHED:
                return chosen
        return usable

    def safe_gap_ms(self, engine: str) -> int | None:
        """Tell beside which streams reads at an engine are harmless.

        :param engine: its name.
        :returns: the shortest gap in milliseconds that streams there may bear;
            None if it is not known.
        """
        return self._safe_gaps.get(engine)

    def show(self) -> dict[str, Any]:
        """Show the groups.

        :returns: for each gap what :class:`GapGroup` shows.
        """
        return {
            str(gap_ms): group.show() for gap_ms, group in self._groups.items()
        }

    def review(
        self,
        routes: Routes,
        usable: Sequence[PoolEndpoint],
        now_ms: int,
    ) -> None:
        """Look at the pool, and move each group by one engine at most.

        :param routes: the configuration in force.
        :param usable: engines of the pool that take new work.
        :param now_ms: the time.
        """
        self.reviewed_ms = now_ms
        self._note_loss(len(usable), now_ms)
        self._look = PoolLook(usable=usable, knowledge=self._knowledge)
        state = self._describe(routes)
        parting = self._parts_pool(state)
        if parting is None:
            self.forget_groups()
        else:
            self._move_groups(parting, now_ms)
            for group in self._groups.values():
                group.log_change(state.streams, now_ms)

    def forget_groups(self) -> None:
        """Let all engines be for all streams."""
        if not self._groups:
            return
        for group in self._groups.values():
            group.log_end()
        # Reads count as harmless until gaps are clearly too long again.
        classes = len(set(self._classes.values()))
        self._fit = dict.fromkeys(self._groups, classes)
        self._groups = {}
        self._safe_gaps = {}
        self._closed = frozenset()

    def _describe(self, routes: Routes) -> PoolState:
        # Engines are closed only for streams of short prompts, and only while
        # others bring long ones.
        streams = {}
        if self._look.reads_long:
            streams = self._look.count_streams(self._kinds.is_short)
        return PoolState(
            name=self._pool,
            engines=list(self._look.engines.values()),
            gap_bounds_ms=_list_bounds(routes, self._pool),
            streams=streams,
            classes=self._classes,
            fit=self._fit,
        )

    def _note_loss(self, listed: int, now_ms: int) -> None:
        if listed <= self._listed * (1 - _LOST_PART):
            self._held_until_ms = now_ms + _HOLD_MS
        self._listed = listed

    def _move_groups(self, parting: Parting, now_ms: int) -> None:
        self._classes = dict(parting.classes)
        self._fit = dict(parting.fit)
        held = now_ms < self._held_until_ms
        for gap_ms in parting.fit:
            if gap_ms not in self._groups:
                self._groups[gap_ms] = GapGroup(
                    pool=self._pool, gap_ms=gap_ms, metrics=self._metrics
                )
        for gone in self._groups.keys() - parting.fit.keys():
            self._groups.pop(gone).log_end()
        for group in self._groups.values():
            group.follow(parting, now_ms, held=held)
        self._note_engines()

    def _note_engines(self) -> None:
        groups = self._groups.values()
        self._closed = frozenset().union(*(each.closed for each in groups))
        self._safe_gaps = {}
        for gap_ms in sorted(self._groups, reverse=True):
            fit = self._groups[gap_ms].fit
            self._safe_gaps.update(dict.fromkeys(fit, gap_ms))
        for group in groups:
            group.room = frozenset(
                name
                for name in group.engines
                if self._look.has_room(name, self._closed)
            )

    def _list_open(
        self,
        demand: Demand,
        usable: list[PoolEndpoint],
    ) -> list[PoolEndpoint]:
        if not self._closed:
            return usable
        listed = [each for each in usable if each.name not in self._closed]
        if any(self._look.begins_in_time(each.name, demand) for each in listed):
            return listed
        is_short = self._kinds.is_short
        return [
            each
            for each in usable
            if each.name not in self._closed
            or not self._look.runs_any(each.name, is_short)
        ] or usable


def _list_bounds(routes: Routes, pool: str) -> list[int]:
    bounds = {
        route.target.token_gap_ms
        for route in routes.routes
        if any(entry.pool == pool for entry in route.pools)
    }
    return sorted(gap_ms for gap_ms in bounds if gap_ms)
