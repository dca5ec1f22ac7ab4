"""Which engines of a pool are kept for streams that bear only short gaps.

Answers a pool that reads long prompts beside streams whose token gaps must be
short: while an engine reads, all its streams pause. Where the gaps beside reads
are longer than some streams bear, these streams get engines of their own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wingfall.gateway.knowledge.engine_speed import EngineSpeed


@final
class PoolState:
    """What is known of a pool when its engines are parted."""

    __slots__ = ('gap_targets_ms', 'kept', 'speeds', 'streams')

    def __init__(
        self,
        *,
        speeds: Mapping[str, EngineSpeed],
        gap_targets_ms: Sequence[int],
        streams: Mapping[int, int],
        kept: frozenset[str],
    ) -> None:
        """Describe a pool.

        :param speeds: its engines by name, and what each has shown.
        :param gap_targets_ms: the longest token gaps in milliseconds that the
            streams of its routes bear, each once.
        :param streams: how many streams run in the pool, by all gateways, that
            bear which gap.
        :param kept: engines that are kept now.
        """
        self.speeds = speeds
        self.gap_targets_ms = gap_targets_ms
        self.streams = streams
        self.kept = kept


EngineGroups = Callable[['PoolState'], frozenset[str]]
engine_groups: Final[Registry[EngineGroups]] = Registry(kind='engine groups')


@engine_groups.register('none')
def keep_none(pool: PoolState) -> frozenset[str]:
    """Keep no engine, as the baseline.

    :param pool: the pool, which doesn't matter.
    :returns: no engine.
    """
    return frozenset()
