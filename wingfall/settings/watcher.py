"""Notices that a settings file has changed, with a signal or without."""

from __future__ import annotations

import functools
import os
from typing import TYPE_CHECKING, Callable, Final, TypeAlias, final

import gevent
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.guard import run_guarded
from wingfall.log import log_event, log_fault

if TYPE_CHECKING:
    from types import SimpleNamespace

    from returns.result import Result

    from wingfall.errors import FieldFault

# Time of the last change in nanoseconds, and length in bytes.
Stamp: TypeAlias = tuple[int, int]

_POLL_MS: Final = 1000
# Faults of a file that its line names, so that all of them fit it.
_MAX_FAULTS: Final = 5


def read_stamp(path: str) -> Stamp | None:
    """Read what changes with the content of a file.

    :param path: the file.
    :returns: its stamp, None if there is no such file.
    """
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size


@final
class SettingsWatcher:
    """Loads a settings file again when it has changed."""

    __slots__ = ('_load', '_path', '_seen', '_take')

    def __init__(
        self,
        *,
        path: str,
        seen: Stamp | None,
        load: Callable[[str], Result[SimpleNamespace, list[FieldFault]]],
        take: Callable[[SimpleNamespace], None],
    ) -> None:
        """Watch a file.

        :param path: the file.
        :param seen: stamp of the file from before the settings in use were
            read, so that no later change is missed.
        :param load: reads and checks the file.
        :param take: called with checked settings after a change.
        """
        self._path = path
        self._load = load
        self._take = take
        self._seen = seen

    def run(self) -> None:
        """Look for changes for as long as the process runs."""
        while True:  # noqa: WPS457
            gevent.sleep(_POLL_MS / MS_PER_S)
            if read_stamp(self._path) != self._seen:
                self.reload()

    def reload(self) -> None:
        """Load the file now; one with faults changes nothing."""
        self._seen = read_stamp(self._path)
        loaded = self._load(self._path)
        if isinstance(loaded, Success):
            self._apply(loaded.unwrap())
            return
        faults = [str(fault) for fault in loaded.failure()]
        log_fault(
            'settings',
            'A reload was refused.',
            faults=faults[:_MAX_FAULTS],
            count=len(faults),
        )

    def _apply(self, settings: SimpleNamespace) -> None:
        step = functools.partial(self._take, settings)
        if run_guarded('settings', 'A reload', step):
            log_event('settings', 'Reloaded.', path=self._path)
