"""Backup of the memory of a running stream on a second engine.

A stream that can be neither repeated nor resumed ends if its engine fails,
unless another engine holds a copy of the prefilled prompt and the output: then
the same run continues there. Copying costs bytes between engines for each
stream, also for the many whose engine does not fail.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.rules.placement.cache_transfer import MAX_FAILURE_RATE
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.rules.placement.candidate import Candidate, Demand
    from wingfall.gateway.rules.placement.endpoint_choice import Placement

# Minimum ratio of answer to prompt length. A copy costs the bytes of prompt and
# answer; its benefit grows with the run time of the stream, so with its answer.
_MIN_ANSWER_RATIO: Final = 0.5

StreamBackup = Callable[['RunLength', bool], bool]
stream_backups: Final[Registry[StreamBackup]] = Registry(kind='stream backup')


@final
class RunLength:
    """Lengths of the prompt and the answer of a run."""

    __slots__ = ('output_tokens', 'prompt_tokens')

    def __init__(self, *, prompt_tokens: int, output_tokens: int) -> None:
        """Describe a run.

        :param prompt_tokens: length of the prompt.
        :param output_tokens: expected length of the answer.
        """
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens


@stream_backups.register('long_answers')
def back_up_long_answers(length: RunLength, resumable: bool) -> bool:
    """Back up runs with long answers that cannot be resumed.

    :param length: lengths of prompt and answer.
    :param resumable: whether another engine can resume without a backup.
    :returns: whether to back up the run.
    """
    min_output_tokens = length.prompt_tokens * _MIN_ANSWER_RATIO
    return not resumable and length.output_tokens >= min_output_tokens


@stream_backups.register('none')
def back_up_nothing(length: RunLength, resumable: bool) -> bool:
    """Back up no runs, as the baseline.

    :param length: lengths of prompt and answer, ignored.
    :param resumable: whether another engine can resume the stream, ignored.
    :returns: False.
    """
    return False


def choose_backup(
    candidates: Sequence[Candidate],
    demand: Demand,
    *,
    resumable: bool,
    should_back_up: StreamBackup,
    place: Placement,
) -> Candidate | None:
    """Choose the engine that holds the backup of a stream.

    :param candidates: all engines except the engine that runs the stream.
    :param demand: requirements of the stream.
    :param resumable: whether another engine can resume without a backup.
    :param should_back_up: the configured policy, which decides on the backup.
    :param place: rule that chooses among engines.
    :returns: the backup engine, None for no backup.
    """
    healthy = [
        each for each in candidates if each.failure_rate < MAX_FAILURE_RATE
    ]
    length = RunLength(
        prompt_tokens=demand.tokens,
        output_tokens=demand.output_tokens,
    )
    if not healthy or not should_back_up(length, resumable):
        return None
    return place(demand, healthy)
