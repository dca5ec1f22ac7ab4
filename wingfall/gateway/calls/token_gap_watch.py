"""Measures the gaps between the events of one engine's stream.

Owns the longest gap of one attempt and what the engine read during it; teaches
the engine's speed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.engine_speed import EngineSpeed
    from wingfall.gateway.knowledge.load import LoadTable


@final
class TokenGapWatch:
    """The longest token gap of a stream, and what the engine read meanwhile."""

    __slots__ = (
        '_clock',
        '_endpoint',
        '_last_ms',
        '_load',
        '_reading_tokens',
        '_speed',
        'longest_ms',
        'longest_reading_tokens',
    )

    def __init__(
        self,
        *,
        endpoint: str,
        load: LoadTable,
        clock: Clock,
        speed: EngineSpeed,
    ) -> None:
        """Start before the first event.

        :param endpoint: name of the engine.
        :param load: what runs there.
        :param clock: the time.
        :param speed: learns from the gaps.
        """
        self._endpoint = endpoint
        self._load = load
        self._clock = clock
        self._speed = speed
        self._last_ms: int | None = None
        self._reading_tokens = 0
        # Milliseconds, None until there were two events.
        self.longest_ms: int | None = None
        # Prompt tokens that waited to be read there during that gap.
        self.longest_reading_tokens = 0

    def note_event(self) -> None:
        """Note that events of the stream have come."""
        now_ms = self._clock.now_ms()
        reading = self._load.total(self._endpoint).reading_tokens
        if self._last_ms is not None:
            # What was read in the gap waited at its start or at its end.
            beside = max(reading, self._reading_tokens)
            self._note_gap(now_ms - self._last_ms, beside)
        self._last_ms = now_ms
        self._reading_tokens = reading

    def end(self) -> None:
        """Note that the stream has ended."""
        if self.longest_ms is not None:
            self._speed.note_longest_gap(
                self.longest_ms,
                self.longest_reading_tokens,
            )

    def _note_gap(self, gap_ms: int, reading_tokens: int) -> None:
        if not reading_tokens:
            self._speed.note_gap(gap_ms)
        if self.longest_ms is None or gap_ms > self.longest_ms:
            self.longest_ms = gap_ms
            self.longest_reading_tokens = reading_tokens
