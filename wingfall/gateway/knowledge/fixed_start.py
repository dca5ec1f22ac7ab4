"""The part of a first event's time that doesn't grow with its prompt.

Answers short prompts at engines that read little: for them the way to the
engine and its first step are most of the time, and leaving them out makes
readings too low. One time for all engines of a pool.
"""

from __future__ import annotations

import collections
from typing import Final, final

from wingfall.gateway.knowledge.quantile import quantile

# Short reads that are kept: some seconds of a gateway's.
_KEPT: Final = 32
# Short reads that are needed before the time is known.
_NEEDED: Final = 4
# The read that counts, as a part of all in ascending order. Low, since reads of
# other gateways that are not known here make a start too late and nothing
# makes it too soon but a part that was cached after all.
_START_PART: Final = 0.25
# Bounds in milliseconds, far below and above the engines seen so far.
_LEAST_MS: Final = 1.0
_MOST_MS: Final = 500


@final
class FixedStart:
    """The fixed time of a pool's first events."""

    __slots__ = ('_seen_ms',)

    def __init__(self) -> None:
        """Start without a read."""
        self._seen_ms: collections.deque[float] = collections.deque(
            maxlen=_KEPT
        )

    @property
    def fixed_ms(self) -> float | None:
        """The fixed time in milliseconds, None until it is known."""
        if len(self._seen_ms) < _NEEDED:
            return None
        return quantile(self._seen_ms, _START_PART)

    def note(self, start_ms: float) -> None:
        """Learn from a short read.

        :param start_ms: milliseconds to its first event, without those in
            which its own tokens were read.
        """
        self._seen_ms.append(min(_MOST_MS, max(_LEAST_MS, start_ms)))
