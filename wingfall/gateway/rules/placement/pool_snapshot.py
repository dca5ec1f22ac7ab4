"""A snapshot of a pool: the load and prefill rate of each engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.knowledge.long_reads import SHORT_PREFILL_TOKENS
from wingfall.gateway.rules.placement.engine_classes import PoolEngine

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.rules.placement.candidate import Demand

# Share of the target time to first event within which an engine must end a long
# prefill, so that requests that other gateways send meanwhile seldom make it
# late.
_START_TARGET_FRACTION: Final = 0.75
# Share of an engine's slots up to which it takes streams of its group: beside
# long prefills, whose own streams make its steps longer too; and if closed to
# long prefills.
_OPEN_SLOT_FRACTION: Final = 0.45
_CLOSED_SLOT_FRACTION: Final = 0.75


@final
class PoolSnapshot:
    """The engines of a pool and their loads at one moment."""

    __slots__ = ('_loads', '_slots', 'engines', 'has_long_prefills')

    def __init__(
        self,
        *,
        usable: Sequence[PoolEndpoint],
        knowledge: EndpointKnowledge,
    ) -> None:
        """Create a snapshot of a pool.

        :param usable: engines of the pool that take new work.
        :param knowledge: loads, rates and token gaps of the engines.
        """
        self.engines = {
            each.name: _build_engine(each, knowledge) for each in usable
        }
        self._slots = {each.name: each.slots for each in usable}
        self._loads = {
            each.name: knowledge.load.total(each.name) for each in usable
        }
        recent_tokens = sum(map(knowledge.long_reads.tokens, self.engines))
        # Whether long prompts arrived recently.
        self.has_long_prefills = recent_tokens >= SHORT_PREFILL_TOKENS

    def count_streams(
        self, is_counted: Callable[[int], bool]
    ) -> dict[int, int]:
        """Count streams by their token gap bound.

        :param is_counted: whether streams with a token gap bound are counted.
        :returns: number of streams by token gap bound in milliseconds.
        """
        streams: dict[int, int] = {}
        for load in self._loads.values():
            for gap_ms, count in load.streams.items():
                if is_counted(gap_ms):
                    streams[gap_ms] = streams.get(gap_ms, 0) + count
        return streams

    def has_streams(
        self, engine: str, is_counted: Callable[[int], bool]
    ) -> bool:
        """Check if streams with certain token gap bounds run at an engine.

        :param engine: name of the engine.
        :param is_counted: whether streams with a token gap bound are counted.
        :returns: True if at least one such stream runs.
        """
        load = self._loads.get(engine)
        return load is not None and any(map(is_counted, load.streams))

    def has_free_capacity(self, engine: str, closed: Collection[str]) -> bool:
        """Check if an engine takes another stream of its group.

        :param engine: name of the engine.
        :param closed: names of engines that are closed to long prefills.
        :returns: True if the engine has free capacity.
        """
        load = self._loads.get(engine)
        if load is None:
            return False
        fraction = (
            _CLOSED_SLOT_FRACTION if engine in closed else _OPEN_SLOT_FRACTION
        )
        return load.running < self._slots[engine] * fraction

    def starts_in_time(self, engine: str, demand: Demand) -> bool:
        """Check if an engine would begin the output of a prompt in time.

        :param engine: name of the engine.
        :param demand: the demand of the prompt.
        :returns: True if it would, also for an engine outside the snapshot.
        """
        load = self._loads.get(engine)
        if load is None or demand.start_target_ms is None:
            return True
        rate = self.engines[engine].rate
        start_ms = (load.prefill_tokens + demand.tokens) / rate
        return start_ms <= demand.start_target_ms * _START_TARGET_FRACTION


def _build_engine(
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
