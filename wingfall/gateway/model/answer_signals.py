"""What an endpoint says of itself in the head of an answer."""

from __future__ import annotations

from typing import final


@final
class AnswerSignals:
    """What one answer says of its endpoint, beside the request."""

    __slots__ = ('faults', 'leaving', 'rate', 'rest_ms')

    def __init__(
        self,
        *,
        rate: float | None = None,
        leaving: bool = False,
        rest_ms: int | None = None,
        faults: tuple[str, ...] = (),
    ) -> None:
        """Describe what was said.

        :param rate: requests a second that the endpoint takes from all
            gateways together, None if it names no limit.
        :param leaving: whether it is about to end, so that it wants nothing
            new.
        :param rest_ms: for how long it wants nothing from this gateway, None
            if it doesn't say.
        :param faults: what was said of these but can't be read; then nothing
            is known of it, neither that it holds nor that it doesn't.
        """
        self.rate = rate
        self.leaving = leaving
        self.rest_ms = rest_ms
        self.faults = faults


NO_SIGNALS = AnswerSignals()
