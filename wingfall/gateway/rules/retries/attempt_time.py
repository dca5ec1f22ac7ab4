"""How long an attempt may wait for the first byte of its answer.

An attempt after which there may be another one is given up early enough that
the other has time. Giving up while the prompt still waits for its turn would
only have it read again elsewhere.
"""

from __future__ import annotations

from typing import Final, final

# Of the time that the caller has left, so that a second attempt has more time
# than the first.
_LEFT_PART: Final = 0.4
# Multiples of the route's target, so that an answer that is a little late is
# still waited for.
_TARGETS: Final = 1.5
# Multiples of the estimated start, so that what waits in an engine's queue
# isn't read again elsewhere.
_ESTIMATED_STARTS: Final = 3
# Milliseconds that are too short to be used. Less than any endpoint takes to
# answer.
_MIN_LEFT_MS: Final = 5


@final
class AttemptOutlook:
    """What is known of an attempt before it begins."""

    __slots__ = ('last', 'left_ms', 'start_ms', 'target_ms')

    def __init__(
        self,
        *,
        left_ms: int,
        target_ms: int,
        start_ms: float,
        last: bool,
    ) -> None:
        """Describe an attempt.

        :param left_ms: milliseconds that the caller still waits.
        :param target_ms: milliseconds in which its route should answer.
        :param start_ms: milliseconds until the answer begins, by an estimate.
        :param last: whether no attempt may follow.
        """
        self.left_ms = left_ms
        self.target_ms = target_ms
        self.start_ms = start_ms
        self.last = last


def is_time_over(left_ms: int) -> bool:
    """Tell whether it is too late for a further attempt.

    :param left_ms: milliseconds that the caller still waits.
    :returns: whether the call is to be given up.
    """
    return left_ms < _MIN_LEFT_MS


def first_byte_wait_ms(outlook: AttemptOutlook) -> int:
    """Bound the wait for the first byte of an answer.

    :param outlook: what is known of the attempt.
    :returns: milliseconds, all that is left for a last attempt.
    """
    if outlook.last:
        return outlook.left_ms
    wait_ms = max(
        outlook.left_ms * _LEFT_PART,
        outlook.target_ms * _TARGETS,
        outlook.start_ms * _ESTIMATED_STARTS,
    )
    return min(outlook.left_ms, int(wait_ms))
