"""Follows the platform's objects: one list, then watches."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, final

from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.log import part_logger
from wingfall.platform.client import GONE
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from gevent.event import Event

    from wingfall.config.copy import ConfigCopy
    from wingfall.platform.client import ObjectApi

logger = part_logger('config.follower')


@final
class ConfigFollower:
    """Keeps a copy of the configuration up to date.

    When the platform can't be reached the copy stays in force and the
    follower asks again, ever more seldom up to five seconds, with jitter so
    that routers don't ask in step.
    """

    __slots__ = ('_api', '_backoff', '_copy', '_listed', '_watch_ms')

    def __init__(
        self,
        *,
        api: ObjectApi,
        copy: ConfigCopy,
        watch_ms: int,
    ) -> None:
        """Set up a follower.

        :param api: the platform.
        :param copy: the copy to keep.
        :param watch_ms: longest wait of one watch.
        """
        self._api = api
        self._copy = copy
        self._watch_ms = watch_ms
        self._listed = False
        self._backoff = Backoff()

    def follow(self, stop: Event) -> None:
        """Follow until told to stop.

        :param stop: set when the process ends.
        """
        while not stop.is_set():
            ready = self._watch() if self._listed else self._list()
            if ready:
                self._backoff.reset()
                continue
            delay_ms = self._backoff.take_ms()
            jitter = random.uniform(0.5, 1)  # noqa: S311, WPS432
            stop.wait(delay_ms * jitter / MS_PER_S)

    def _list(self) -> bool:
        listed = self._api.list_objects()
        if not isinstance(listed, Success):
            logger.warning('The list failed: %s.', listed.failure())
            return False
        self._copy.apply_list(listed.unwrap())
        self._listed = True
        return True

    def _watch(self) -> bool:
        events = self._api.watch_objects(self._copy.version, self._watch_ms)
        for event in events:
            if isinstance(event, Success):
                self._copy.apply_event(event.unwrap())
                continue
            error = event.failure()
            logger.warning('The watch failed: %s.', error)
            self._listed = error.status != GONE
            return False
        return True
