"""Whether the memory of a running stream is kept at a second engine as well.

A stream that may neither be repeated nor resumed ends with its engine, unless
another engine holds a copy of what it has read and made: then the same run
goes on there. Copying costs bytes between engines for each stream, also for
the many whose engine stays.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.gateway.rules.placement.cache_transfer import MOST_FAILING
from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.rules.placement.candidate import Candidate, Demand
    from wingfall.gateway.rules.placement.endpoint_choice import Placement

# A copy costs the bytes of prompt and answer; what it saves grows with the time
# that the stream runs, so with its answer. Answers half as long as their prompt
# or longer are worth it.
_ANSWER_PART: Final = 0.5

StreamBackup = Callable[['RunLength', bool], bool]
stream_backups: Final[Registry[StreamBackup]] = Registry(kind='stream backup')


@final
class RunLength:
    """How long the prompt and the answer of a run are."""

    __slots__ = ('output_tokens', 'prompt_tokens')

    def __init__(self, *, prompt_tokens: int, output_tokens: int) -> None:
        """Describe a run.

        :param prompt_tokens: length of the prompt.
        :param output_tokens: likely length of the answer.
        """
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens


@stream_backups.register('long_answers')
def back_up_long_answers(length: RunLength, resumable: bool) -> bool:
    """Keep a copy of runs that would be lost and have long answers.

    :param length: how long the run is.
    :param resumable: whether another engine may resume the stream without.
    :returns: whether to keep a copy.
    """
    least = length.prompt_tokens * _ANSWER_PART
    return not resumable and length.output_tokens >= least


@stream_backups.register('none')
def back_up_nothing(length: RunLength, resumable: bool) -> bool:
    """Keep no copies, as the baseline.

    :param length: how long the run is, which doesn't matter.
    :param resumable: which doesn't matter.
    :returns: False.
    """
    return False


def choose_backup(
    candidates: Sequence[Candidate],
    demand: Demand,
    *,
    resumable: bool,
    is_worth_it: StreamBackup,
    place: Placement,
) -> Candidate | None:
    """Choose the engine that keeps a copy of a stream's run.

    :param candidates: the engines but for the one that runs it.
    :param demand: what the stream asks of an engine.
    :param resumable: whether another engine may resume the stream without.
    :param is_worth_it: the policy that settings have chosen.
    :param place: chooses among engines.
    :returns: the engine, None if there is to be no copy.
    """
    sound = [each for each in candidates if each.failing < MOST_FAILING]
    length = RunLength(
        prompt_tokens=demand.tokens,
        output_tokens=demand.output_tokens,
    )
    if not sound or not is_worth_it(length, resumable):
        return None
    return place(demand, sound)
