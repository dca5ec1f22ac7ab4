"""Signals about an endpoint in the head of its answer."""

from __future__ import annotations

from typing import final


@final
class AnswerSignals:
    """Signals of one answer about the endpoint, not the request."""

    __slots__ = ('faults', 'leaving', 'rate', 'rest_ms')

    def __init__(
        self,
        *,
        rate: float | None = None,
        leaving: bool = False,
        rest_ms: int | None = None,
        faults: tuple[str, ...] = (),
    ) -> None:
        """Create the signals of an answer.

        :param rate: requests per second that the endpoint accepts from all
            gateways together, None if the answer sets no limit.
        :param leaving: whether the endpoint is about to end and accepts no new
            requests.
        :param rest_ms: how long the endpoint accepts no requests from this
            gateway, in milliseconds, None if the answer doesn't say.
        :param faults: signals that are present but unreadable; whether they
            apply or not is unknown.
        """
        self.rate = rate
        self.leaving = leaving
        self.rest_ms = rest_ms
        self.faults = faults


NO_SIGNALS = AnswerSignals()
