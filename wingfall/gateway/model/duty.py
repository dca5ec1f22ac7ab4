"""Duties that one gateway at a time does for all, and what they need.

A duty's calls go to the platform, which can't tell a gateway that still holds
the duty from one that did: each call carries a fencing token, which rises with
each change of the holder.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from wingfall.errors import PlatformError


@final
class Fence:
    """Under which right a call is made."""

    __slots__ = ('holder', 'token')

    def __init__(self, *, holder: str, token: int) -> None:
        """Describe a right.

        :param holder: name of the gateway.
        :param token: the fencing token, higher than that of any holder before.
        """
        self.holder = holder
        self.token = token


@final
class UsageReport:
    """How many requests of each customer began to run in a window."""

    __slots__ = ('counts', 'window')

    def __init__(self, *, window: int, counts: Mapping[str, int]) -> None:
        """Describe a window.

        :param window: its number; it began so many window lengths after 1970.
        :param counts: requests by the name of their customer.
        """
        self.window = window
        self.counts = dict(counts)


@final
class LeaseRecord:
    """The lease of the duties as it stands in the platform's store."""

    __slots__ = ('decided', 'holder', 'known', 'name', 'reports', 'token')

    def __init__(
        self,
        *,
        holder: str = '',
        name: str = '',
        token: int = 0,
        decided: int = 0,
        reports: Mapping[int, Mapping[str, int]] | None = None,
        known: bool = True,
    ) -> None:
        """Describe the lease.

        :param holder: the process that holds it, empty if it was given back.
        :param name: the gateway's name, for people.
        :param token: the holder's fencing token; 0 in the write by which it
            took the lease, whose revision is the token.
        :param decided: the last window whose report is decided.
        :param reports: decided reports that may not have been delivered, by
            window; what stands here and nothing else is sent for them.
        :param known: False if the store has none that can be read, so that
            who held it, and what was decided, can't be told.
        """
        self.holder = holder
        self.name = name
        self.token = token
        self.decided = decided
        self.known = known
        self.reports = {
            window: dict(counts) for window, counts in (reports or {}).items()
        }

    @property
    def given_back(self) -> bool:
        """Whether its last holder has ended to act."""
        return self.known and not self.holder

    def to_spec(self) -> dict[str, Any]:
        """Write it as the spec of a stored object.

        :returns: JSON.
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

    :param spec: what the object says; another writer may have left anything.
    :returns: the lease, one that is not known if the spec is no lease.
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
        return LeaseRecord(known=False)


def _read_counts(counts: Mapping[str, Any]) -> dict[str, int]:
    return {str(customer): int(count) for customer, count in counts.items()}


class DutyCalls(Protocol):
    """The calls to the platform that only the holder of a duty makes."""

    def report_usage(
        self,
        report: UsageReport,
        fence: Fence,
        timeout_ms: int,
    ) -> Result[None, PlatformError]:
        """Report a window; nothing is on its way any more once it returns."""
