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

    __slots__ = ('_clock', '_metrics', '_worst_ms')

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Start with no lag.

        :param clock: the time.
        :param metrics: where the lag is shown.
        """
        self._clock = clock
        self._metrics = metrics
        self._worst_ms = 0

    @property
    def worst_ms(self) -> int:
        """Worst lag of the last whole second."""
        return self._worst_ms

    def run(self) -> None:
        """Measure for as long as the process runs."""
        while True:  # noqa: WPS457
            self._worst_ms = max(self._sample() for _ in range(_PERIODS))
            self._metrics.loop_lag_ms.set({}, self._worst_ms)

    def _sample(self) -> int:
        due_ms = self._clock.now_ms() + _PERIOD_MS
        gevent.sleep(_PERIOD_MS / MS_PER_S)
        lag_ms = max(0, self._clock.now_ms() - due_ms)
        if lag_ms >= _STOOD_STILL_MS:
            log_event('loop', 'The process stood still.', ms=lag_ms)
        return lag_ms
