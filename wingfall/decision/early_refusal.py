"""Which prompts are refused at once because they would start too late.

An engine reads the prompts that it has let in one after the other, so what
waits to be read there tells when the next one starts. A prompt that would
miss its target is refused early, with the time after which its caller may
come back, instead of holding up those behind it.
"""

from __future__ import annotations

from typing import Callable, Final, final

from returns.result import Failure, Result, Success

from wingfall.registry import Registry

# A caller that was refused before is let in a little later than others.
_RETURNED_PART: Final = 0.85
_RETURNED_ROOM: Final = 1.6
# The most urgent tier is refused only when most of its time would be over.
_URGENT_PART: Final = 0.5
_MIN_RETRY_MS: Final = 200
_USABLE_PART: Final = 3


@final
class StartEstimate:
    """When a prompt would start, beside what its caller asks for."""

    __slots__ = ('left_ms', 'start_ms', 'target_ms', 'timeout_ms', 'urgent')

    def __init__(
        self,
        *,
        start_ms: float,
        target_ms: int,
        left_ms: int,
        timeout_ms: int,
        urgent: bool,
    ) -> None:
        """Describe a prompt.

        :param start_ms: when its answer would begin, from now.
        :param target_ms: when it should.
        :param left_ms: how long its caller waits.
        :param timeout_ms: how long a fresh caller waits.
        :param urgent: whether no other tier of the pool goes before it.
        """
        self.start_ms = start_ms
        self.target_ms = target_ms
        self.left_ms = left_ms
        self.timeout_ms = timeout_ms
        self.urgent = urgent


Admission = Callable[[StartEstimate], Result[None, int]]
admissions: Final[Registry[Admission]] = Registry(kind='admission')


@admissions.register('target')
def admit_by_target(estimate: StartEstimate) -> Result[None, int]:
    """Refuse what would start after its target.

    :param estimate: the prompt.
    :returns: nothing, or after how many milliseconds to ask again.
    """
    bound_ms: float = estimate.target_ms
    if estimate.left_ms < estimate.timeout_ms * _RETURNED_PART:
        bound_ms *= _RETURNED_ROOM
    if estimate.urgent:
        bound_ms = max(bound_ms, estimate.left_ms * _URGENT_PART)
    if estimate.start_ms <= bound_ms:
        return Success(None)
    over_ms = estimate.start_ms - estimate.target_ms / 2
    usable_ms = estimate.left_ms / _USABLE_PART
    return Failure(int(max(_MIN_RETRY_MS, min(over_ms, usable_ms))))


@admissions.register('always')
def admit_always(estimate: StartEstimate) -> Result[None, int]:
    """Refuse nothing, as the baseline.

    :param estimate: the prompt, which doesn't matter.
    :returns: nothing.
    """
    return Success(None)
