"""After how long a refused caller is told to come back.

A caller that comes back uses what is left of its time, so it is never told
more than that. There are two cases: the queue of an engine is known, or
nothing is known but that no endpoint takes the call now.
"""

from __future__ import annotations

from typing import Final

# Milliseconds that a caller needs to come back at all. What an estimate of a
# queue may be wrong by.
_MIN_QUEUE_RETRY_MS: Final = 200
# Of the target: the call starts by then if the estimate is right, so that the
# estimate may be wrong by as much again.
_TARGET_PART: Final = 0.5
# Part by which such times are spread, so that those who were refused together
# don't come back together.
_SPREAD_PART: Final = 0.2
# Where nothing is known: a caller that comes back still has three quarters of
# its time.
_LEFT_DIVISOR: Final = 4
# Milliseconds between which that lies, so that callers don't come back at once,
# and find an endpoint that is back within a second.
_MIN_UNKNOWN_RETRY_MS: Final = 50
_MAX_UNKNOWN_RETRY_MS: Final = 1000


def retry_after_queue_ms(
    start_ms: float, target_ms: float, left_ms: int
) -> int:
    """Tell when an engine's queue will be short enough.

    :param start_ms: milliseconds until the call would start there.
    :param target_ms: milliseconds in which it should.
    :param left_ms: milliseconds that its caller still waits.
    :returns: milliseconds to wait.
    """
    over_ms = start_ms - target_ms * _TARGET_PART
    return int(max(_MIN_QUEUE_RETRY_MS, min(over_ms, left_ms)))


def spread_ms(retry_ms: int, left_ms: int, draw: float) -> int:
    """Spread the times at which callers come back.

    :param retry_ms: milliseconds until the queue is short enough.
    :param left_ms: milliseconds that the caller still waits.
    :param draw: a random number from 0 to 1.
    :returns: milliseconds to wait, not more than are left.
    """
    earliest_ms = min(retry_ms, left_ms / (1 + _SPREAD_PART))
    return int(earliest_ms * (1 + _SPREAD_PART * draw))


def retry_after_unknown_ms(left_ms: int) -> int:
    """Tell when to come back where no endpoint takes the call.

    :param left_ms: milliseconds that its caller still waits.
    :returns: milliseconds to wait.
    """
    retry_ms = min(_MAX_UNKNOWN_RETRY_MS, left_ms // _LEFT_DIVISOR)
    return max(_MIN_UNKNOWN_RETRY_MS, retry_ms)
