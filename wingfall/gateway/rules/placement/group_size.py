"""Size of an engine group, changed by one engine at a limited rate."""

from __future__ import annotations

from typing import Final, final

# Minimum time between adding two engines to a group. A burst affects callers at
# once. An engine takes about 50 streams, so a group follows an increase of some
# hundred streams a second.
_GROW_INTERVAL_MS: Final = 250
# Time for which a group must have been too large before it releases an engine:
# the duration of short answers, because a burst comes in waves. The prefix
# caches of its engines are worth keeping, too.
_SHRINK_DELAY_MS: Final = 2000
# Minimum time between releasing two engines of a group.
_SHRINK_INTERVAL_MS: Final = 500


@final
class GroupSize:
    """The number of engines in one group."""

    __slots__ = ('_resized_ms', '_oversized_since_ms', 'engines')

    def __init__(self) -> None:
        """Initialize the size to zero."""
        self.engines = 0
        self._resized_ms = -_GROW_INTERVAL_MS
        # Since when fewer engines suffice; None if they do not.
        self._oversized_since_ms: int | None = None

    def step_towards(self, required: int, now_ms: int) -> bool:
        """Change the size by one engine towards the required size, if due.

        :param required: number of engines required.
        :param now_ms: the current time in milliseconds.
        :returns: True if the size has changed.
        """
        if required >= self.engines:
            self._oversized_since_ms = None
        elif self._oversized_since_ms is None:
            self._oversized_since_ms = now_ms
        if (
            required > self.engines
            and now_ms - self._resized_ms >= _GROW_INTERVAL_MS
        ):
            self._resize(1, now_ms)
            return True
        if self._can_shrink(now_ms):
            self._resize(-1, now_ms)
            return True
        return False

    def _can_shrink(self, now_ms: int) -> bool:
        since_ms = self._oversized_since_ms
        if since_ms is None:
            return False
        is_due = now_ms - since_ms >= _SHRINK_DELAY_MS
        return is_due and now_ms - self._resized_ms >= _SHRINK_INTERVAL_MS

    def _resize(self, engines: int, now_ms: int) -> None:
        self.engines += engines
        self._resized_ms = now_ms
