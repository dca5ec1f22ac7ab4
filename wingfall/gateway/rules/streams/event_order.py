"""Order of a stream's events by their ids, over all endpoints that send it.

The ids of a stream's events rise. Where an endpoint goes on with a stream, its
first id shows whether that event follows the last one that the caller has. Ids
that are not whole numbers can't be compared and show nothing.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bounds the time to parse a number; Last-Event-Id is a caller's text.
_MAX_DIGITS: Final = 18


class OrderVerdict(enum.StrEnum):
    """How the events of an endpoint follow those before them."""

    following = 'following'
    # Of a later event, while nothing shows that ids rise by one.
    later = 'later'
    # Not whole numbers.
    not_comparable = 'not_comparable'
    missing = 'event_missing'
    not_rising = 'ids_do_not_rise'


# Verdicts that prove that the events don't continue the stream.
DISORDERS: Final = (OrderVerdict.missing, OrderVerdict.not_rising)


@final
class EventOrder:
    """Checks the ids of one stream's events."""

    __slots__ = (
        '_has_other_steps',
        '_has_step_of_one',
        '_is_at_joint',
        '_last',
        'event_id',
        'verdict',
    )

    def __init__(self) -> None:
        """Create the order of a stream without events."""
        self._last: int | None = None
        self._is_at_joint = False
        self._has_step_of_one = False
        self._has_other_steps = False
        # What the events of the current endpoint have shown, None for nothing,
        # and the id that showed it.
        self.verdict: OrderVerdict | None = None
        self.event_id: str | None = None

    def begin_attempt(self, after_event_id: str | None) -> None:
        """Expect the events of another endpoint.

        :param after_event_id: id of the event after which the endpoint is to
            continue the stream, None if it is to begin one.
        """
        self.verdict = None
        self.event_id = None
        self._is_at_joint = after_event_id is not None
        self._last = _parse_number(after_event_id)

    def admits(self, event_ids: Iterable[str]) -> bool:
        """Check if events may continue the stream, and record their ids.

        :param event_ids: ids of the next events that have one.
        :returns: whether nothing shows that they don't follow.
        """
        return all(map(self._follows, event_ids))

    def _follows(self, event_id: str) -> bool:
        verdict = self._compare(_parse_number(event_id))
        if self._is_at_joint or verdict in DISORDERS:
            self.verdict = verdict
            self.event_id = event_id
        self._is_at_joint = False
        return verdict not in DISORDERS

    def _compare(self, number: int | None) -> OrderVerdict:
        last = self._last
        self._last = number
        if number is None:
            self._has_other_steps = True
        if last is None or number is None:
            return OrderVerdict.not_comparable
        if number <= last:
            return OrderVerdict.not_rising
        if number == last + 1:
            self._has_step_of_one = True
            return OrderVerdict.following
        rises_by_one = self._has_step_of_one and not self._has_other_steps
        self._has_other_steps = True
        # One endpoint may leave out numbers between its own events.
        if self._is_at_joint and rises_by_one:
            return OrderVerdict.missing
        return OrderVerdict.later


def _parse_number(event_id: str | None) -> int | None:
    if event_id is None or len(event_id) > _MAX_DIGITS:
        return None
    is_number = event_id.isascii() and event_id.isdigit()
    return int(event_id) if is_number else None
