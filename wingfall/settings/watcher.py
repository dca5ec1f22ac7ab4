"""Notices that a settings file has changed, with a signal or without."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, Callable, Final, final

import gevent
from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.log import log_event
from wingfall.settings.loader import load_settings

if TYPE_CHECKING:
    from types import SimpleNamespace

_POLL_MS: Final = 1000


@final
class SettingsWatcher:
    """Loads a settings file again when it has changed."""

    __slots__ = ('_path', '_schema', '_seen', '_take')

    def __init__(
        self,
        *,
        path: str,
        schema: dict[str, Any],
        take: Callable[[SimpleNamespace], None],
    ) -> None:
        """Watch a file from its present state on.

        :param path: the file.
        :param schema: its schema.
        :param take: called with checked settings after a change.
        """
        self._path = path
        self._schema = schema
        self._take = take
        self._seen = self._stamp()

    def run(self) -> None:
        """Look for changes for as long as the process runs."""
        while True:  # noqa: WPS457
            gevent.sleep(_POLL_MS / MS_PER_S)
            if self._stamp() != self._seen:
                self.reload()

    def reload(self) -> None:
        """Load the file now; one with faults changes nothing."""
        self._seen = self._stamp()
        loaded = load_settings(self._path, self._schema)
        if isinstance(loaded, Success):
            self._take(loaded.unwrap())
            log_event('settings', 'Reloaded.', path=self._path)
            return
        faults = [str(fault) for fault in loaded.failure()]
        log_event('settings', 'A reload was refused.', faults=faults)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size
