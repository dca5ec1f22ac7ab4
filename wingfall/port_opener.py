"""Opens the ports of a program, again and again where one can't be opened.

A port may be in use for a while by a process that ends late, or its address may
not be there yet. What needs no such port goes on meanwhile.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.clock import MS_PER_S
from wingfall.log import part_logger
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from gevent.event import Event

    from wingfall.clock import Clock
    from wingfall.supervisor import Supervisor

# Delays between two attempts.
_MIN_DELAY_MS: Final = 100
_MAX_DELAY_MS: Final = 1000
# Interval at which a port that stays closed is logged again.
_LOG_INTERVAL_MS: Final = 60_000

logger = part_logger('ports')


@final
class PortOpener:
    """Opens ports until the program is told to stop."""

    __slots__ = ('_clock', '_stop', '_supervisor')

    def __init__(
        self, *, clock: Clock, stop: Event, supervisor: Supervisor
    ) -> None:
        """Create an opener that has opened nothing.

        :param clock: source of the current time.
        :param stop: set when no port is opened any more.
        :param supervisor: runs the attempts in the background.
        """
        self._clock = clock
        self._stop = stop
        self._supervisor = supervisor

    def open(self, name: str, listen: Callable[[], None]) -> None:
        """Open a port now, or in the background if that fails.

        :param name: what the port is for, in the log.
        :param listen: binds the port and serves it, or raises ``OSError``.
        """
        error = _try(listen)
        if error:
            logger.error('The %s port can not be opened: %s.', name, error)
            body = functools.partial(self._keep_trying, name, listen, error)
            self._supervisor.start(f'{name}_port', body)

    def _keep_trying(
        self, name: str, listen: Callable[[], None], error: str
    ) -> None:
        logged_ms = self._clock.now_ms()
        backoff = Backoff(min_ms=_MIN_DELAY_MS, max_ms=_MAX_DELAY_MS)
        while error and not self._stop.wait(backoff.take_ms() / MS_PER_S):
            error = _try(listen)
            now_ms = self._clock.now_ms()
            if error and now_ms - logged_ms >= _LOG_INTERVAL_MS:
                logged_ms = now_ms
                logger.error('The %s port is still closed: %s.', name, error)
        if not error:
            logger.info('The %s port is open.', name)


def _try(listen: Callable[[], None]) -> str:
    try:
        listen()
    except (OSError, OverflowError, TypeError, ValueError) as error:
        # The last three are of ports and hosts that no socket takes.
        return str(error) or repr(error)
    return ''
