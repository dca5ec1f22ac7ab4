"""Rate limit that an endpoint sets or has removed."""

from __future__ import annotations

import math
from typing import final


@final
class EndpointLimit:
    """Rate limit of an endpoint as reported by one answer.

    All times are by this gateway's clock, in milliseconds.
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
        """Create the record of a limit.

        :param rate: requests per second that the endpoint accepts from all
            gateways together, None if the answer sets no limit.
        :param sent_ms: when the answer's request was sent.
        :param received_ms: when the answer's head was received.
        :param changed_ms: when this rate was first received.
        :param reported_by: the gateway that received the answer.
        """
        self.rate = rate
        self.sent_ms = sent_ms
        self.received_ms = received_ms
        self.changed_ms = changed_ms
        self.reported_by = reported_by


def choose_newer(
    current: EndpointLimit,
    update: EndpointLimit,
) -> EndpointLimit:
    """Return the limit of an endpoint that applies after an update.

    Answers overtake each other. An answer is certainly newer only if its
    request was sent after the other answer was received; if the order is
    unknown, the lower limit applies.

    :param current: the current limit.
    :param update: the limit in another answer.
    :returns: the limit that applies from now on.
    """
    if update.sent_ms > current.received_ms:
        return update
    if current.sent_ms > update.received_ms:
        return current
    current_rate, update_rate = _rate_bound(current), _rate_bound(update)
    if current_rate == update_rate:
        return max(current, update, key=lambda each: each.received_ms)
    return update if update_rate < current_rate else current


def _rate_bound(limit: EndpointLimit) -> float:
    return math.inf if limit.rate is None else limit.rate
