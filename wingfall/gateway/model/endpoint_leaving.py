"""An endpoint that has said that it is leaving."""

from __future__ import annotations

from typing import final


@final
class EndpointLeaving:
    """Who heard it, and when by this gateway's clock."""

    __slots__ = ('received_ms', 'reported_by')

    def __init__(self, *, received_ms: int, reported_by: str) -> None:
        """Describe a leaving.

        :param received_ms: when the first answer said so.
        :param reported_by: the gateway that had the answer.
        """
        self.received_ms = received_ms
        self.reported_by = reported_by
