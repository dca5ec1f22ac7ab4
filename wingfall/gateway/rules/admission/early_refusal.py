"""Which prompts are refused at once because they would start too late.

An engine reads the prompts that it has let in one after the other, so what
waits to be read there tells when the next one starts. A prompt that would
miss its target is refused early, with the time after which its caller may
come back, instead of holding up those behind it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Callable, Final, final

from returns.result import Failure, Result, Success

from wingfall.gateway.rules.admission.retry_after import retry_after_queue_ms
from wingfall.registry import Registry

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.start_estimates import StartError

# The most urgent tier is refused only if it would start after so much of the
# time that its callers wait: no tier goes before it, and those of lower tiers
# that start meanwhile must not be served instead.
_URGENT_PART: Final = 0.5
# Multiple of its fair share from which on a customer's prompts meet the
# shortest bound, that part of their tier's: as a queue grows, they are refused
# long before it is too long for customers within their shares.
MOST_OVER_SHARE: Final = 4
# Milliseconds of work that engines hold before anybody is refused for a share.
# Gateways hear a tenth of a second late that a prompt was read, so that an
# engine with less runs out of work while prompts are refused.
_KEPT_BUSY_MS: Final = 100
# Bound of the margin on estimates: the first few starts of a pool, or a failure
# of many engines, say little of the error of those that come after them.
_MOST_MARGIN: Final = 1.5


@final
class StartEstimate:
    """When a prompt would start, beside what its caller asks for."""

    __slots__ = (
        'alone_ms',
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
        alone_ms: float = 0,
        stream_ms: float = 0,
        use: float = 1,
        margin: float = 1,
    ) -> None:
        """Describe a prompt.

        :param start_ms: when its answer would begin, from now.
        :param target_ms: when it should.
        :param left_ms: how long its caller waits.
        :param urgent: whether no other tier of the pool goes before it.
        :param lowest: whether it goes before no other tier of the pool.
        :param alone_ms: when its answer would begin if nothing waited before
            it.
        :param stream_ms: from its start to the end of its answer.
        :param use: what its customer uses as a multiple of its fair share.
        :param margin: by how many times most starts are later than estimated
            at most.
        """
        self.start_ms = start_ms
        self.target_ms = target_ms
        self.left_ms = left_ms
        self.urgent = urgent
        self.lowest = lowest
        self.alone_ms = alone_ms
        self.stream_ms = stream_ms
        self.use = use
        self.margin = margin


Judgement = Callable[[StartEstimate], Result[None, int]]


@final
class Admission:
    """A rule that admits prompts, and what it has to be told."""

    __slots__ = ('_judge', 'weighs_pool')

    def __init__(self, *, judge: Judgement, weighs_pool: bool) -> None:
        """Describe a rule.

        :param judge: admits a prompt at one engine or refuses it there.
        :param weighs_pool: whether it is asked for each engine of the pool
            before a prompt is refused, and told what customers use.
        """
        self._judge = judge
        self.weighs_pool = weighs_pool

    def __call__(self, estimate: StartEstimate) -> Result[None, int]:
        """Admit a prompt at one engine or refuse it there.

        :param estimate: the prompt.
        :returns: nothing, or after how many milliseconds to ask again.
        """
        return self._judge(estimate)


admissions: Final[Registry[Admission]] = Registry(kind='admission')


def register_admission(
    name: str,
    *,
    weighs_pool: bool = False,
) -> Callable[[Judgement], Judgement]:
    """Register the decorated function as an admission.

    :param name: the name that the settings use.
    :param weighs_pool: see :class:`Admission`.
    :returns: a decorator that gives its argument back.
    """

    def decorate(judge: Judgement) -> Judgement:
        admission = Admission(judge=judge, weighs_pool=weighs_pool)
        admissions.register(name)(admission)
        return judge

    return decorate


@register_admission('target')
def admit_by_target(estimate: StartEstimate) -> Result[None, int]:
    """Refuse what would start after its target.

    :param estimate: the prompt.
    :returns: nothing, or after how many milliseconds to ask again.
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
    """Tell when a prompt of its tier must start at the latest.

    :param estimate: the prompt.
    :returns: milliseconds from now.
    """
    if estimate.urgent:
        return max(estimate.target_ms, estimate.left_ms * _URGENT_PART)
    return estimate.target_ms


@register_admission('fair', weighs_pool=True)
def admit_fairly(estimate: StartEstimate) -> Result[None, int]:
    """Refuse what would start or end too late by its customer's share.

    :param estimate: the prompt.
    :returns: nothing, or after how many milliseconds to ask again.
    """
    end_ms = estimate.start_ms + estimate.stream_ms
    in_time = end_ms <= estimate.left_ms
    if in_time and estimate.start_ms <= fair_bound_ms(estimate):
        return Success(None)
    over = _over_share(estimate)
    retry_ms = retry_after_queue_ms(
        estimate.start_ms,
        estimate.target_ms / estimate.margin / over,
        estimate.left_ms,
    )
    # Of a customer at so many times its share one prompt in so many has room.
    return Failure(int(min(retry_ms * over, estimate.left_ms)))


def fair_bound_ms(estimate: StartEstimate) -> float:
    """Tell when a prompt must start at the latest by its customer's share.

    :param estimate: the prompt.
    :returns: milliseconds from now.
    """
    whole_ms = start_bound_ms(estimate) / estimate.margin
    bound_ms = whole_ms / _over_share(estimate)
    if not estimate.lowest:
        # No tier is refused for a lower one, whoever asks.
        bound_ms = max(bound_ms, estimate.target_ms / estimate.margin)
    bound_ms = max(bound_ms, min(whole_ms, estimate.alone_ms + _KEPT_BUSY_MS))
    # What nothing waits before starts no sooner when it comes back.
    return max(bound_ms, estimate.alone_ms)


def tell_reason(estimate: StartEstimate) -> str:
    """Tell why a prompt is refused by :func:`admit_fairly`.

    :param estimate: the prompt where it would start first.
    :returns: ``ends_late``, ``over_share`` if other customers' prompts would be
        admitted, or ``no_room``.
    """
    if estimate.start_ms <= fair_bound_ms(estimate):
        return 'ends_late'
    if estimate.start_ms <= start_bound_ms(estimate) / estimate.margin:
        return 'over_share'
    return 'no_room'


def start_margin(error: StartError | None) -> float:
    """Tell how much later than estimated three in four starts come at most.

    Half of all starts are later than their estimate: a bound on the estimate
    alone would let in as many prompts that are late as are in time, and these
    would hold up those behind them.

    :param error: how far estimates were off, None if that is unknown.
    :returns: a factor on estimates.
    """
    if error is None or not error.median:
        return 1
    # Three in four lie about halfway between the median and the worst tenth.
    return min(_MOST_MARGIN, math.sqrt(error.worst_tenth / error.median))


@register_admission('always')
def admit_always(estimate: StartEstimate) -> Result[None, int]:
    """Refuse nothing, as the baseline.

    :param estimate: the prompt, which doesn't matter.
    :returns: nothing.
    """
    return Success(None)


def _over_share(estimate: StartEstimate) -> float:
    return min(MOST_OVER_SHARE, max(1, estimate.use))
