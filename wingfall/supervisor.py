"""A tree of greenlets that restarts the parts that fail."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, final

import gevent
from gevent.event import Event

from wingfall.clock import MS_PER_S, Clock
from wingfall.log import part_logger

if TYPE_CHECKING:
    from gevent import Greenlet

_MIN_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 5000
_HEALTHY_MS = 10_000

logger = part_logger('supervisor')


@final
class Backoff:
    """Doubling delays between two bounds."""

    __slots__ = ('_max_ms', '_min_ms', '_next_ms')

    def __init__(
        self,
        *,
        min_ms: int = _MIN_BACKOFF_MS,
        max_ms: int = _MAX_BACKOFF_MS,
    ) -> None:
        """Start at the lower bound.

        :param min_ms: the first delay.
        :param max_ms: the longest delay.
        """
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._next_ms = min_ms

    def reset(self) -> None:
        """Start again at the lower bound."""
        self._next_ms = self._min_ms

    def take_ms(self) -> int:
        """Take the next delay.

        :returns: milliseconds to wait.
        """
        delay_ms = self._next_ms
        self._next_ms = min(self._max_ms, delay_ms * 2)
        return delay_ms


@final
class Supervisor:
    """Runs named children and restarts one that ends by an exception.

    A child that returns is done and stays ended.
    """

    __slots__ = ('_children', '_clock', '_name', '_stopped')

    def __init__(self, *, name: str, clock: Clock) -> None:
        """Create a supervisor without children.

        :param name: name of this branch, for logs.
        :param clock: tells how long a child held out.
        """
        self._name = name
        self._clock = clock
        self._children: set[Greenlet] = set()
        self._stopped = Event()

    @property
    def stopped(self) -> bool:
        """Whether :meth:`stop` was called."""
        return self._stopped.is_set()

    def start(self, name: str, body: Callable[[], None]) -> Greenlet:
        """Start a child that is restarted when it fails.

        :param name: name of the child, for logs.
        :param body: the child's work.
        :returns: the greenlet that keeps the child.
        """
        return self.spawn(lambda: self._keep(name, body))

    def spawn(self, body: Callable[[], None]) -> Greenlet:
        """Start a child that is not restarted.

        :param body: the child's work.
        :returns: its greenlet.
        """
        child = gevent.spawn(body)
        self._children.add(child)
        child.rawlink(self._children.discard)
        return child

    def stop(self) -> None:
        """End all children now and start none again."""
        self._stopped.set()
        gevent.killall(list(self._children), block=True, timeout=1)

    def _keep(self, name: str, body: Callable[[], None]) -> None:
        backoff = Backoff()
        while not self.stopped:
            started_ms = self._clock.now_ms()
            try:
                body()
            except Exception:
                logger.exception('%s/%s failed.', self._name, name)
            else:
                return
            if self._clock.now_ms() - started_ms > _HEALTHY_MS:
                backoff.reset()
            self._stopped.wait(backoff.take_ms() / MS_PER_S)
