"""What duties have in common, and which there are."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.duties.lease import Lease
    from wingfall.gateway.duties.standing import Standing
    from wingfall.gateway.knowledge.usage_counts import UsageCounts
    from wingfall.gateway.model.duty import DutyCalls
    from wingfall.metrics import Metrics


@final
class DutyTerms:
    """When what is due, as the settings tell."""

    __slots__ = ('late_ms', 'window_ms')

    def __init__(self, *, window_ms: int, late_ms: int) -> None:
        """Set the terms.

        :param window_ms: length of a window.
        :param late_ms: after its end a report counts for nothing.
        """
        self.window_ms = window_ms
        self.late_ms = late_ms


class Duty(Protocol):
    """Something that one gateway at a time does."""

    def step(self) -> None:
        """Do what is due now, if this gateway holds the lease or takes it."""


class DutyFactory(Protocol):
    """How a duty is made."""

    def __call__(
        self,
        *,
        terms: DutyTerms,
        lease: Lease,
        standing: Standing,
        counts: UsageCounts,
        calls: DutyCalls,
        clock: Clock,
        metrics: Metrics,
    ) -> Duty:
        """Make the duty."""


duties: Final[Registry[DutyFactory]] = Registry(kind='duty')
