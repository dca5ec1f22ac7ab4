"""The last successful answer to requests, and to prompts with some part."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.model.fingerprint import Fingerprint

# Milliseconds for which an answer is stored.
_RETENTION_MS: Final = 60_000


@final
class RecentAnswers:
    """Times of the last successful answers, a bounded number of them."""

    __slots__ = ('_answered_ms', '_clock', '_max_entries')

    def __init__(self, *, clock: Clock, max_entries: int) -> None:
        """Initialize without answers.

        :param clock: source of the current time.
        :param max_entries: number of fingerprints that are stored.
        """
        self._clock = clock
        self._max_entries = max_entries
        # The latest last.
        self._answered_ms: dict[Fingerprint, int] = {}

    def __len__(self) -> int:
        """Return the number of stored fingerprints."""
        return len(self._answered_ms)

    def note(self, fingerprint: Fingerprint) -> None:
        """Record a successful answer.

        :param fingerprint: the request, or a part of its prompt.
        """
        self._answered_ms.pop(fingerprint, None)
        self._answered_ms[fingerprint] = self._clock.now_ms()
        if len(self._answered_ms) > self._max_entries:
            self._answered_ms.pop(next(iter(self._answered_ms)))

    def find_ms(self, fingerprint: Fingerprint) -> int | None:
        """Return the time of the last successful answer.

        :param fingerprint: a request, or a part of prompts.
        :returns: the time in clock milliseconds, None if there was none lately.
        """
        answered_ms = self._answered_ms.get(fingerprint)
        if answered_ms is None:
            return None
        age_ms = self._clock.now_ms() - answered_ms
        return answered_ms if age_ms < _RETENTION_MS else None
