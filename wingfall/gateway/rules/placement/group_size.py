"""How many engines a group has: moves by one engine, and not too often."""

from __future__ import annotations

from typing import Final, final

# Milliseconds between two engines that a group takes. A burst hurts its callers
# at once: an engine takes half a hundred streams, so that a group follows some
# hundred more a second.
_GROW_MS: Final = 250
# Milliseconds for which a group must have been too large before it gives an
# engine up: as long as short answers take, since a burst comes in waves. What
# its engines cache is worth something.
_ENOUGH_MS: Final = 2000
# Milliseconds between two engines that a group gives up.
_SHRINK_MS: Final = 500


@final
class GroupSize:
    """The number of engines of one group."""

    __slots__ = ('_changed_ms', '_enough_ms', 'engines')

    def __init__(self) -> None:
        """Start without an engine."""
        self.engines = 0
        self._changed_ms = -_GROW_MS
        # Since when fewer would do, None if they would not.
        self._enough_ms: int | None = None

    def follow(self, needed: int, now_ms: int) -> bool:
        """Go one engine towards what is needed, if it is time.

        :param needed: how many engines are needed.
        :param now_ms: the time.
        :returns: whether the size has changed.
        """
        if needed >= self.engines:
            self._enough_ms = None
        elif self._enough_ms is None:
            self._enough_ms = now_ms
        if needed > self.engines and now_ms - self._changed_ms >= _GROW_MS:
            self._change(1, now_ms)
            return True
        if self._may_shrink(now_ms):
            self._change(-1, now_ms)
            return True
        return False

    def _may_shrink(self, now_ms: int) -> bool:
        since_ms = self._enough_ms
        if since_ms is None:
            return False
        waited = now_ms - since_ms >= _ENOUGH_MS
        return waited and now_ms - self._changed_ms >= _SHRINK_MS

    def _change(self, engines: int, now_ms: int) -> None:
        self.engines += engines
        self._changed_ms = now_ms
