"""The turn of long answers of the store, of which one is read at a time.

A gateway reads several lists beside each other when it starts; their answers
together would take more memory than it has.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import urllib3
from gevent.lock import BoundedSemaphore

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

# Bytes of an answer that is read without a turn, as those on leases are.
SHORT_ANSWER_BYTES: Final = 262_144
# Interval at which one that waits shows that it does.
_POLL_MS: Final = 200
# Maximum milliseconds to wait for a turn: some lists over a slow link.
_MAX_WAIT_MS: Final = 60_000


@final
class LongAnswers:
    """Lets one long answer be read at a time."""

    __slots__ = ('lock',)

    def __init__(self) -> None:
        """Create it with no answer being read."""
        self.lock = BoundedSemaphore(1)


@final
class Turn:
    """The turn of one answer, which it needs only if it is long."""

    __slots__ = ('_answers', '_is_held')

    def __init__(self, answers: LongAnswers) -> None:
        """Create a turn that is not held.

        :param answers: what grants the turns.
        """
        self._answers = answers
        self._is_held = False

    def take(self, received_bytes: int, progress: Callable[[], None]) -> None:
        """Wait for the turn if the answer is long.

        :param received_bytes: bytes of the answer that have come.
        :param progress: called while it waits.
        :raises ProtocolError: if other answers take too long.
        """
        if self._is_held or received_bytes <= SHORT_ANSWER_BYTES:
            return
        waited_ms = 0
        while waited_ms < _MAX_WAIT_MS:
            if self._answers.lock.acquire(timeout=_POLL_MS / MS_PER_S):
                self._is_held = True
                return
            waited_ms += _POLL_MS
            progress()
        raise urllib3.exceptions.ProtocolError('other answers take too long')

    def end(self) -> None:
        """End the turn if it is held."""
        if self._is_held:
            self._answers.lock.release()
        self._is_held = False
