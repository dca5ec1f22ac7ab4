"""Times the tokens of one answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final, final

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.decision.estimate import RunEstimates
    from wingfall.decision.limit import Pace
    from wingfall.decision.ticket import Ticket

_EVENT_END: Final = b'\n\n'
_EVENT_STREAM: Final = 'text/event-stream'


@final
class Stopwatch:
    """Notes first token and token gaps of an event stream, unparsed.

    An event ends by an empty line, so tokens are counted without reading
    them. Gaps are a few milliseconds, which is why this one part reads a
    finer clock than :class:`wingfall.clock.Clock`.
    """

    __slots__ = (
        '_estimates',
        '_last_s',
        '_pace',
        '_started',
        '_streams',
        '_ticket',
    )

    def __init__(
        self,
        *,
        pace: Pace,
        estimates: RunEstimates,
        ticket: Ticket,
    ) -> None:
        """Start to time a run.

        :param pace: where the times are noted.
        :param estimates: where the time to the first token is noted.
        :param ticket: the granted offer, for its targets.
        """
        self._pace = pace
        self._estimates = estimates
        self._ticket = ticket
        self._streams = False
        self._started = False
        self._last_s = time.perf_counter()

    def start(self, headers: Mapping[str, str]) -> None:
        """Take the head of the answer.

        :param headers: its headers; only event streams are timed.
        """
        kind = headers.get('content-type', '')
        self._streams = kind.startswith(_EVENT_STREAM)

    def note(self, body: bytes) -> None:
        """Take a piece of the answer.

        :param body: its bytes.
        """
        events = body.count(_EVENT_END) if self._streams else 0
        if not events:
            return
        now_s = time.perf_counter()
        elapsed_ms = (now_s - self._last_s) * MS_PER_S
        self._last_s = now_s
        if self._started:
            gap_ms = elapsed_ms / events
            self._pace.note_gap(gap_ms, self._ticket.token_gap_ms)
            return
        self._started = True
        ticket = self._ticket
        self._pace.note_first(elapsed_ms, ticket.first_token_ms)
        self._estimates.note_first_token(ticket.class_name, elapsed_ms)

    def skip(self) -> None:
        """Pass over time that the caller took to read."""
        self._last_s = time.perf_counter()
