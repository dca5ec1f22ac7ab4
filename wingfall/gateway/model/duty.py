"""Data of the duties that one gateway at a time performs for all gateways.

The platform can't distinguish the current holder of a duty from a former one,
so each call to it carries a fencing token, which rises with each change of the
holder.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from wingfall.errors import PlatformError


@final
class Fence:
    """Fencing token of a call, and its holder."""

    __slots__ = ('holder', 'token')

    def __init__(self, *, holder: str, token: int) -> None:
        """Create a fence.

        :param holder: name of the gateway that holds the duty.
        :param token: the fencing token, higher than that of any former holder.
        """
        self.holder = holder
        self.token = token


@final
class UsageReport:
    """Number of requests per customer that started in a window."""

    __slots__ = ('counts', 'window')

    def __init__(self, *, window: int, counts: Mapping[str, int]) -> None:
        """Create the report of a window.

        :param window: number of the window, in window lengths since 1970.
        :param counts: number of requests by customer name.
        """
        self.window = window
        self.counts = dict(counts)


@final
class LeaseRecord:
    """Lease of the duties as stored by the platform."""

    __slots__ = ('decided', 'holder', 'is_known', 'name', 'reports', 'token')

    def __init__(
        self,
        *,
        holder: str = '',
        name: str = '',
        token: int = 0,
        decided: int = 0,
        reports: Mapping[int, Mapping[str, int]] | None = None,
        is_known: bool = True,
    ) -> None:
        """Create the record of a lease.

        :param holder: the process that holds the lease, empty if released.
        :param name: name of the gateway, for display.
        :param token: the holder's fencing token; 0 in the write that
            acquires the lease, whose revision becomes the token.
        :param decided: number of the last window whose report is final.
        :param reports: final reports that may be undelivered, by window; only
            these counts are ever sent for their windows.
        :param is_known: False if the store has no readable lease, so that its
            last holder and the final reports are unknown.
        """
        self.holder = holder
        self.name = name
        self.token = token
        self.decided = decided
        self.is_known = is_known
        self.reports = {
            window: dict(counts) for window, counts in (reports or {}).items()
        }

    @property
    def is_released(self) -> bool:
        """Whether the last holder released the lease."""
        return self.is_known and not self.holder

    def to_spec(self) -> dict[str, Any]:
        """Return the lease as the spec of a stored object.

        :returns: a JSON object.
        """
        return {
            'holder': self.holder,
            'name': self.name,
            'token': self.token,
            'decided': self.decided,
            'reports': {
                str(window): counts for window, counts in self.reports.items()
            },
        }


def read_lease_record(spec: Any) -> LeaseRecord:
    """Read the lease from its stored object.

    :param spec: spec of the object, of any form since others may write it.
    :returns: the lease, marked as not known if the spec is invalid.
    """
    try:
        return LeaseRecord(
            holder=str(spec['holder']),
            name=str(spec['name']),
            token=int(spec['token']),
            decided=int(spec['decided']),
            reports={
                int(window): _read_counts(counts)
                for window, counts in spec['reports'].items()
            },
        )
    except (TypeError, KeyError, ValueError, AttributeError):
        return LeaseRecord(is_known=False)


def _read_counts(counts: Mapping[str, Any]) -> dict[str, int]:
    return {str(customer): int(count) for customer, count in counts.items()}


class DutyCalls(Protocol):
    """Platform calls reserved to the holder of a duty."""

    def report_usage(
        self,
        report: UsageReport,
        fence: Fence,
        timeout_ms: int,
    ) -> Result[None, PlatformError]:
        """Report a window; no request is in flight once this returns."""
