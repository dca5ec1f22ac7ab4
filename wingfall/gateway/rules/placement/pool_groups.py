"""The groups of one pool: collects what the rule asks, keeps what it says.

Which engines have room is worked out some times a second, not for each prompt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.knowledge.long_reads import SHORT_READ_TOKENS
from wingfall.gateway.rules.placement.engine_classes import PoolEngine
from wingfall.gateway.rules.placement.engine_groups import PoolState
from wingfall.gateway.rules.placement.gap_group import GapGroup
from wingfall.gateway.rules.placement.shortlist import SHORT_PROMPT_TOKENS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.knowledge.load import EndpointLoad
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
# Part of an engine's slots up to which it takes streams of its group, with the
# streams of long reads: they too make its steps longer.
_FULL_PART: Final = 0.45
# Part of the time to a first event that may go by before a long read begins at
# an engine, so that what other gateways send meanwhile makes it late seldom.
_START_PART: Final = 0.75
# Part of a new prompt's length in the average of its kind. Fifty prompts tell
# what is asked.
_LENGTH_WEIGHT: Final = 0.05


@final
class PoolGroups:
    """The groups of one pool as they are now."""

    __slots__ = (
        '_classes',
        '_closed',
        '_fit',
        '_groups',
        '_held_until_ms',
        '_idle_closed',
        '_knowledge',
        '_lengths',
        '_listed',
        '_metrics',
        '_parts_pool',
        '_pool',
        '_rates',
        '_safe_gaps',
        '_waits_ms',
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
        # When the groups were looked at last, by the clock.
        self.reviewed_ms = 0
        self._groups: dict[int, GapGroup] = {}
        self._classes: dict[str, int] = {}
        self._fit: dict[int, int] = {}
        # Engines that take no long reads, and those of them without a stream
        # of a short gap.
        self._closed: frozenset[str] = frozenset()
        self._idle_closed: frozenset[str] = frozenset()
        # For engines: the shortest gap that streams bear beside reads there,
        # when all is read that waits, and tokens that they read in a
        # millisecond.
        self._safe_gaps: dict[str, int] = {}
        self._waits_ms: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        # Mean length of the prompts whose streams bear a gap.
        self._lengths: dict[int, float] = {}
        # How many engines there were, and until when nothing moves.
        self._listed = 0
        self._held_until_ms = 0

    def note_prompt(self, demand: Demand) -> None:
        """Learn how long the prompts are whose streams bear a gap.

        :param demand: what a prompt asks.
        """
        gap_ms = demand.gap_target_ms
        if gap_ms is not None:
            mean = self._lengths.get(gap_ms, demand.tokens)
            mean += (demand.tokens - mean) * _LENGTH_WEIGHT
            self._lengths[gap_ms] = mean

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
        if self._is_long(demand):
            return self._list_open(demand, usable)
        if group is None:
            return self._list_open(demand, usable)
        for room in (group.room & group.fit, group.room):
            chosen = [each for each in usable if each.name in room]
            if chosen:
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
        loads = {
            each.name: self._knowledge.load.total(each.name) for each in usable
        }
        streams = self._count_streams(loads)
        parting = self._parts_pool(self._describe(routes, usable, streams))
        if parting is None:
            self._forget_groups()
            return
        self._note_loss(len(usable), now_ms)
        self._classes = dict(parting.classes)
        self._fit = dict(parting.fit)
        for gap_ms in parting.fit:
            if gap_ms not in self._groups:
                self._groups[gap_ms] = GapGroup(
                    pool=self._pool, gap_ms=gap_ms, metrics=self._metrics
                )
        held = now_ms < self._held_until_ms
        for gap_ms, group in self._groups.items():
            group.follow(parting, now_ms, held=held)
            group.log_change(streams, now_ms)
        self._note_engines(parting, usable, loads)

    def _describe(
        self,
        routes: Routes,
        usable: Sequence[PoolEndpoint],
        streams: dict[int, int],
    ) -> PoolState:
        return PoolState(
            name=self._pool,
            engines=[self._describe_engine(each) for each in usable],
            gap_bounds_ms=_list_bounds(routes, self._pool),
            streams=streams,
            classes=self._classes,
            fit=self._fit,
        )

    def _describe_engine(self, endpoint: PoolEndpoint) -> PoolEngine:
        speed = self._knowledge.speed(endpoint.name)
        gaps = self._knowledge.full_gaps.find(endpoint.name)
        return PoolEngine(
            name=endpoint.name,
            rate=speed.rate.tokens_per_ms,
            slots=endpoint.slots,
            full_gaps_ms=gaps.gaps_ms,
            typical_gap_ms=gaps.typical_ms,
        )

    def _count_streams(self, loads: dict[str, EndpointLoad]) -> dict[int, int]:
        # Engines are closed only for streams of short prompts, and only while
        # others bring long ones.
        recent = self._knowledge.long_reads.tokens
        if sum(map(recent, loads)) < SHORT_READ_TOKENS:
            return {}
        streams: dict[int, int] = {}
        for load in loads.values():
            for gap_ms, count in load.streams.items():
                if self._is_short(gap_ms):
                    streams[gap_ms] = streams.get(gap_ms, 0) + count
        return streams

    def _is_long(self, demand: Demand) -> bool:
        # A short one among long ones is read with as many others.
        gap_ms = demand.gap_target_ms
        long = demand.tokens > SHORT_PROMPT_TOKENS
        return long or (gap_ms is not None and not self._is_short(gap_ms))

    def _is_short(self, gap_ms: int) -> bool:
        return 0 < self._lengths.get(gap_ms, 0) <= SHORT_PROMPT_TOKENS

    def _note_loss(self, listed: int, now_ms: int) -> None:
        if listed <= self._listed * (1 - _LOST_PART):
            self._held_until_ms = now_ms + _HOLD_MS
        self._listed = listed

    def _note_engines(
        self,
        parting: Parting,
        usable: Sequence[PoolEndpoint],
        loads: dict[str, EndpointLoad],
    ) -> None:
        self._rates = {
            each.name: self._knowledge.speed(each.name).rate.tokens_per_ms
            for each in usable
        }
        self._waits_ms = {
            name: load.reading_tokens / self._rates[name]
            for name, load in loads.items()
        }
        self._safe_gaps = {}
        for gap_ms in sorted(parting.fit, reverse=True):
            fit = self._groups[gap_ms].fit
            self._safe_gaps.update(dict.fromkeys(fit, gap_ms))
        self._note_room(usable, loads)

    def _note_room(
        self,
        usable: Sequence[PoolEndpoint],
        loads: dict[str, EndpointLoad],
    ) -> None:
        groups = self._groups.values()
        self._closed = frozenset().union(*(each.closed for each in groups))
        self._idle_closed = frozenset(
            name for name in self._closed if not self._has_short(loads[name])
        )
        for group in groups:
            group.room = frozenset(
                each.name
                for each in usable
                if each.name in group.engines
                and loads[each.name].running < each.slots * _FULL_PART
            )

    def _has_short(self, load: EndpointLoad) -> bool:
        return any(map(self._is_short, load.streams))

    def _list_in_time(
        self,
        demand: Demand,
        usable: Iterable[PoolEndpoint],
        names: Iterable[str],
    ) -> list[PoolEndpoint]:
        most_ms = (demand.start_target_ms or 0) * _START_PART
        in_time = {
            name for name in names if self._start_ms(demand, name) <= most_ms
        }
        return [each for each in usable if each.name in in_time]

    def _list_open(
        self,
        demand: Demand,
        usable: list[PoolEndpoint],
    ) -> list[PoolEndpoint]:
        if not self._closed:
            return usable
        names = [each.name for each in usable if each.name not in self._closed]
        shut = self._closed
        if not self._list_in_time(demand, usable, names):
            shut -= self._idle_closed
        return [each for each in usable if each.name not in shut] or usable

    def _start_ms(self, demand: Demand, engine: str) -> float:
        rate = self._rates.get(engine)
        if rate is None:
            return 0
        return self._waits_ms[engine] + demand.tokens / rate

    def _forget_groups(self) -> None:
        for group in self._groups.values():
            group.log_end()
        self._groups = {}
        self._classes = {}
        self._fit = {}
        self._safe_gaps = {}
        self._closed = frozenset()
        self._idle_closed = frozenset()


def _list_bounds(routes: Routes, pool: str) -> list[int]:
    bounds = {
        route.target.token_gap_ms
        for route in routes.routes
        if any(entry.pool == pool for entry in route.pools)
    }
    return sorted(gap_ms for gap_ms in bounds if gap_ms)
