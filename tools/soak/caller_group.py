"""Callers of a soak that call again and again until they are stopped."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Callable, final

import gevent

if TYPE_CHECKING:
    from gevent import Greenlet


@final
class CallerGroup:
    """Some callers that do the same, each by its own chance."""

    def __init__(
        self,
        *,
        callers: int,
        seed: int,
        call: Callable[[random.Random], None],
    ) -> None:
        """Start to call.

        :param callers: how many.
        :param seed: what they draw from.
        :param call: makes one call and waits until the next one is due.
        """
        self._call = call
        self._stopped = False
        self._calling: list[Greenlet] = [
            gevent.spawn(self._call_forever, random.Random(seed + number))
            for number in range(callers)
        ]

    def stop(self) -> None:
        """Begin no more calls, and wait for those that are under way."""
        self._stopped = True
        gevent.joinall(self._calling)

    def _call_forever(self, chance: random.Random) -> None:
        while not self._stopped:
            self._call(chance)
