"""What one request has learned over its rounds of offers."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.errors import RunState
from wingfall.router.refusals import (
    KEY_REASONS,
    key_refused,
    no_capacity,
    run_failed,
    run_state,
)

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.wire.call_messages import End
    from wingfall.wire.offer_messages import Refused


@final
class DispatchProgress:
    """Agents that were tried, and the last refusal and failed run."""

    __slots__ = ('eager', 'failed', 'refused', 'rounds', 'tried')

    def __init__(self) -> None:
        """Start with nothing tried."""
        self.tried: set[str] = set()
        self.rounds = 0
        self.eager = True
        self.refused: Refused | None = None
        self.failed: Refused | End | None = None

    @property
    def run(self) -> RunState:
        """What is known about earlier runs of the request."""
        return run_state(self.failed) if self.failed else RunState.not_run

    def refuse(self) -> Refusal:
        """Refuse the request for what was learned last.

        :returns: the refusal.
        """
        if self.failed is not None:
            return run_failed(self.failed)
        if self.refused and self.refused.reason in KEY_REASONS:
            return key_refused(self.refused)
        return no_capacity(self.refused)
