"""Which prompts are refused at once because they would start too late.

An engine reads the prompts that it has let in one after the other, so what
waits to be read there tells when the next one starts. A prompt that would
miss its target is refused early, with the time after which its caller may
come back, instead of holding up those behind it.
"""

from __future__ import annotations

from typing import Callable, Final, final

from returns.result import Failure, Result, Success

from wingfall.gateway.rules.admission.retry_after import retry_after_queue_ms
from wingfall.registry import Registry

# The most urgent tier is refused only if it would start after so much of the
# time that its callers wait: no tier goes before it, and those of lower tiers
# that start meanwhile must not be served instead.
_URGENT_PART: Final = 0.5


@final
class StartEstimate:
    """When a prompt would start, beside what its caller asks for."""

    __slots__ = ('left_ms', 'start_ms', 'target_ms', 'urgent')

    def __init__(
        self,
        *,
        start_ms: float,
        target_ms: int,
        left_ms: int,
        urgent: bool,
    ) -> None:
        """Describe a prompt.

        :param start_ms: when its answer would begin, from now.
        :param target_ms: when it should.
        :param left_ms: how long its caller waits.
        :param urgent: whether no other tier of the pool goes before it.
        """
        self.start_ms = start_ms
        self.target_ms = target_ms
        self.left_ms = left_ms
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
    if estimate.urgent:
        bound_ms = max(bound_ms, estimate.left_ms * _URGENT_PART)
    if estimate.start_ms <= bound_ms:
        return Success(None)
    return Failure(
        retry_after_queue_ms(
            estimate.start_ms,
            estimate.target_ms,
            estimate.left_ms,
        ),
    )


@admissions.register('always')
def admit_always(estimate: StartEstimate) -> Result[None, int]:
    """Refuse nothing, as the baseline.

    :param estimate: the prompt, which doesn't matter.
    :returns: nothing.
    """
    return Success(None)
