"""A limit that an endpoint has named, or that it names no longer."""

from __future__ import annotations

import math
from typing import final


@final
class EndpointLimit:
    """What one answer said of an endpoint's limit, and when.

    All times are readings of this gateway's clock in milliseconds.
    """

    __slots__ = ('changed_ms', 'received_ms', 'rate', 'sent_ms', 'reported_by')

    def __init__(
        self,
        *,
        rate: float | None,
        sent_ms: int,
        received_ms: int,
        changed_ms: int,
        reported_by: str,
    ) -> None:
        """Describe a limit.

        :param rate: requests a second that the endpoint takes from all
            gateways together, None if the answer named no limit.
        :param sent_ms: when the request of that answer was sent.
        :param received_ms: when its head came.
        :param changed_ms: when this rate was first heard.
        :param reported_by: the gateway that had the answer.
        """
        self.rate = rate
        self.sent_ms = sent_ms
        self.received_ms = received_ms
        self.changed_ms = changed_ms
        self.reported_by = reported_by


def choose_newer(known: EndpointLimit, told: EndpointLimit) -> EndpointLimit:
    """Choose which of two limits of one endpoint holds.

    Answers overtake each other. One was surely written after the other only if
    its request was sent after the other was heard; where that can't be told,
    the lower limit holds.

    :param known: the limit that holds by now.
    :param told: what another answer said.
    :returns: the one that holds from now on.
    """
    if told.sent_ms > known.received_ms:
        return told
    if known.sent_ms > told.received_ms:
        return known
    known_rate, told_rate = _bound(known), _bound(told)
    if known_rate == told_rate:
        return max(known, told, key=lambda each: each.received_ms)
    return told if told_rate < known_rate else known


def _bound(limit: EndpointLimit) -> float:
    return math.inf if limit.rate is None else limit.rate
