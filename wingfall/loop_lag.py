"""Measures how late the event loop wakes a timer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.metrics import Metrics

_PERIOD_MS = 100
_PERIODS = 10
# Milliseconds of lag that are told: the machine was suspended or frozen, since
# no turn of the loop takes so long.
_STOOD_STILL_MS: Final = 1000


@final
class LoopLag:
    """Keeps the worst lag of the last second."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_stood_still_ms',
        '_ticked_ms',
        '_worst_ms',
    )

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Start with no lag.

        :param clock: the time.
        :param metrics: where the lag is shown.
        """
        self._clock = clock
        self._metrics = metrics
        self._worst_ms = 0
        # Time of the last tick, and until when the process last stood still.
        self._ticked_ms = clock.now_ms()
        self._stood_still_ms: int | None = None

    @property
    def worst_ms(self) -> int:
        """Worst lag of the last whole second."""
        return self._worst_ms

    def has_stood_still(self, within_ms: int) -> bool:
        """Check if the process stood still lately.

        :param within_ms: milliseconds before now.
        :returns: whether it does, or did until then; also in the first turn of
            the event loop after it.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms >= _STOOD_STILL_MS + _PERIOD_MS:
            return True
        since_ms = self._stood_still_ms
        return since_ms is not None and now_ms - since_ms <= within_ms

    def run(self) -> None:
        """Measure for as long as the process runs."""
        while True:  # noqa: WPS457
            self._worst_ms = max(self._sample() for _ in range(_PERIODS))
            self._metrics.loop_lag_ms.set({}, self._worst_ms)

    def _sample(self) -> int:
        due_ms = self._clock.now_ms() + _PERIOD_MS
        gevent.sleep(_PERIOD_MS / MS_PER_S)
        self._ticked_ms = self._clock.now_ms()
        lag_ms = max(0, self._ticked_ms - due_ms)
        if lag_ms >= _STOOD_STILL_MS:
            self._stood_still_ms = self._ticked_ms
            log_event('loop', 'The process stood still.', ms=lag_ms)
        return lag_ms
