"""Early refusal of prompts that would start too late.

An engine prefills its admitted prompts one after the other, so its pending
prefill tokens determine when the next prompt starts. A prompt that would miss
its target is refused early, with a delay after which its caller may retry,
because it would delay the prompts behind it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Callable, Final, final

from returns.result import Failure, Result, Success

from wingfall.gateway.rules.admission.retry_after import retry_after_queue_ms
from wingfall.registry import Registry

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.start_estimates import StartErrorStats

# Fraction of the caller's remaining time after which a prompt of the most
# urgent tier is refused: no tier precedes it, and prompts of lower tiers that
# start meanwhile must not be served instead.
_URGENT_DEADLINE_FRACTION: Final = 0.5
# Relative use of a customer from which on its prompts have the shortest bound,
# the bound of their tier divided by this number. As a queue grows, they are
# refused long before it is too long for customers within their shares.
MAX_RELATIVE_USE: Final = 4
# Milliseconds of work that an engine has queued before a prompt is refused for
# its customer's share. Gateways receive the end of a prefill a tenth of a
# second late, so an engine with less work would become idle while prompts are
# refused.
_MIN_QUEUED_WORK_MS: Final = 100
# Maximum margin factor on estimates: the first few starts of a pool, or a
# failure of many engines, do not predict the error of later starts.
_MAX_MARGIN_FACTOR: Final = 1.5


@final
class StartEstimate:
    """Estimated start of a prompt at an engine, with its target and limits."""

    __slots__ = (
        'empty_queue_start_ms',
        'left_ms',
        'lowest',
        'margin',
        'start_ms',
        'stream_ms',
        'target_ms',
        'urgent',
        'use',
    )

    def __init__(
        self,
        *,
        start_ms: float,
        target_ms: int,
        left_ms: int,
        urgent: bool,
        lowest: bool = True,
        empty_queue_start_ms: float = 0,
        stream_ms: float = 0,
        use: float = 1,
        margin: float = 1,
    ) -> None:
        """Initialize the estimate.

        :param start_ms: milliseconds until the answer begins.
        :param target_ms: milliseconds within which the answer should begin.
        :param left_ms: milliseconds that the caller still waits.
        :param urgent: whether its tier is the most urgent of the pool.
        :param lowest: whether its tier is the least urgent of the pool.
        :param empty_queue_start_ms: milliseconds until the answer begins
            at an engine with an empty queue.
        :param stream_ms: milliseconds from the start to the end of the answer.
        :param use: relative use, the use of its customer as a multiple of the
            customer's fair share.
        :param margin: factor between estimated and actual times that most
            starts do not exceed.
        """
        self.start_ms = start_ms
        self.target_ms = target_ms
        self.left_ms = left_ms
        self.urgent = urgent
        self.lowest = lowest
        self.empty_queue_start_ms = empty_queue_start_ms
        self.stream_ms = stream_ms
        self.use = use
        self.margin = margin


AdmissionCheck = Callable[[StartEstimate], Result[None, int]]


@final
class Admission:
    """An admission rule for prompts, with the inputs that it needs."""

    __slots__ = ('_check', 'is_pool_wide')

    def __init__(self, *, check: AdmissionCheck, is_pool_wide: bool) -> None:
        """Initialize the rule.

        :param check: admits a prompt at one engine or refuses it there.
        :param is_pool_wide: whether the rule checks each engine of the pool
            before it refuses a prompt, and needs the relative use of customers.
        """
        self._check = check
        self.is_pool_wide = is_pool_wide

    def __call__(self, estimate: StartEstimate) -> Result[None, int]:
        """Admit a prompt at one engine or refuse it there.

        :param estimate: estimated start of the prompt.
        :returns: nothing, or the retry delay in milliseconds.
        """
        return self._check(estimate)


admissions: Final[Registry[Admission]] = Registry(kind='admission')


def register_admission(
    name: str,
    *,
    is_pool_wide: bool = False,
) -> Callable[[AdmissionCheck], AdmissionCheck]:
    """Register the decorated function as an admission rule.

    :param name: name of the rule in the settings.
    :param is_pool_wide: see :class:`Admission`.
    :returns: a decorator that returns its argument.
    """

    def decorate(check: AdmissionCheck) -> AdmissionCheck:
        admission = Admission(check=check, is_pool_wide=is_pool_wide)
        admissions.register(name)(admission)
        return check

    return decorate


@register_admission('target')
def admit_by_target(estimate: StartEstimate) -> Result[None, int]:
    """Refuse a prompt that would start after its target.

    :param estimate: estimated start of the prompt.
    :returns: nothing, or the retry delay in milliseconds.
    """
    if estimate.start_ms <= start_bound_ms(estimate):
        return Success(None)
    return Failure(
        retry_after_queue_ms(
            estimate.start_ms,
            estimate.target_ms,
            estimate.left_ms,
        ),
    )


def start_bound_ms(estimate: StartEstimate) -> float:
    """Return the latest start that the tier of a prompt allows.

    :param estimate: estimated start of the prompt.
    :returns: milliseconds from now.
    """
    if estimate.urgent:
        return max(
            estimate.target_ms, estimate.left_ms * _URGENT_DEADLINE_FRACTION
        )
    return estimate.target_ms


@register_admission('fair', is_pool_wide=True)
def admit_fairly(estimate: StartEstimate) -> Result[None, int]:
    """Refuse a prompt that would end too late or exceed its fair bound.

    :param estimate: estimated start of the prompt.
    :returns: nothing, or the retry delay in milliseconds.
    """
    end_ms = estimate.start_ms + estimate.stream_ms
    in_time = end_ms <= estimate.left_ms
    if in_time and estimate.start_ms <= fair_bound_ms(estimate):
        return Success(None)
    relative_use = _bounded_relative_use(estimate)
    retry_ms = retry_after_queue_ms(
        estimate.start_ms,
        estimate.target_ms / estimate.margin / relative_use,
        estimate.left_ms,
    )
    # At a relative use of n, one prompt in n of the customer can be admitted.
    return Failure(int(min(retry_ms * relative_use, estimate.left_ms)))


def fair_bound_ms(estimate: StartEstimate) -> float:
    """Return the latest start that the share of a prompt's customer allows.

    :param estimate: estimated start of the prompt.
    :returns: milliseconds from now.
    """
    tier_bound_ms = start_bound_ms(estimate) / estimate.margin
    bound_ms = tier_bound_ms / _bounded_relative_use(estimate)
    if not estimate.lowest:
        # No prompt is refused in favor of a lower tier, whatever its customer.
        bound_ms = max(bound_ms, estimate.target_ms / estimate.margin)
    bound_ms = max(
        bound_ms,
        min(tier_bound_ms, estimate.empty_queue_start_ms + _MIN_QUEUED_WORK_MS),
    )
    # A prompt that nothing is queued before starts no sooner when retried.
    return max(bound_ms, estimate.empty_queue_start_ms)


def refusal_reason(estimate: StartEstimate) -> str:
    """Return why :func:`admit_fairly` refuses a prompt.

    :param estimate: estimate for the engine where the prompt starts earliest.
    :returns: ``ends_late``, ``over_share`` if other customers' prompts would be
        admitted, or ``no_room``.
    """
    if estimate.start_ms <= fair_bound_ms(estimate):
        return 'ends_late'
    if estimate.start_ms <= start_bound_ms(estimate) / estimate.margin:
        return 'over_share'
    return 'no_room'


def start_margin(error: StartErrorStats | None) -> float:
    """Return the factor on estimates that three in four starts do not exceed.

    Half of all starts are later than their estimate. A bound on the estimate
    alone would admit as many late prompts as punctual ones, and the late ones
    would delay the prompts behind them.

    :param error: error of past estimates, None if unknown.
    :returns: the factor; 1 if the error is unknown.
    """
    if error is None or not error.median:
        return 1
    # The third quartile is about halfway from the median to the worst tenth.
    return min(_MAX_MARGIN_FACTOR, math.sqrt(error.worst_tenth / error.median))


@register_admission('always')
def admit_always(estimate: StartEstimate) -> Result[None, int]:
    """Admit every prompt, as the baseline.

    :param estimate: estimated start of the prompt, unused.
    :returns: nothing.
    """
    return Success(None)


def _bounded_relative_use(estimate: StartEstimate) -> float:
    return min(MAX_RELATIVE_USE, max(1, estimate.use))
