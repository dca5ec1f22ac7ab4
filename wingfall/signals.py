"""Signals of the process, whose handlers can't end it by an exception."""

from __future__ import annotations

import functools
import signal
from typing import Callable, Final, final

import gevent

from wingfall.guard import run_guarded
from wingfall.log import part_logger

# Sent by rotators of logs, and without use here: a log goes to an output.
_LOG_SIGNALS: Final = (signal.SIGUSR1, signal.SIGUSR2)

logger = part_logger('signals')


def handle_signal(number: signal.Signals, action: Callable[[], object]) -> None:
    """Call a function in a greenlet of its own for each signal.

    gevent raises an exception of such a function in the main greenlet, so it is
    logged here.

    :param number: the signal.
    :param action: the function.
    """
    gevent.signal_handler(
        number, functools.partial(run_guarded, 'signals', number.name, action)
    )


def note_log_signals() -> None:
    """Ignore signals that ask for new log files; the first one is logged."""
    for number in _LOG_SIGNALS:
        handle_signal(number, _IgnoredSignal(number).note)


@final
class _IgnoredSignal:
    """A signal that is ignored and logged once."""

    __slots__ = ('_is_logged', '_number')

    def __init__(self, number: signal.Signals) -> None:
        """Remember that it was not logged.

        :param number: the signal.
        """
        self._number = number
        self._is_logged = False

    def note(self) -> None:
        """Log the signal if it is the first one."""
        if self._is_logged:
            return
        self._is_logged = True
        logger.warning('%s is ignored.', self._number.name)
