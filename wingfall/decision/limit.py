"""How many calls an endpoint may run at once, from what it does.

The limit rises by one while the endpoint is full and keeps the targets of
what it runs, and is cut back when it misses them. Reports of the endpoint are
not asked: an engine that has slowed down shows it in the gaps between its
tokens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Part of a new sample in the smoothed times. Twenty settle them.
_SMOOTHING: Final = 0.05
# Part of the limit that is left after a cut.
_CUT: Final = 0.8
# Pressure below which a full endpoint gets one more slot. Leaves a tenth
# between rising and falling.
_COMFORT: Final = 0.9
# Milliseconds between two changes, and samples that a change needs, so that the
# effect of a cut is seen before the next.
_PERIOD_MS: Final = 250
_MIN_SAMPLES: Final = 8


@final
class Pace:
    """Smoothed time to the first token and between tokens of an endpoint.

    Times are set against the target of the class that each sample came from,
    so that classes with unlike targets can run side by side: a pressure above
    one means that targets are missed.
    """

    __slots__ = ('_samples', 'first_ms', 'gap_ms', 'pressure')

    def __init__(self) -> None:
        """Start without samples."""
        self.gap_ms = float()
        self.first_ms = float()
        self.pressure = float()
        self._samples = 0

    @property
    def samples(self) -> int:
        """Samples since the last :meth:`restart`."""
        return self._samples

    def restart(self) -> None:
        """Count samples from zero again; the smoothed times are kept."""
        self._samples = 0

    def note_gap(self, gap_ms: float, target_ms: int) -> None:
        """Take the time between two tokens.

        :param gap_ms: the time.
        :param target_ms: target of its class, 0 for none.
        """
        known = self.gap_ms or gap_ms
        self.gap_ms = known + (gap_ms - known) * _SMOOTHING
        if target_ms:
            self._note(gap_ms / target_ms)

    def note_first(self, first_ms: float, target_ms: int) -> None:
        """Take the time from a run's start to its first token.

        :param first_ms: the time.
        :param target_ms: target of its class, 0 for none.
        """
        known = self.first_ms or first_ms
        # Cached prompts start sooner; what they save is the slower kind.
        weight = _SMOOTHING if first_ms > known else _SMOOTHING / 4
        self.first_ms = known + (first_ms - known) * weight
        if target_ms:
            self._note(first_ms / target_ms)

    def _note(self, pressure: float) -> None:
        self._samples += 1
        self.pressure += (pressure - self.pressure) * _SMOOTHING


class Limit(Protocol):
    """What a limit policy must do."""

    @property
    def slots(self) -> int:
        """Calls that may run at once."""

    def adjust(self, *, in_use: int) -> None:
        """Look at the pace and change the limit, if it is time to."""


class LimitFactory(Protocol):
    """How a limit is made."""

    def __call__(self, *, clock: Clock, pace: Pace, slots: int) -> Limit:
        """Make a limit that never goes above a number of slots."""


limits: Final[Registry[LimitFactory]] = Registry(kind='limit')


@final
@limits.register('fixed')
class FixedLimit:
    """Baseline: the slots of the settings."""

    __slots__ = ('_slots',)

    def __init__(self, *, clock: Clock, pace: Pace, slots: int) -> None:
        """Set the limit.

        :param clock: not heeded.
        :param pace: not heeded.
        :param slots: the limit.
        """
        self._slots = slots

    @property
    def slots(self) -> int:
        """Calls that may run at once."""
        return self._slots

    def adjust(self, *, in_use: int) -> None:
        """Change nothing.

        :param in_use: not heeded.
        """


@final
@limits.register('adaptive')
class AdaptiveLimit:
    """Additive increase, multiplicative decrease, from the pace."""

    __slots__ = ('_changed_ms', '_clock', '_most', '_pace', '_slots')

    def __init__(self, *, clock: Clock, pace: Pace, slots: int) -> None:
        """Start at the upper bound.

        :param clock: the time.
        :param pace: what the endpoint does.
        :param slots: the upper bound.
        """
        self._clock = clock
        self._pace = pace
        self._most = slots
        self._slots = slots
        self._changed_ms = clock.now_ms()

    @property
    def slots(self) -> int:
        """Calls that may run at once."""
        return self._slots

    def adjust(self, *, in_use: int) -> None:
        """Change the limit by what was seen since the last change.

        :param in_use: slots in use; an idle endpoint proves nothing.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._changed_ms < _PERIOD_MS:
            return
        if self._pace.samples < _MIN_SAMPLES:
            return
        self._changed_ms = now_ms
        self._pace.restart()
        if self._pace.pressure > 1:
            self._slots = max(1, int(self._slots * _CUT))
        elif self._pace.pressure < _COMFORT and in_use >= self._slots:
            self._slots = min(self._most, self._slots + 1)
