"""Ignores signals that end a process unless it handles them.

It imports little, so that a program can call it before anything else.
"""

from __future__ import annotations

import signal
from typing import Final

# SIGHUP is here until a program handles it. Not here are signals that are sent
# to end a process: SIGINT, SIGTERM, SIGQUIT, SIGABRT, SIGXCPU, and those of
# faults of the program. The interpreter itself ignores SIGPIPE and SIGXFSZ.
_NAMED: Final = (
    signal.SIGHUP,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGPWR,
    signal.SIGSTKFLT,
)
UNUSED_SIGNALS: Final = (
    *_NAMED,
    *range(signal.SIGRTMIN, signal.SIGRTMAX + 1),
)


def ignore_unused_signals() -> None:
    """Ignore each signal that would end a daemon though nobody meant it.

    One that a library of the process handles stays as it is.
    """
    for number in UNUSED_SIGNALS:
        if signal.getsignal(number) is signal.SIG_DFL:
            signal.signal(number, signal.SIG_IGN)
