"""What a look at a pool shows: the load and speed of each of its engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.knowledge.long_reads import SHORT_READ_TOKENS
from wingfall.gateway.rules.placement.engine_classes import PoolEngine

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.rules.placement.candidate import Demand

# Part of the time to a first event that may go by before a long read begins at
# an engine, so that what other gateways send meanwhile makes it late seldom.
_START_PART: Final = 0.75
# Part of an engine's slots up to which it takes streams of its group: beside
# long reads with the streams of these, which make its steps longer too; and if
# it takes no long reads.
_FULL_PART: Final = 0.45
_CLOSED_FULL_PART: Final = 0.75


@final
class PoolLook:
    """The engines of a pool at one moment."""

    __slots__ = ('_loads', '_slots', 'engines', 'reads_long')

    def __init__(
        self,
        *,
        usable: Sequence[PoolEndpoint],
        knowledge: EndpointKnowledge,
    ) -> None:
        """Look at a pool.

        :param usable: its engines that take new work.
        :param knowledge: what is known of them.
        """
        self.engines = {
            each.name: _describe(each, knowledge) for each in usable
        }
        self._slots = {each.name: each.slots for each in usable}
        self._loads = {
            each.name: knowledge.load.total(each.name) for each in usable
        }
        recent = sum(map(knowledge.long_reads.tokens, self.engines))
        # Whether long prompts have come lately.
        self.reads_long = recent >= SHORT_READ_TOKENS

    def count_streams(self, counts: Callable[[int], bool]) -> dict[int, int]:
        """Count the streams of some kinds.

        :param counts: whether streams that bear a gap count.
        :returns: how many bear which gap.
        """
        streams: dict[int, int] = {}
        for load in self._loads.values():
            for gap_ms, count in load.streams.items():
                if counts(gap_ms):
                    streams[gap_ms] = streams.get(gap_ms, 0) + count
        return streams

    def runs_any(self, engine: str, counts: Callable[[int], bool]) -> bool:
        """Tell whether streams of some kinds run at an engine.

        :param engine: its name.
        :param counts: whether streams that bear a gap count.
        :returns: whether one of them does.
        """
        load = self._loads.get(engine)
        return load is not None and any(map(counts, load.streams))

    def has_room(self, engine: str, closed: Collection[str]) -> bool:
        """Tell whether an engine takes another stream of its group.

        :param engine: its name.
        :param closed: engines that take no long reads.
        :returns: whether it has room.
        """
        load = self._loads.get(engine)
        if load is None:
            return False
        part = _CLOSED_FULL_PART if engine in closed else _FULL_PART
        return load.running < self._slots[engine] * part

    def begins_in_time(self, engine: str, demand: Demand) -> bool:
        """Tell whether an engine would begin a prompt in time.

        :param engine: its name.
        :param demand: what the prompt asks.
        :returns: whether it would; an engine that is new would.
        """
        load = self._loads.get(engine)
        if load is None or demand.start_target_ms is None:
            return True
        rate = self.engines[engine].rate
        start_ms = (load.reading_tokens + demand.tokens) / rate
        return start_ms <= demand.start_target_ms * _START_PART


def _describe(
    endpoint: PoolEndpoint,
    knowledge: EndpointKnowledge,
) -> PoolEngine:
    gaps = knowledge.full_gaps.find(endpoint.name)
    return PoolEngine(
        name=endpoint.name,
        rate=knowledge.speed(endpoint.name).rate.tokens_per_ms,
        slots=endpoint.slots,
        full_gaps_ms=gaps.gaps_ms,
        typical_gap_ms=gaps.typical_ms,
    )
