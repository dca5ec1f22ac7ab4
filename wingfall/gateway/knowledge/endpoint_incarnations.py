"""The newest incarnation of each endpoint, determined by its start time.

An endpoint may start again under the same id, and then has lost its state. Each
incarnation has a name of its own, under which all information is stored, so
that information about an earlier one is not attributed to the newest. Owns the
newest start time of each id, also of endpoints that have left: a late write of
an earlier incarnation must not restore it.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Maximum number of stored ids, those with the newest entries: above the 12,000
# endpoints expected in two years (DEVELOPING.md) and all starts of an hour.
_MOST_REMEMBERED: Final = 16_384


@final
class EntryStatus(enum.StrEnum):
    """Status of an entry compared with earlier entries of its id."""

    newest = 'newest'
    # A late write of an earlier incarnation; it changes nothing.
    earlier = 'earlier'
    # No start time, though the endpoint reported one before: written by
    # another program.
    untold = 'untold'


@final
class EndpointIncarnations:
    """The newest start time of each endpoint id."""

    __slots__ = ('_born_ms',)

    def __init__(self) -> None:
        """Create an empty store."""
        self._born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def note(self, endpoint: PoolEndpoint) -> EntryStatus:
        """Record an endpoint's entry.

        :param endpoint: endpoint of the entry.
        :returns: status of the entry.
        """
        instance, born_ms = endpoint.instance, endpoint.born_ms
        known_ms = self._born_ms.get(instance)
        if born_ms is None:
            is_untold = known_ms is not None
            return EntryStatus.untold if is_untold else EntryStatus.newest
        if known_ms is not None and born_ms < known_ms:
            return EntryStatus.earlier
        self._born_ms[instance] = born_ms
        self._born_ms.move_to_end(instance)
        if len(self._born_ms) > _MOST_REMEMBERED:
            self._born_ms.popitem(last=False)
        return EntryStatus.newest

    def is_superseded(self, endpoint: PoolEndpoint) -> bool:
        """Check if a later incarnation has started under the same id.

        :param endpoint: the incarnation.
        :returns: whether the incarnation has certainly ended.
        """
        if endpoint.born_ms is None:
            return False
        newest_ms = self._born_ms.get(endpoint.instance, endpoint.born_ms)
        return newest_ms > endpoint.born_ms


def select_own_entries(listed: Sequence[PoolEndpoint]) -> list[PoolEndpoint]:
    """Select the entries that were written by the endpoints themselves.

    Where the platform reports start times, an entry without one was written by
    another program. The entries show whether the platform reports them.

    :param listed: entries of a pool.
    :returns: entries with a start time if at least half have one, else all.
    """
    own = [each for each in listed if each.born_ms is not None]
    return own if own and 2 * len(own) >= len(listed) else list(listed)
