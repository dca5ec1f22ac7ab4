"""What a router refuses when it has too much in hand itself."""

from __future__ import annotations

from typing import Final

# Part of the room that each tier may fill less than the one above it, and the
# least that a tier may fill.
_STEP: Final = 0.1
_LOWEST: Final = 0.5
# Milliseconds by which the loop wakes late at a router that is overloaded.
# Above the lag of a large configuration, in slices of 50.
_LAG_BOUND_MS: Final = 500


def admits(*, tier: int, held: int, bound: int, lag_ms: int) -> bool:
    """Tell whether a router takes one more request.

    Each tier may fill a tenth less of the room than the one above it, so the
    lowest is refused first. A loop that wakes late counts as a full room for
    all but tier 0.

    :param tier: tier of the request.
    :param held: requests the router holds.
    :param bound: most requests it may hold.
    :param lag_ms: how late its loop wakes.
    :returns: whether there is room for the request.
    """
    if tier and lag_ms > _LAG_BOUND_MS:
        return False
    return held < bound * max(_LOWEST, 1 - tier * _STEP)
