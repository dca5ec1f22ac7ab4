"""Which requests end the endpoints that begin to run them.

The pattern: one request ends endpoint after endpoint, and comes again under
new ids at any gateway. Tens of other requests wait or run at each endpoint
that it ends; they are sent again too, so that some of them are at the next end
as well. Racks and availability zones also fail, many endpoints at once, with
all that was there.
"""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from wingfall.gateway.model.endpoint_crash import EndpointCrash
    from wingfall.gateway.model.fingerprint import Fingerprint

# What a crash weighs against a request that was there. One that had output
# already has run well so far; it weighs less if others there had none.
_WEIGHT: Final = 4
_WEIGHT_OF_STREAMING: Final = 1
# The weight by which a request is the cause: three crashes without output. A
# call goes to two endpoints, so a request that was unlucky once is at two.
_NEEDED: Final = 3 * _WEIGHT
# The same for one that an endpoint has answered well: it was beside the cause
# often, and a popular request is at many endpoints at any time.
_NEEDED_OF_SERVED: Final = 5 * _WEIGHT
# Milliseconds around a crash in which others belong to the same failure of a
# rack or a zone. They end together, callers see it within a few tens of
# milliseconds.
_TOGETHER_MS: Final = 500
# Crashes without a request for each one with it, by which that failure has
# another cause. Two other such requests at the same time, each with as many
# crashes, must not hide a third.
_UNRELATED: Final = 3


@final
class Blame:
    """The evidence that a request crashes endpoints."""

    __slots__ = (
        '_complete_weight',
        '_weight',
        'alone',
        'crashes',
        'enough_ms',
        'last_complete_ms',
        'needed',
    )

    def __init__(self, *, needed: int) -> None:
        """Start with nothing.

        :param needed: the weight by which it is the cause.
        """
        self.needed = needed
        self._weight = 0
        # What crashes weigh at which all requests are known.
        self._complete_weight = 0
        # Whether no other request with as much evidence was at its crashes.
        self.alone = True
        # The crashes that count against it.
        self.crashes: list[EndpointCrash] = []
        # When the crash was by which it is the cause, 0 if it is not.
        self.enough_ms = 0
        # When the last complete crash was, 0 if there was none.
        self.last_complete_ms = 0

    @property
    def is_enough(self) -> bool:
        """Whether it is the cause."""
        return self._weight >= self.needed

    @property
    def certain(self) -> bool:
        """Whether it is the cause by the complete crashes alone."""
        return self._complete_weight >= self.needed

    @property
    def excess(self) -> int:
        """Crashes beyond those that were enough."""
        return (self._weight - self.needed) // _WEIGHT

    @property
    def last_ms(self) -> int:
        """When the last crash was, by the clock."""
        return max(crash.crashed_ms for crash in self.crashes)

    @property
    def strength(self) -> float:
        """How much evidence there is, as a multiple of what is enough.

        One that was answered well needs more, so that a popular request, which
        is beside the cause at most crashes and at others too, does not hide it.
        Incomplete crashes don't count here: the cause may have been there too.
        """
        return self._complete_weight / self.needed

    def has_one_with(self, crash: EndpointCrash) -> bool:
        """Tell whether a crash belongs to one that counts already.

        Copies of a request begin to run at unlike times, so endpoints that end
        together were not ended by it; a popular request was on most of them.

        :param crash: a later crash.
        :returns: whether they were together.
        """
        if not self.crashes:
            return False
        since_ms = crash.crashed_ms - self.crashes[-1].crashed_ms
        return since_ms <= _TOGETHER_MS

    def add(self, crash: EndpointCrash, weight: int) -> None:
        """Count a crash.

        :param crash: the crash.
        :param weight: what it weighs.
        """
        was_enough = self.is_enough
        self.crashes.append(crash)
        self._weight += weight
        if not crash.incomplete:
            self._complete_weight += weight
            self.last_complete_ms = crash.crashed_ms
        if self.is_enough and not was_enough:
            self.enough_ms = crash.crashed_ms


def find_causes(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, Blame]:
    """Find the requests that end endpoints.

    The request with the most evidence is the cause of its crashes;
    the others that were there are judged by the crashes that are left.

    :param crashes: the crashes and who was there.
    :param served_ms: when requests were last answered well; crashes before
        that don't count against them.
    :returns: what each of them has done.
    """
    causes: dict[Fingerprint, Blame] = {}
    unexplained = list(crashes)
    while True:
        first = _find_first(unexplained, served_ms)
        if not first:
            return causes
        causes.update(first)
        unexplained = [
            crash
            for crash in unexplained
            if first.keys().isdisjoint(crash.suspects)
        ]


def _find_first(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, Blame]:
    blames = {
        suspect: blame
        for suspect, blame in _weigh(crashes, served_ms).items()
        if blame.is_enough
    }
    most = max((blame.strength for blame in blames.values()), default=0)
    first = {
        suspect: blame
        for suspect, blame in blames.items()
        if blame.strength == most
    }
    for suspect, blame in first.items():
        blame.alone = not any(
            crash.has(other)
            for crash in blame.crashes
            for other in first.keys() - {suspect}
        )
    return first


def _weigh(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, Blame]:
    blames: dict[Fingerprint, Blame] = {}
    repeated = _find_repeated(crashes)
    for crash in sorted(crashes, key=_by_time):
        suspects = repeated & crash.suspects
        for suspect in _find_suspects(suspects, crash, crashes, served_ms):
            served = suspect in served_ms
            needed = _NEEDED_OF_SERVED if served else _NEEDED
            blame = blames.setdefault(suspect, Blame(needed=needed))
            if not (served and blame.has_one_with(crash)):
                blame.add(crash, _weight(suspect, crash))
    return blames


def _find_repeated(crashes: Sequence[EndpointCrash]) -> set[Fingerprint]:
    # All others can be passed over, so that a flood of unlike requests costs
    # little.
    counts = collections.Counter(
        itertools.chain.from_iterable(crash.suspects for crash in crashes),
    )
    return {
        suspect
        for suspect, count in counts.items()
        if count * _WEIGHT >= _NEEDED
    }


def _find_suspects(
    suspects: set[Fingerprint],
    crash: EndpointCrash,
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> Iterator[Fingerprint]:
    if not suspects:
        return
    together = [
        other
        for other in crashes
        if abs(other.crashed_ms - crash.crashed_ms) <= _TOGETHER_MS
    ]
    for suspect in suspects:
        served_at_ms = served_ms.get(suspect, crash.crashed_ms - 1)
        cleared = served_at_ms >= crash.crashed_ms
        if not (cleared or _has_another_cause(suspect, together)):
            yield suspect


def _by_time(crash: EndpointCrash) -> int:
    return crash.crashed_ms


def _weight(suspect: Fingerprint, crash: EndpointCrash) -> int:
    if crash.silent and suspect not in crash.silent:
        return _WEIGHT_OF_STREAMING
    return _WEIGHT


def _has_another_cause(
    suspect: Fingerprint,
    together: Sequence[EndpointCrash],
) -> bool:
    own = sum(crash.has(suspect) for crash in together)
    return len(together) - own >= own * _UNRELATED
