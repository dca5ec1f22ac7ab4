"""Blocking of requests and prompt parts that crash the endpoints that run them.

All other limits apply to one call at one gateway. Such a request is retried as
another call at another gateway, and such a part comes in requests of which no
two are alike. So the limit applies to the request or the part itself and uses
the crashes that all gateways have seen.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.lost_gateways import UNREPORTED_MS
from wingfall.gateway.model.fingerprint import is_part
from wingfall.gateway.rules.crashes.common_parts import CommonParts
from wingfall.gateway.rules.crashes.crash_evidence import (
    CrashEvidence,
    find_causes,
)
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.crash_ledger import CrashLedger
    from wingfall.gateway.model.endpoint_crash import EndpointCrash
    from wingfall.gateway.model.fingerprint import Fingerprint

# Milliseconds from the last crash to a trial of a blocked request or part,
# indexed by the crashes after all gateways had blocked it: times for a restart
# and for a manual repair. What was blocked wrongly, or whose fault is gone, is
# soon served again; what crashes endpoints crashes at most two more.
_TRIAL_DELAYS_MS: Final = (60_000, 600_000)
# Milliseconds from the last crash to the first trial of a part, and from its
# evidence to the end of that trial: before all gateways must have blocked it.
# Most prompts may share the part, and while they are refused only a trial can
# show that it was blocked wrongly.
_EARLY_TRIAL_DELAY_MS: Final = 1000
_EARLY_TRIAL_END_MS: Final = 2500
# Milliseconds from the last crash to the next trial of a part by a prompt that
# has no other suspect part: endpoints that crashed are back.
_PART_TRIAL_DELAY_MS: Final = 10_000
# Milliseconds for which suspects are still sent that were at the same crashes,
# or at a crash where unknown requests may have been: a successful answer or the
# next crash distinguishes them. A third of the three seconds within which all
# gateways must block the cause.
_DECISION_DELAY_MS: Final = 1000
# Retry delay in milliseconds sent to a caller if there is no further trial: the
# longest of the above.
_NO_TRIAL_RETRY_MS: Final = 600_000
# Bytes of the hash by which gateways are ranked for a request.
_RANK_HASH_BYTES: Final = 8


@final
class RequestBlock:
    """The reason why a request is not sent to an endpoint."""

    __slots__ = ('cause', 'evidence', 'retry_after_ms')

    def __init__(
        self,
        *,
        cause: Fingerprint,
        evidence: CrashEvidence,
        retry_after_ms: int,
    ) -> None:
        """Initialize a block.

        :param cause: the request, or the part of its prompt, that is blocked.
        :param evidence: evidence that it crashes endpoints.
        :param retry_after_ms: milliseconds until the next trial.
        """
        self.cause = cause
        self.evidence = evidence
        self.retry_after_ms = retry_after_ms


@final
class RequestBlocks:
    """Blocks what crashes endpoints and schedules the trials of it."""

    __slots__ = (
        '_causes',
        '_clock',
        '_common_parts',
        '_complete',
        '_gateways',
        '_incomplete',
        '_ledger',
        '_name',
        '_revision',
        '_started_ms',
        '_last_trial_ms',
    )

    def __init__(self, *, name: str, clock: Clock, ledger: CrashLedger) -> None:
        """Initialize without a block.

        :param name: name of this gateway.
        :param clock: source of the current time.
        :param ledger: crashes that all gateways have seen.
        """
        self._name = name
        self._clock = clock
        self._ledger = ledger
        self._started_ms = clock.now_ms()
        self._gateways = {name}
        # Endpoints whose crashes are known from the store, with all suspects
        # and lost gateways or without some.
        self._complete: frozenset[str] = frozenset()
        self._incomplete: frozenset[str] = frozenset()
        self._revision = ledger.revision
        self._causes: dict[Fingerprint, CrashEvidence] = {}
        # Parts that are never blocked: their presence at crashes says little,
        # and without them hardly any prompt would be served.
        self._common_parts = CommonParts()
        # Time of the last trial of a blocked suspect by this gateway.
        self._last_trial_ms: dict[Fingerprint, int] = {}

    @property
    def count(self) -> int:
        """Number of blocked requests."""
        return sum(not is_part(each) for each in self._find_causes())

    @property
    def part_count(self) -> int:
        """Number of blocked prompt parts."""
        return sum(map(is_part, self._find_causes()))

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the gateways among which trials are assigned.

        :param names: names of the connected peers.
        """
        self._gateways = {self._name, *names}

    def find_block(
        self,
        fingerprint: Fingerprint,
        parts: Sequence[Fingerprint] = (),
    ) -> RequestBlock | None:
        """Return the block of a request.

        :param fingerprint: the request.
        :param parts: parts of its prompt that other prompts may share.
        :returns: the block, None if the request may be sent.
        """
        for cause, evidence in self._list_causes(fingerprint, parts):
            wait_ms = self._trial_wait_ms(cause, evidence)
            if wait_ms != 0 and not self._is_part_trial(cause, evidence, parts):
                return RequestBlock(
                    cause=cause,
                    evidence=evidence,
                    retry_after_ms=wait_ms or _NO_TRIAL_RETRY_MS,
                )
        return None

    def is_common_part(self, part: Fingerprint) -> bool:
        """Check if a prompt part is never blocked.

        :param part: fingerprint of the part.
        :returns: whether many of the last prompts share it.
        """
        return self._common_parts.is_common(part)

    def is_complete(self, crash: EndpointCrash) -> bool:
        """Check if all gateways have reported what they had at a crash.

        :param crash: the crash.
        :returns: whether all suspects that gateways report are in the ledger,
            and which gateways were lost beside it.
        """
        if crash.endpoint in self._complete:
            return True
        if crash.endpoint in self._incomplete:
            return False
        age_ms = self._clock.now_ms() - crash.crashed_ms
        return crash.crashed_ms >= self._started_ms and age_ms >= UNREPORTED_MS

    def restore(
        self,
        *,
        complete: frozenset[str],
        adopted: frozenset[str],
        common_parts: frozenset[Fingerprint],
    ) -> None:
        """Adopt what was decided before the start of this gateway.

        :param complete: endpoints of whose crashes all suspects that gateways
            reported are in the ledger, and which gateways were lost beside.
        :param adopted: endpoints whose crashes no gateway has reported to this
            one.
        :param common_parts: prompt parts that are common until enough prompts
            were sent.
        """
        known = {crash.endpoint for crash in self._ledger.crashes}
        self._complete = complete
        self._incomplete = (self._incomplete | adopted) & known - complete
        self._common_parts.restore(common_parts)

    def note_prompt(self, parts: Sequence[Fingerprint]) -> None:
        """Record a prompt that is sent to an endpoint for the first time.

        :param parts: parts of it that other prompts may share.
        """
        self._common_parts.note_prompt(parts)

    def note_sent(
        self,
        fingerprint: Fingerprint,
        parts: Sequence[Fingerprint] = (),
    ) -> None:
        """Record that a request is sent; for a blocked one this is a trial.

        :param fingerprint: the request.
        :param parts: parts of its prompt that other prompts may share.
        """
        for cause, evidence in self._list_causes(fingerprint, parts):
            self._last_trial_ms[cause] = self._clock.now_ms()
            log_event(
                'blocks',
                'A blocked request is tried once more.',
                request=fingerprint.hex(),
                prompt_part=cause.hex() if is_part(cause) else None,
                crashes=len(evidence.crashes),
            )

    def _list_causes(
        self, fingerprint: Fingerprint, parts: Sequence[Fingerprint]
    ) -> list[tuple[Fingerprint, CrashEvidence]]:
        # The decided causes that concern a request. Parts with equal evidence
        # are not told apart until a prompt with only some of them has run, so
        # that only prompts with all of them are blocked.
        known = self._find_causes()
        if not known or not fingerprint:
            return []
        held = set(parts)
        return [
            (suspect, known[suspect])
            for suspect in (fingerprint, *parts)
            if suspect in known
            and not self._common_parts.is_common(suspect)
            and (not is_part(suspect) or known[suspect].tied_parts <= held)
            and not self._is_undecided(suspect, known[suspect])
        ]

    def _find_causes(self) -> dict[Fingerprint, CrashEvidence]:
        if self._revision == self._ledger.revision:
            return self._causes
        previous = self._causes
        self._causes = find_causes(self._ledger.crashes, self._ledger.served_ms)
        self._ledger.trim(
            {
                crash.endpoint
                for evidence in self._causes.values()
                for crash in evidence.crashes
            },
        )
        self._revision = self._ledger.revision
        self._log_changes(previous)
        return self._causes

    def _is_undecided(
        self, suspect: Fingerprint, evidence: CrashEvidence
    ) -> bool:
        if evidence.is_only_suspect and self._is_conclusive(evidence):
            return False
        # Later incomplete crashes don't count, so that repeated gateway losses
        # can't postpone the block.
        since_ms = evidence.identified_ms
        if not evidence.is_only_suspect and not is_part(suspect):
            since_ms = max(since_ms, evidence.last_complete_crash_ms)
        return self._clock.now_ms() - since_ms < _DECISION_DELAY_MS

    def _is_conclusive(self, evidence: CrashEvidence) -> bool:
        # Gateways lost before this one started are known here only for crashes
        # that were recorded with them.
        endpoints = {crash.endpoint for crash in evidence.crashes}
        if not evidence.is_certain or endpoints & self._incomplete:
            return False
        return (
            evidence.identified_ms >= self._started_ms
            or endpoints <= self._complete
        )

    def _trial_wait_ms(
        self, cause: Fingerprint, evidence: CrashEvidence
    ) -> int | None:
        if evidence.late_crashes >= len(_TRIAL_DELAYS_MS):
            return None
        wait_ms = _TRIAL_DELAYS_MS[evidence.late_crashes]
        last_trial_ms = self._last_trial_ms.get(cause, evidence.last_crash_ms)
        since_ms = max(last_trial_ms, evidence.last_crash_ms)
        remaining_ms = since_ms + wait_ms - self._clock.now_ms()
        if remaining_ms > 0:
            return remaining_ms
        return 0 if self._is_trial_owner(cause) else wait_ms

    def _is_part_trial(
        self,
        cause: Fingerprint,
        evidence: CrashEvidence,
        parts: Sequence[Fingerprint],
    ) -> bool:
        if not is_part(cause) or evidence.late_crashes:
            return False
        if not self._is_part_trial_due(cause, evidence):
            return False
        # Another suspect part would make the trial say nothing.
        suspects = self._ledger.find_suspects(parts) - {cause}
        return not suspects and self._is_trial_owner(cause)

    def _is_part_trial_due(
        self, cause: Fingerprint, evidence: CrashEvidence
    ) -> bool:
        now_ms = self._clock.now_ms()
        last_trial_ms = self._last_trial_ms.get(cause)
        if last_trial_ms is None:
            since_crash_ms = now_ms - evidence.last_crash_ms
            since_evidence_ms = now_ms - evidence.identified_ms
            if since_evidence_ms <= _EARLY_TRIAL_END_MS:
                return since_crash_ms >= _EARLY_TRIAL_DELAY_MS
        since_ms = max(last_trial_ms or 0, evidence.last_crash_ms)
        return now_ms - since_ms >= _PART_TRIAL_DELAY_MS

    def _is_trial_owner(self, cause: Fingerprint) -> bool:
        # Connected gateways all choose the same gateway for the trial.
        return self._name == max(
            self._gateways,
            key=lambda name: hashlib.blake2b(
                name.encode() + cause,
                digest_size=_RANK_HASH_BYTES,
            ).digest(),
        )

    def _log_changes(self, previous: dict[Fingerprint, CrashEvidence]) -> None:
        for cause in self._causes.keys() - previous.keys():
            self._log_block(cause, self._causes[cause])
        for cause in previous.keys() - self._causes.keys():
            self._last_trial_ms.pop(cause, None)
            log_event(
                'blocks',
                (
                    'A prompt part is blocked no longer.'
                    if is_part(cause)
                    else 'A request is blocked no longer.'
                ),
                **_name_cause(cause),
                served=cause in self._ledger.served_ms,
            )

    def _log_block(self, cause: Fingerprint, evidence: CrashEvidence) -> None:
        crashes, now_ms = evidence.crashes, self._clock.now_ms()
        log_event(
            'blocks',
            (
                'A prompt part is blocked: it ends the endpoints that run it.'
                if is_part(cause)
                else 'A request is blocked: it ends the endpoints that run it.'
            ),
            **_name_cause(cause),
            alone=evidence.is_only_suspect,
            tied_parts=sorted(
                part.hex() for part in evidence.tied_parts - {cause}
            ),
            certain=evidence.is_certain,
            common=self._common_parts.is_common(cause),
            crashes=len(crashes),
            endpoints=[crash.endpoint for crash in crashes],
            ages_ms=[now_ms - crash.crashed_ms for crash in crashes],
            told_by=sorted({crash.reported_by for crash in crashes}),
        )


def _name_cause(cause: Fingerprint) -> dict[str, str]:
    name = 'prompt_part' if is_part(cause) else 'request'
    return {name: cause.hex()}
