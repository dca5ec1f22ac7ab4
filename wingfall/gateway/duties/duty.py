"""The interface and the registry of duties."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.duties.lease import Lease
    from wingfall.gateway.duties.takeover import TakeoverPolicy
    from wingfall.gateway.knowledge.usage_counts import UsageCounts
    from wingfall.gateway.model.duty import DutyCalls
    from wingfall.metrics import Metrics


@final
class DutyTerms:
    """The window length and deadline of reports, from the settings."""

    __slots__ = ('deadline_ms', 'window_ms')

    def __init__(self, *, window_ms: int, deadline_ms: int) -> None:
        """Initialize the terms.

        :param window_ms: length of a window in milliseconds.
        :param deadline_ms: milliseconds after the end of a window from which
            its report is ignored.
        """
        self.window_ms = window_ms
        self.deadline_ms = deadline_ms


class Duty(Protocol):
    """A task that one gateway at a time performs."""

    def step(self) -> None:
        """Perform due work if this gateway holds or acquires the lease."""


class DutyFactory(Protocol):
    """A factory of duties."""

    def __call__(
        self,
        *,
        terms: DutyTerms,
        lease: Lease,
        standing: TakeoverPolicy,
        counts: UsageCounts,
        calls: DutyCalls,
        clock: Clock,
        metrics: Metrics,
    ) -> Duty:
        """Create the duty."""


duties: Final[Registry[DutyFactory]] = Registry(kind='duty')
