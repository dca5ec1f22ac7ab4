"""Retry delays of refused callers.

A retry must fit into the caller's remaining time, so the delay is never longer.
There are two cases: the queue of an engine is known, or all that is known is
that no endpoint takes the call now.
"""

from __future__ import annotations

from typing import Final

# Milliseconds that a retry takes to arrive, and the possible error of an
# estimate of a queue.
_MIN_QUEUE_RETRY_MS: Final = 200
# Fraction of the target that the queue may last when the caller retries. The
# estimate may be wrong by as much again before the call misses its target.
_TARGET_FRACTION: Final = 0.5
# Maximum jitter as a fraction of the delay, so that callers that were refused
# together don't retry together.
_JITTER_RATIO: Final = 0.2
# Divisor of the remaining time if no queue is known: a caller that retries
# still has three quarters of its time.
_REMAINING_TIME_DIVISOR: Final = 4
# Bounds of this delay in milliseconds: callers don't retry at once, and reach
# an endpoint that becomes available within a second.
_MIN_UNKNOWN_RETRY_MS: Final = 50
_MAX_UNKNOWN_RETRY_MS: Final = 1000


def retry_after_queue_ms(
    start_ms: float, target_ms: float, left_ms: int
) -> int:
    """Return the delay until an engine's queue is short enough.

    :param start_ms: milliseconds until the call would start at the engine.
    :param target_ms: milliseconds within which the call should start.
    :param left_ms: milliseconds that its caller still waits.
    :returns: the retry delay in milliseconds.
    """
    excess_ms = start_ms - target_ms * _TARGET_FRACTION
    return int(max(_MIN_QUEUE_RETRY_MS, min(excess_ms, left_ms)))


def jittered_ms(retry_ms: int, left_ms: int, draw: float) -> int:
    """Add jitter to a retry delay.

    :param retry_ms: milliseconds until the queue is short enough.
    :param left_ms: milliseconds that the caller still waits.
    :param draw: random number from 0 to 1 that scales the jitter.
    :returns: the retry delay in milliseconds, at most ``left_ms``.
    """
    min_delay_ms = min(retry_ms, left_ms / (1 + _JITTER_RATIO))
    return int(min_delay_ms * (1 + _JITTER_RATIO * draw))


def retry_after_unknown_ms(left_ms: int) -> int:
    """Return the retry delay if no endpoint takes the call.

    :param left_ms: milliseconds that its caller still waits.
    :returns: the retry delay in milliseconds.
    """
    retry_ms = min(_MAX_UNKNOWN_RETRY_MS, left_ms // _REMAINING_TIME_DIVISOR)
    return max(_MIN_UNKNOWN_RETRY_MS, retry_ms)
