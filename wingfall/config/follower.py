"""Follows the platform's objects: one list, then watches."""

from __future__ import annotations

import http
import random
from typing import TYPE_CHECKING, Callable, final

from returns.result import Success

from wingfall.clock import MS_PER_S
from wingfall.log import part_logger
from wingfall.supervisor import Backoff

if TYPE_CHECKING:
    from gevent.event import Event

    from wingfall.config.copy import ConfigCopy
    from wingfall.object_api.readings import ObjectApi

_IDLE_MS = 500

logger = part_logger('config.follower')


@final
class ConfigFollower:
    """Keeps a copy of the configuration up to date.

    When the platform can't be reached the copy stays in force and the
    follower asks again, ever more seldom up to five seconds, with jitter so
    that routers don't ask in step.
    """

    __slots__ = (
        '_api',
        '_backoff',
        '_copy',
        '_holds_watch',
        '_too_old',
        '_watch_ms',
    )

    def __init__(
        self,
        *,
        api: ObjectApi,
        copy: ConfigCopy,
        watch_ms: int,
        holds_watch: Callable[[], bool],
    ) -> None:
        """Set up a follower.

        :param api: the platform.
        :param copy: the copy to keep.
        :param watch_ms: longest wait of one watch.
        :param holds_watch: whether to ask the platform at all, or leave it
            to the peers.
        """
        self._api = api
        self._copy = copy
        self._watch_ms = watch_ms
        self._holds_watch = holds_watch
        self._too_old = False
        self._backoff = Backoff()

    def follow(self, stop: Event) -> None:
        """Follow until told to stop.

        :param stop: set when the process ends.
        """
        while not stop.is_set():
            if self._step(stop):
                self._backoff.reset()
                continue
            delay_ms = self._backoff.take_ms()
            jitter = random.uniform(0.5, 1)  # noqa: S311, WPS432
            stop.wait(delay_ms * jitter / MS_PER_S)

    def _step(self, stop: Event) -> bool:
        # A version that peers gave saves the list.
        if self._too_old or not self._copy.version:
            return self._list()
        if self._holds_watch():
            return self._watch()
        stop.wait(_IDLE_MS / MS_PER_S)
        return True

    def _list(self) -> bool:
        listed = self._api.list_objects()
        if not isinstance(listed, Success):
            logger.warning('The list failed: %s.', listed.failure())
            return False
        self._copy.apply_list(listed.unwrap())
        self._too_old = False
        return True

    def _watch(self) -> bool:
        events = self._api.watch_objects(self._copy.version, self._watch_ms)
        for event in events:
            if isinstance(event, Success):
                self._copy.apply_event(event.unwrap())
                continue
            error = event.failure()
            logger.warning('The watch failed: %s.', error)
            self._too_old = error.status == http.HTTPStatus.GONE
            return False
        return True
