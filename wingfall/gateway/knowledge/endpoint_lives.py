"""Which incarnation of each endpoint is the newest, by when it was born.

An endpoint may start again under the id that it had, and then holds nothing of
before. Each incarnation has a name of its own, under which all that is known
stands, so that nothing of an earlier one is taken for the newest. Owns the
newest start of each id, also of endpoints that have left: a late write of an
earlier incarnation must not bring it back.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Ids that are remembered, those heard of last: over 12,000 endpoints, the size
# in two years (DEVELOPING.md), and all that start in an hour.
_MOST_REMEMBERED: Final = 16_384


@final
class Incarnation(enum.StrEnum):
    """What an entry is, beside what was heard of its id before."""

    newest = 'newest'
    # A late write: it changes nothing.
    earlier = 'earlier'
    # The endpoint has told its start before, so that somebody else wrote this.
    untold = 'untold'


@final
class EndpointLives:
    """The newest start of each id."""

    __slots__ = ('_born_ms',)

    def __init__(self) -> None:
        """Start without an endpoint."""
        self._born_ms: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def note(self, endpoint: PoolEndpoint) -> Incarnation:
        """Note an endpoint's entry.

        :param endpoint: the endpoint.
        :returns: what the entry is.
        """
        instance, born_ms = endpoint.instance, endpoint.born_ms
        known_ms = self._born_ms.get(instance)
        if born_ms is None:
            untold = known_ms is not None
            return Incarnation.untold if untold else Incarnation.newest
        if known_ms is not None and born_ms < known_ms:
            return Incarnation.earlier
        self._born_ms[instance] = born_ms
        self._born_ms.move_to_end(instance)
        if len(self._born_ms) > _MOST_REMEMBERED:
            self._born_ms.popitem(last=False)
        return Incarnation.newest

    def has_ended(self, endpoint: PoolEndpoint) -> bool:
        """Tell whether an incarnation is surely over.

        :param endpoint: the endpoint as it was known.
        :returns: whether a later one has started under its id.
        """
        if endpoint.born_ms is None:
            return False
        newest_ms = self._born_ms.get(endpoint.instance, endpoint.born_ms)
        return newest_ms > endpoint.born_ms


def told_by_endpoints(listed: Sequence[PoolEndpoint]) -> list[PoolEndpoint]:
    """Choose the entries that endpoints wrote themselves.

    Where a platform tells each start, an entry without one is another
    writer's. Platforms that never tell it are known by their entries.

    :param listed: the entries of a pool.
    :returns: those that tell their start where at least half do, else all.
    """
    told = [each for each in listed if each.born_ms is not None]
    return told if told and 2 * len(told) >= len(listed) else list(listed)
