"""Which requests end the endpoints that begin to run them.

The pattern: one request ends endpoint after endpoint, and comes again under
new ids at any gateway. Tens of other requests wait or run at each endpoint
that it ends; they are sent again too, so that some of them are at the next end
as well. Racks and availability zones also fail, many endpoints at once, with
all that was there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias, final

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from wingfall.gateway.model.endpoint_crash import EndpointCrash
    from wingfall.gateway.model.fingerprint import Fingerprint

# Crashes that a request must have been at to be their cause. A call goes to two
# endpoints at most, so a request that was unlucky once is at two.
CRASHES_TO_BLAME: Final = 3
# The same for one that an endpoint has answered well: it was beside the cause
# often, and a popular request is at many endpoints at any time.
_CRASHES_OF_SERVED: Final = 5
# Milliseconds around a crash in which others belong to the same failure of a
# rack or a zone. Not measured: they end together, callers see it within a few
# tens of milliseconds.
_TOGETHER_MS: Final = 500
# Crashes without a request for each one with it, by which that failure has
# another cause. Not measured: two other such requests at the same time, each
# with as many crashes, must not hide a third.
_UNRELATED: Final = 3

_Counts: TypeAlias = 'dict[Fingerprint, list[EndpointCrash]]'


@final
class Blame:
    """What a request has done."""

    __slots__ = ('crashes', 'excess', 'last_ms')

    def __init__(
        self,
        *,
        crashes: Sequence[EndpointCrash],
        needed: int,
    ) -> None:
        """Blame a request.

        :param crashes: those that it is the cause of.
        :param needed: how many were enough.
        """
        self.crashes = crashes
        # Crashes after those that were enough.
        self.excess = len(crashes) - needed
        # When the last was, by the clock.
        self.last_ms = max(crash.crashed_ms for crash in crashes)


def find_causes(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, Blame]:
    """Find the requests that end endpoints.

    The one that was at the most crashes is the cause of them; the others that
    were there are judged by the crashes that are left.

    :param crashes: the crashes and who was there.
    :param served_ms: when requests were last answered well; crashes before
        that don't count against them.
    :returns: what each of them has done.
    """
    blamed: dict[Fingerprint, Blame] = {}
    unexplained = list(crashes)
    while True:
        counts = _count(unexplained, served_ms)
        causes = _choose_causes(counts, served_ms)
        if not causes:
            return blamed
        for cause in causes:
            blamed[cause] = Blame(
                crashes=counts[cause],
                needed=_needed(cause, served_ms),
            )
        unexplained = [
            crash for crash in unexplained if causes.isdisjoint(crash.suspects)
        ]


def _needed(
    fingerprint: Fingerprint,
    served_ms: Mapping[Fingerprint, int],
) -> int:
    if fingerprint in served_ms:
        return _CRASHES_OF_SERVED
    return CRASHES_TO_BLAME


def _count(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> _Counts:
    counts: _Counts = {}
    for crash in crashes:
        together = [
            other
            for other in crashes
            if abs(other.crashed_ms - crash.crashed_ms) <= _TOGETHER_MS
        ]
        for suspect in crash.suspects:
            if served_ms.get(suspect, crash.crashed_ms - 1) >= crash.crashed_ms:
                continue
            if not _has_another_cause(suspect, together):
                counts.setdefault(suspect, []).append(crash)
    return counts


def _has_another_cause(
    suspect: Fingerprint,
    together: Sequence[EndpointCrash],
) -> bool:
    own = sum(suspect in crash.suspects for crash in together)
    return len(together) - own >= own * _UNRELATED


def _choose_causes(
    counts: _Counts,
    served_ms: Mapping[Fingerprint, int],
) -> set[Fingerprint]:
    enough = {
        suspect: crashes
        for suspect, crashes in counts.items()
        if len(crashes) >= _needed(suspect, served_ms)
    }
    if not enough:
        return set()
    ranks = {
        suspect: _rank(suspect, crashes) for suspect, crashes in enough.items()
    }
    first = max(ranks.values())
    return {suspect for suspect, rank in ranks.items() if rank == first}


def _rank(
    suspect: Fingerprint,
    crashes: Sequence[EndpointCrash],
) -> tuple[int, int]:
    # Of two that were at the same crashes, the one without output.
    silent = sum(suspect in crash.silent for crash in crashes)
    return len(crashes), silent
