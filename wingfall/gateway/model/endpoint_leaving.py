"""Announcement of an endpoint that it is leaving."""

from __future__ import annotations

from typing import final


@final
class EndpointLeaving:
    """Source of the announcement, and its time by this gateway's clock."""

    __slots__ = ('heard_ms', 'told_by')

    def __init__(self, *, heard_ms: int, told_by: str) -> None:
        """Create the record of an announcement.

        :param heard_ms: when the first such answer was received.
        :param told_by: the gateway that received the answer.
        """
        self.heard_ms = heard_ms
        self.told_by = told_by
