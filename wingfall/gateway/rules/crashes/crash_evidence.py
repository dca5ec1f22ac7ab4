"""Detection of what crashes the endpoints that begin to run it.

A suspect is a request, or a part that many prompts share. One request crashes
endpoint after endpoint and is retried under new ids at any gateway; or requests
of which no two are alike do so, since their prompts share a part. Tens of other
requests wait or run at each endpoint that crashes; they are retried too, so
some are also present at the next crash, and prompts that share some other part
are present at most. Failures of racks and availability zones also end many
endpoints, with all their requests, at once.
"""

from __future__ import annotations

import bisect
import collections
import itertools
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.model.fingerprint import is_part

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from wingfall.gateway.model.endpoint_crash import EndpointCrash
    from wingfall.gateway.model.fingerprint import Fingerprint

# Evidence weight of a crash against a suspect that was present. A request with
# output has run well so far; it counts less if others there had none.
_SILENT_WEIGHT: Final = 4
_STREAMING_WEIGHT: Final = 1
# Weight from which a request is the cause: three crashes without output. A call
# goes to two endpoints, so an innocent request can be present at two crashes.
_MIN_WEIGHT: Final = 3 * _SILENT_WEIGHT
# The same for a part of prompts: a request with its retries, at two endpoints
# each, brings all parts of its prompt to that many crashes or fewer.
_MIN_PART_WEIGHT: Final = 4 * _SILENT_WEIGHT
# The same for a suspect that was served successfully: it was often present with
# the cause, and a popular request or part is at many endpoints at any time.
_MIN_SERVED_WEIGHT: Final = 5 * _SILENT_WEIGHT
# Weight by which a part that was served is compared with other suspects. A part
# that most prompts share must not hide two causes, each at half of the crashes.
_SERVED_PART_REFERENCE: Final = 7 * _SILENT_WEIGHT
# Milliseconds around a crash within which other crashes belong to the same rack
# or zone failure. Its endpoints fail together; callers see that within a few
# tens of milliseconds.
_CONCURRENCY_MS: Final = 500
# Ratio of concurrent crashes without a request to those with it from which the
# failure has another cause. Two other crashing requests at the same time, each
# with as many crashes, must not hide a third.
_UNRELATED_RATIO: Final = 3
# Milliseconds after which all gateways know of a crash.
_KNOWN_DELAY_MS: Final = 3000


@final
class CrashEvidence:
    """The evidence that a request or a prompt part crashes endpoints."""

    __slots__ = (
        '_complete_weight',
        '_reference_weight',
        '_weight',
        'is_only_suspect',
        'crashes',
        'identified_ms',
        'last_complete_crash_ms',
        'min_weight',
        'tied_parts',
    )

    def __init__(
        self, *, min_weight: int, reference_weight: int | None = None
    ) -> None:
        """Create empty evidence.

        :param min_weight: weight from which the suspect is the cause.
        :param reference_weight: weight that is equal evidence against any
            suspect, by default the same.
        """
        self.min_weight = min_weight
        self._reference_weight = reference_weight or min_weight
        self._weight = 0
        # Total weight of the crashes at which all requests are known.
        self._complete_weight = 0
        # Whether no suspect with equal evidence was at these crashes.
        self.is_only_suspect = True
        # Prompt parts with equal evidence that were at some of these crashes.
        self.tied_parts: frozenset[Fingerprint] = frozenset()
        # Crashes that count against the request.
        self.crashes: list[EndpointCrash] = []
        # Time of the crash that reached the required weight, 0 if none did.
        self.identified_ms = 0
        # Time of the last complete crash, 0 if there was none.
        self.last_complete_crash_ms = 0

    @property
    def is_cause(self) -> bool:
        """Whether the suspect is the cause."""
        return self._weight >= self.min_weight

    @property
    def is_certain(self) -> bool:
        """Whether the complete crashes alone show the cause."""
        return self._complete_weight >= self.min_weight

    @property
    def late_crashes(self) -> int:
        """Number of crashes after all gateways knew of the cause."""
        known_ms = self.identified_ms + _KNOWN_DELAY_MS
        return sum(crash.crashed_ms > known_ms for crash in self.crashes)

    @property
    def last_crash_ms(self) -> int:
        """Time of the last crash, in clock milliseconds."""
        return max(crash.crashed_ms for crash in self.crashes)

    @property
    def evidence_ratio(self) -> float:
        """Weight of the complete crashes as a multiple of the reference weight.

        A served suspect requires more weight: a popular request, present at
        other crashes and most of those of the cause, must not hide the cause.
        Incomplete crashes don't count: the cause may also have been there.
        """
        return self._complete_weight / self._reference_weight

    def includes(self, other: CrashEvidence) -> bool:
        """Check if a suspect was at all crashes of another.

        :param other: the evidence against the other.
        :returns: whether no crash of the other is without this suspect.
        """
        endpoints = {crash.endpoint for crash in self.crashes}
        return all(crash.endpoint in endpoints for crash in other.crashes)

    def is_concurrent_with(self, crash: EndpointCrash) -> bool:
        """Check if a crash is concurrent with the last counted crash.

        Copies of a request begin to run at different times, so it did not
        crash endpoints that end together; a popular request was on most.

        :param crash: a later crash.
        :returns: whether both belong to the same failure.
        """
        if not self.crashes:
            return False
        since_ms = crash.crashed_ms - self.crashes[-1].crashed_ms
        return since_ms <= _CONCURRENCY_MS

    def add(self, crash: EndpointCrash, weight: int) -> None:
        """Count a crash.

        :param crash: the crash.
        :param weight: its evidence weight.
        """
        was_enough = self.is_cause
        self.crashes.append(crash)
        self._weight += weight
        if not crash.incomplete:
            self._complete_weight += weight
            self.last_complete_crash_ms = crash.crashed_ms
        if self.is_cause and not was_enough:
            self.identified_ms = crash.crashed_ms


def find_causes(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, CrashEvidence]:
    """Find the requests and prompt parts that crash endpoints.

    The suspect with the most evidence is the cause of its crashes; the others
    there are judged by the remaining crashes.

    :param crashes: the crashes, with the suspects present at each.
    :param served_ms: time of the last successful answer to each suspect;
        crashes before it don't count against the suspect.
    :returns: the evidence against each cause.
    """
    causes: dict[Fingerprint, CrashEvidence] = {}
    unexplained = list(crashes)
    while True:
        strongest = _find_strongest(unexplained, served_ms)
        if not strongest:
            return causes
        causes.update(strongest)
        unexplained = [
            crash
            for crash in unexplained
            if strongest.keys().isdisjoint(crash.suspects)
        ]


def _find_strongest(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, CrashEvidence]:
    by_suspect = {
        suspect: evidence
        for suspect, evidence in _collect_evidence(crashes, served_ms).items()
        if evidence.is_cause
    }
    max_ratio = max(
        (evidence.evidence_ratio for evidence in by_suspect.values()), default=0
    )
    strongest = _drop_included_parts(
        {
            suspect: evidence
            for suspect, evidence in by_suspect.items()
            if evidence.evidence_ratio == max_ratio
        },
    )
    for suspect, evidence in strongest.items():
        tied = {
            other
            for other in strongest
            if any(crash.involves(other) for crash in evidence.crashes)
        }
        evidence.is_only_suspect = tied == {suspect}
        evidence.tied_parts = frozenset(filter(is_part, tied))
    return strongest


def _drop_included_parts(
    strongest: dict[Fingerprint, CrashEvidence],
) -> dict[Fingerprint, CrashEvidence]:
    # A request brings the parts of its prompt to all of its crashes. They are
    # suspect on their own once another request has brought them as well.
    requests = [
        evidence
        for suspect, evidence in strongest.items()
        if not is_part(suspect)
    ]
    return {
        suspect: evidence
        for suspect, evidence in strongest.items()
        if not is_part(suspect)
        or not any(request.includes(evidence) for request in requests)
    }


def _collect_evidence(
    crashes: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, CrashEvidence]:
    by_suspect: dict[Fingerprint, CrashEvidence] = {}
    repeated = _find_repeated(crashes)
    for crash, concurrent in _pair_concurrent(crashes):
        suspects = repeated & crash.suspects
        for suspect in _filter_suspects(suspects, crash, concurrent, served_ms):
            served = suspect in served_ms
            evidence = by_suspect.setdefault(
                suspect, _make_evidence(suspect, served=served)
            )
            if not (served and evidence.is_concurrent_with(crash)):
                evidence.add(crash, _crash_weight(suspect, crash))
    return by_suspect


def _pair_concurrent(
    crashes: Sequence[EndpointCrash],
) -> Iterator[tuple[EndpointCrash, Sequence[EndpointCrash]]]:
    ordered = sorted(crashes, key=_crash_time)
    times_ms = [crash.crashed_ms for crash in ordered]
    for crash in ordered:
        first = bisect.bisect_left(times_ms, crash.crashed_ms - _CONCURRENCY_MS)
        end = bisect.bisect_right(times_ms, crash.crashed_ms + _CONCURRENCY_MS)
        yield crash, ordered[first:end]


def _make_evidence(suspect: Fingerprint, *, served: bool) -> CrashEvidence:
    if served:
        return CrashEvidence(
            min_weight=_MIN_SERVED_WEIGHT,
            reference_weight=(
                _SERVED_PART_REFERENCE
                if is_part(suspect)
                else _MIN_SERVED_WEIGHT
            ),
        )
    return CrashEvidence(
        min_weight=_MIN_PART_WEIGHT if is_part(suspect) else _MIN_WEIGHT,
        reference_weight=_MIN_WEIGHT,
    )


def _find_repeated(crashes: Sequence[EndpointCrash]) -> set[Fingerprint]:
    # All other requests can be skipped, so that a flood of different requests
    # costs little.
    counts = collections.Counter(
        itertools.chain.from_iterable(crash.suspects for crash in crashes),
    )
    return {
        suspect
        for suspect, count in counts.items()
        if count * _SILENT_WEIGHT >= _MIN_WEIGHT
    }


def _filter_suspects(
    suspects: set[Fingerprint],
    crash: EndpointCrash,
    concurrent: Sequence[EndpointCrash],
    served_ms: Mapping[Fingerprint, int],
) -> Iterator[Fingerprint]:
    for suspect in suspects:
        served_at_ms = served_ms.get(suspect, crash.crashed_ms - 1)
        cleared = served_at_ms >= crash.crashed_ms
        if not (cleared or _has_another_cause(suspect, concurrent)):
            yield suspect


def _crash_time(crash: EndpointCrash) -> int:
    return crash.crashed_ms


def _crash_weight(suspect: Fingerprint, crash: EndpointCrash) -> int:
    # Prompts that share a part are at an endpoint without and with output.
    if is_part(suspect):
        return _SILENT_WEIGHT
    if crash.silent and suspect not in crash.silent:
        return _STREAMING_WEIGHT
    return _SILENT_WEIGHT


def _has_another_cause(
    suspect: Fingerprint,
    concurrent: Sequence[EndpointCrash],
) -> bool:
    present = sum(crash.involves(suspect) for crash in concurrent)
    return len(concurrent) - present >= present * _UNRELATED_RATIO
