"""Waits at a start for a settings file that is not complete yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final

import gevent
from returns.result import Result, Success

from wingfall.clock import MS_PER_S, Clock
from wingfall.cmd.faults import print_start_faults
from wingfall.log import log_event

if TYPE_CHECKING:
    from types import SimpleNamespace

    from wingfall.errors import FieldFault

# Maximum wait; later the faults are those of a file that stays as it is.
_MAX_WAIT_MS: Final = 5000
_POLL_INTERVAL_MS: Final = 50


def wait_for_settings(
    load: Callable[[], Result[SimpleNamespace, list[FieldFault]]],
) -> SimpleNamespace | None:
    """Load settings, and wait for a file that is late or half written.

    The faults of a file are printed at once, so that an operator need not wait
    to read them.

    :param load: loads the settings.
    :returns: the settings, None if the file can't be used.
    """
    loaded = load()
    if isinstance(loaded, Success):
        return loaded.unwrap()
    clock = Clock()
    begun_ms = clock.now_ms()
    faults = loaded.failure()
    print_start_faults(faults)
    log_event('settings', 'The file can not be used.', faults=_show(faults))
    while _is_incomplete(faults) and clock.now_ms() - begun_ms < _MAX_WAIT_MS:
        gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        loaded = load()
        if isinstance(loaded, Success):
            waited_ms = clock.now_ms() - begun_ms
            log_event('settings', 'The file is complete.', ms=waited_ms)
            return loaded.unwrap()
        if _show(loaded.failure()) != _show(faults):
            faults = loaded.failure()
            print_start_faults(faults)
    return None


def _is_incomplete(faults: list[FieldFault]) -> bool:
    return any(fault.is_of_incomplete_file for fault in faults)


def _show(faults: list[FieldFault]) -> list[str]:
    return [str(fault) for fault in faults]
