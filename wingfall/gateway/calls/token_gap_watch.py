"""Measures the token gaps of a stream from one engine.

Owns the longest token gap of an attempt and the prefill tokens of the engine
during that gap; updates the speed estimates of the engine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.engine_speed import EngineSpeed
    from wingfall.gateway.knowledge.load import LoadTable


@final
class TokenGapWatch:
    """The longest token gap of a stream and the prefill load during it."""

    __slots__ = (
        '_clock',
        '_endpoint',
        '_last_event_ms',
        '_load',
        '_last_prefill_tokens',
        '_speed',
        'longest_gap_ms',
        'longest_gap_prefill_tokens',
    )

    def __init__(
        self,
        *,
        endpoint: str,
        load: LoadTable,
        clock: Clock,
        speed: EngineSpeed,
    ) -> None:
        """Create a watch for a stream without events.

        :param endpoint: name of the engine.
        :param load: load of all endpoints.
        :param clock: the clock.
        :param speed: speed estimates of the engine, updated from the gaps.
        """
        self._endpoint = endpoint
        self._load = load
        self._clock = clock
        self._speed = speed
        self._last_event_ms: int | None = None
        self._last_prefill_tokens = 0
        # Longest token gap in milliseconds, None before the second event.
        self.longest_gap_ms: int | None = None
        # Pending prefill tokens of the engine during that gap.
        self.longest_gap_prefill_tokens = 0

    def note_event(self) -> None:
        """Record the arrival of events of the stream."""
        now_ms = self._clock.now_ms()
        prefill_tokens = self._load.total(self._endpoint).prefill_tokens
        if self._last_event_ms is not None:
            # A prefill during the gap was pending at its start or at its end.
            gap_prefill_tokens = max(prefill_tokens, self._last_prefill_tokens)
            self._note_gap(now_ms - self._last_event_ms, gap_prefill_tokens)
        self._last_event_ms = now_ms
        self._last_prefill_tokens = prefill_tokens

    def end(self) -> None:
        """Record the end of the stream."""
        if self.longest_gap_ms is not None:
            self._speed.note_longest_gap(
                self.longest_gap_ms,
                self.longest_gap_prefill_tokens,
            )

    def _note_gap(self, gap_ms: int, prefill_tokens: int) -> None:
        if not prefill_tokens:
            self._speed.note_gap(gap_ms)
        if self.longest_gap_ms is None or gap_ms > self.longest_gap_ms:
            self.longest_gap_ms = gap_ms
            self.longest_gap_prefill_tokens = prefill_tokens
