"""How long a prompt waits for a part that its engine is reading already.

Two prompts that share a part and come within its reading would have it read
twice, since an engine looks for kept parts once, when a prompt comes. The
second loses nothing by waiting: its own reading would begin no sooner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.prefix_cache import PendingRead

# Fewer tokens are read again sooner than they are waited for.
_LEAST_TOKENS: Final = 1024
# Part of a caller's time that it waits at most, so that an attempt elsewhere
# still has its time. Waiting itself: of 157,000 tokens read again on a calm day
# 122,000 less.
_MOST_WAIT_PART: Final = 0.3


SharedRead = Callable[['PendingRead', int], int]
shared_reads: Final[Registry[SharedRead]] = Registry(kind='shared read')


@shared_reads.register('wait')
def wait_for_read(pending: PendingRead, left_ms: int) -> int:
    """Wait until the part has been read, if that is soon enough.

    :param pending: what is being read.
    :param left_ms: how long the caller still waits.
    :returns: milliseconds to wait, 0 to send at once.
    """
    if pending.tokens < _LEAST_TOKENS:
        return 0
    if pending.ready_in_ms > left_ms * _MOST_WAIT_PART:
        return 0
    return max(0, pending.ready_in_ms)


@shared_reads.register('none')
def read_at_once(pending: PendingRead, left_ms: int) -> int:
    """Send at once, as the baseline.

    :param pending: what is being read, which doesn't matter.
    :param left_ms: the time left, which doesn't matter.
    :returns: 0.
    """
    return 0
