"""Announcement of an endpoint that it is leaving."""

from __future__ import annotations

from typing import final


@final
class EndpointLeaving:
    """Source of the announcement, and its time by this gateway's clock."""

    __slots__ = ('received_ms', 'reported_by')

    def __init__(self, *, received_ms: int, reported_by: str) -> None:
        """Create the record of an announcement.

        :param received_ms: when the first such answer was received.
        :param reported_by: the gateway that received the answer.
        """
        self.received_ms = received_ms
        self.reported_by = reported_by
