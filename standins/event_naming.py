"""How an endpoint stand-in names the events of its streams."""

from __future__ import annotations

from typing import final


@final
class EventNaming:
    """Ids of events, and where a stream goes on that is taken up."""

    def __init__(self) -> None:
        """Name events by their numbers and go on with the next one."""
        # Ids of the events, empty for their numbers.
        self.ids: list[str] = []
        # Which event after Last-Event-Id comes first: 1 is the next.
        self.resume_offset = 1

    def find_first(self, last_event_id: str | None) -> int:
        """Return the number of the first event of an answer.

        :param last_event_id: id of the event to continue after, if any.
        :returns: the number, from 1.
        """
        if last_event_id is None:
            return 1
        if self.ids:
            return self.ids.index(last_event_id) + 1 + self.resume_offset
        return int(last_event_id) + self.resume_offset

    def name(self, number: int) -> str:
        """Return the id of an event.

        :param number: its number, from 1.
        :returns: the id.
        """
        return self.ids[number - 1] if self.ids else str(number)
