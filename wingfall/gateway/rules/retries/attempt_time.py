"""Timeout of an attempt for the first byte of its answer.

An attempt that may be followed by another one is abandoned early enough that
the next one has time. Abandoning it while the prompt is still queued would only
repeat its prefill at another engine.
"""

from __future__ import annotations

from typing import Final, final

# Fraction of the caller's remaining time, so that a second attempt has more
# time than the first.
_REMAINING_TIME_FRACTION: Final = 0.4
# Factor on the route's target, so that the gateway still waits for an answer
# that is a little late.
_TARGET_FACTOR: Final = 1.5
# Factor on the estimated start, so that a prompt in an engine's queue is not
# prefilled again at another engine.
_START_ESTIMATE_FACTOR: Final = 3
# Minimum milliseconds for an attempt: less than any endpoint takes to answer.
_MIN_ATTEMPT_MS: Final = 5


@final
class PlannedAttempt:
    """Properties of an attempt that are known before it begins."""

    __slots__ = ('is_last', 'left_ms', 'start_ms', 'target_ms')

    def __init__(
        self,
        *,
        left_ms: int,
        target_ms: int,
        start_ms: float,
        is_last: bool,
    ) -> None:
        """Initialize the properties.

        :param left_ms: milliseconds that the caller still waits.
        :param target_ms: milliseconds in which its route should answer.
        :param start_ms: estimated milliseconds until the answer begins.
        :param is_last: whether no attempt may follow.
        """
        self.left_ms = left_ms
        self.target_ms = target_ms
        self.start_ms = start_ms
        self.is_last = is_last


def is_time_over(left_ms: int) -> bool:
    """Check if the remaining time is too short for a further attempt.

    :param left_ms: milliseconds that the caller still waits.
    :returns: whether the call must be abandoned.
    """
    return left_ms < _MIN_ATTEMPT_MS


def first_byte_timeout_ms(attempt: PlannedAttempt) -> int:
    """Return the timeout for the first byte of an answer.

    :param attempt: the attempt.
    :returns: milliseconds; all the remaining time for a last attempt.
    """
    if attempt.is_last:
        return attempt.left_ms
    timeout_ms = max(
        attempt.left_ms * _REMAINING_TIME_FRACTION,
        attempt.target_ms * _TARGET_FACTOR,
        attempt.start_ms * _START_ESTIMATE_FACTOR,
    )
    return min(attempt.left_ms, int(timeout_ms))
