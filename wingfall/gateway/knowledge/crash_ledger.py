"""Endpoint crashes, and the suspects that were present at each.

A suspect is a request or a part of prompts, known by its fingerprint. Each
gateway sees only some of the crashes that a suspect causes, since it comes
again at any of them; they report crashes to each other (see
:mod:`wingfall.gateway.peers.crash_exchange`). Owns the crashes, and the
successful answers that clear suspects. Only crashes are stored, so requests
that crash nothing can't fill the ledger.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Final, final

from gevent.event import Event

from wingfall.gateway.knowledge.crash_digests import CrashDigests
from wingfall.gateway.knowledge.lost_gateways import LostGateways
from wingfall.gateway.knowledge.recent_answers import RecentAnswers
from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.model.fingerprint import is_part

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wingfall.clock import Clock
    from wingfall.gateway.model.fingerprint import Fingerprint

# Stored crashes. Some 170 VMs fail a day at the size expected in two years,
# with 12,000 endpoints. 9 MB with the maximum number of suspects.
_MAX_CRASHES: Final = 256
# Requests stored for one crash: twice the slots of a large engine.
MAX_SUSPECTS: Final = 128
# Prompt parts stored for one crash: two for each of these requests.
MAX_SUSPECT_PARTS: Final = 256
# Requests, and prompt parts, that one gateway reports for one crash, so that a
# flood of different requests at some gateways leaves capacity for the reports
# of others.
MAX_REPORTED_SUSPECTS: Final = 32
MAX_REPORTED_PARTS: Final = 64
# Milliseconds for which a crash is stored: a day, so that a request retried
# each night crashes no more endpoints than in one night.
RETENTION_MS: Final = 86_400_000
# Milliseconds for which a crash is part of the digest for peers. Many
# heartbeats, and longer than gateways are disconnected from each other.
_DIGEST_WINDOW_MS: Final = 60_000
# Requests, and prompt parts, whose last successful answer is stored. At 50
# answers a second that is 40 s of different requests; about 0.4 MB each.
_MAX_SERVED_REQUESTS: Final = 2048
_MAX_SERVED_PARTS: Final = 4096
# Parts of one prompt whose answer is recorded, so that prompts with hundreds of
# parts don't replace the parts of others. Parts that many prompts share are
# among the first.
_MAX_PARTS_PER_ANSWER: Final = 32


@final
class CrashLedger:
    """The crashes of a day, their suspects and what clears these."""

    __slots__ = (
        '_clock',
        '_crashes',
        '_last_crash_ms',
        '_lost',
        '_recently_served',
        '_recently_served_parts',
        '_served_ms',
        '_digests',
        '_part_digests',
        '_unreported_crashes',
        '_unreported_served',
        'updates_available',
        'changed',
        'revision',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Initialize without a crash.

        :param clock: source of the current time.
        """
        self._clock = clock
        self._crashes: dict[str, EndpointCrash] = {}
        self._digests = CrashDigests()
        self._part_digests = CrashDigests()
        self._lost = LostGateways(clock=clock)
        # Time of the last crash of each suspect.
        self._last_crash_ms: dict[Fingerprint, int] = {}
        # Time of the last successful answer to each suspect, by any gateway.
        self._served_ms: dict[Fingerprint, int] = {}
        # Successful answers of this gateway.
        self._recently_served = RecentAnswers(
            clock=clock, max_entries=_MAX_SERVED_REQUESTS
        )
        self._recently_served_parts = RecentAnswers(
            clock=clock, max_entries=_MAX_SERVED_PARTS
        )
        # Changes not yet reported to peers.
        self._unreported_crashes: dict[str, EndpointCrash] = {}
        self._unreported_served: set[Fingerprint] = set()
        # Set while there are unreported changes.
        self.updates_available = Event()
        # Set at each change; cleared by its reader.
        self.changed = Event()
        # Number of changes so far.
        self.revision = 0

    @property
    def crashes(self) -> list[EndpointCrash]:
        """All stored crashes."""
        return list(self._crashes.values())

    @property
    def served_ms(self) -> dict[Fingerprint, int]:
        """Times of the last successful answers to suspects; read-only."""
        return self._served_ms

    @property
    def recent_digest(self) -> int:
        """A number equal for gateways with equal requests at recent crashes."""
        return self._digests.combine(self.recent())

    @property
    def recent_part_digest(self) -> int:
        """The same for the prompt parts at recent crashes."""
        return self._part_digests.combine(self.recent())

    def recent(self) -> list[EndpointCrash]:
        """Return the crashes that are part of the digest.

        :returns: the crashes of the last minute.
        """
        oldest_ms = self._clock.now_ms() - _DIGEST_WINDOW_MS
        return [
            crash
            for crash in self._crashes.values()
            if crash.crashed_ms > oldest_ms
        ]

    def note_crash(self, crash: EndpointCrash) -> None:
        """Record a crash that this gateway has seen.

        :param crash: the crash, with this gateway's suspects.
        """
        selected = self._select_suspects(
            crash, crash.suspects, MAX_REPORTED_SUSPECTS, MAX_REPORTED_PARTS
        )
        added = self.merge_crash(crash.restricted_to(selected))
        if added is not None:
            report = self._unreported_crashes.setdefault(crash.endpoint, added)
            report.silent |= added.silent
            report.streaming |= added.streaming
            self.updates_available.set()

    def merge_crash(self, crash: EndpointCrash) -> EndpointCrash | None:
        """Merge a crash and its suspects into the stored crashes.

        :param crash: the crash, as seen here or reported by a peer.
        :returns: the crash with its new suspects, None if there is no change.
        """
        if self._clock.now_ms() - crash.crashed_ms >= RETENTION_MS:
            return None
        known = self._crashes.get(crash.endpoint)
        if known is not None and known.is_restored:
            self._correct_time(known, crash.crashed_ms)
        suspects = known.suspects if known else set()
        parts = sum(map(is_part, suspects))
        new = self._select_suspects(
            crash,
            crash.suspects - suspects,
            MAX_SUSPECTS - len(suspects) + parts,
            MAX_SUSPECT_PARTS - parts,
        )
        if known is not None and not new:
            return None
        added = crash.restricted_to(new)
        self._merge(known, added)
        return added

    def find_suspects(
        self, fingerprints: Iterable[Fingerprint]
    ) -> set[Fingerprint]:
        """Find what was at a crash and was not served since.

        :param fingerprints: requests or prompt parts.
        :returns: those of them that are suspect.
        """
        return {
            each
            for each in fingerprints
            if each in self._last_crash_ms
            and self._served_ms.get(each, self._last_crash_ms[each] - 1)
            < self._last_crash_ms[each]
        }

    def note_gateway_lost(self, name: str) -> None:
        """Record that a gateway has ended without a planned stop.

        :param name: name of the gateway.
        """
        self._lost.note(name)
        for crash in self._crashes.values():
            # Check only this loss: a whole fleet may be lost at once.
            if not crash.incomplete and self._lost.is_affected_by(name, crash):
                crash.incomplete = True
                self._note_change()

    def note_served(
        self,
        fingerprint: Fingerprint,
        parts: Sequence[Fingerprint] = (),
    ) -> None:
        """Record a successful answer of an endpoint.

        :param fingerprint: the request.
        :param parts: parts of its prompt that other prompts may share.
        """
        self._recently_served.note(fingerprint)
        self._clear(fingerprint)
        self.note_parts_served(parts)

    def note_parts_served(self, parts: Sequence[Fingerprint]) -> None:
        """Record that a prompt with some parts runs well at an endpoint.

        :param parts: parts of the prompt that other prompts may share.
        """
        for part in parts[:_MAX_PARTS_PER_ANSWER]:
            self._recently_served_parts.note(part)
            self._clear(part)

    def merge_served(self, fingerprint: Fingerprint, served_ms: int) -> None:
        """Merge a successful answer that a peer reports.

        :param fingerprint: the request, or a part of its prompt.
        :param served_ms: time of the answer, by this gateway's clock.
        """
        if fingerprint in self._last_crash_ms:
            self._set_served(fingerprint, served_ms)

    def take_unreported_crashes(self) -> list[EndpointCrash]:
        """Return and clear the crashes not yet reported to peers.

        :returns: the crashes, each with its new suspects.
        """
        unreported = list(self._unreported_crashes.values())
        self._unreported_crashes = {}
        return unreported

    def take_unreported_served(self) -> dict[Fingerprint, int]:
        """Return and clear the successful answers not yet reported to peers.

        :returns: the time of each answer, by this gateway's clock.
        """
        unreported = self._unreported_served & self._served_ms.keys()
        self._unreported_served = set()
        return {each: self._served_ms[each] for each in unreported}

    def forget_old(self) -> None:
        """Remove crashes that are older than a day."""
        oldest_ms = self._clock.now_ms() - RETENTION_MS
        expired = [
            name
            for name, crash in self._crashes.items()
            if crash.crashed_ms <= oldest_ms
        ]
        if expired:
            self._remove(expired)

    def trim(self, blocking: set[str]) -> None:
        """Remove the oldest crashes above the limit.

        :param blocking: endpoints whose crashes are removed last, since they
            block a request.
        """
        excess = len(self._crashes) - _MAX_CRASHES
        if excess <= 0:
            return
        ordered = sorted(
            self._crashes,
            key=lambda name: (name in blocking, self._crashes[name].crashed_ms),
        )
        self._remove(ordered[:excess])

    def _note_change(self) -> None:
        self.revision += 1
        self.changed.set()

    def _clear(self, suspect: Fingerprint) -> None:
        crashed_ms = self._last_crash_ms.get(suspect)
        if crashed_ms is None:
            return
        # One successful answer after a crash clears a suspect; further answers
        # add nothing.
        if self._served_ms.get(suspect, crashed_ms - 1) < crashed_ms:
            self._set_served(suspect, self._clock.now_ms())
            self._report_served(suspect)

    def _select_suspects(
        self,
        crash: EndpointCrash,
        suspects: set[Fingerprint],
        request_capacity: int,
        part_capacity: int,
    ) -> set[Fingerprint]:
        # Suspects of other crashes first, then in random order, so that a
        # flood of different requests can't hide a retried request. Parts that
        # were served lately come last: most prompts share some.
        ordered = sorted(
            suspects,
            key=lambda each: (
                self._recently_served_parts.find_ms(each) is not None,
                each not in self._last_crash_ms,
                each not in crash.silent,
                random.random(),  # noqa: S311
            ),
        )
        requests = [each for each in ordered if not is_part(each)]
        parts = [each for each in ordered if is_part(each)]
        return {
            *requests[: max(0, request_capacity)],
            *parts[: max(0, part_capacity)],
        }

    def _merge(self, known: EndpointCrash | None, added: EndpointCrash) -> None:
        if known is None:
            # Copy the crash, since the stored entry changes later.
            self._crashes[added.endpoint] = added.restricted_to(added.suspects)
        else:
            known.silent |= added.silent
            known.streaming |= added.streaming - known.silent
            known.crashed_ms = min(known.crashed_ms, added.crashed_ms)
        merged = self._crashes[added.endpoint]
        if added.incomplete or self._lost.is_affected(merged):
            merged.incomplete = True
        self._note_change()
        for suspect in added.suspects:
            digests = self._part_digests if is_part(suspect) else self._digests
            digests.add(added.endpoint, suspect)
            self._note_suspect(suspect, added.crashed_ms)

    def _correct_time(self, known: EndpointCrash, crashed_ms: int) -> None:
        if known.crashed_ms <= crashed_ms:
            return
        known.crashed_ms = crashed_ms
        for suspect in known.suspects:
            self._last_crash_ms[suspect] = max(
                crash.crashed_ms
                for crash in self._crashes.values()
                if crash.involves(suspect)
            )
        self._note_change()

    def _note_suspect(self, suspect: Fingerprint, crashed_ms: int) -> None:
        last_ms = self._last_crash_ms.get(suspect, crashed_ms)
        self._last_crash_ms[suspect] = max(last_ms, crashed_ms)
        if suspect in self._served_ms:
            return
        answers = self._recently_served
        if is_part(suspect):
            answers = self._recently_served_parts
        served_ms = answers.find_ms(suspect)
        if served_ms is not None:
            self._set_served(suspect, served_ms)
            self._report_served(suspect)

    def _set_served(self, fingerprint: Fingerprint, served_ms: int) -> None:
        known_ms = self._served_ms.get(fingerprint)
        if known_ms is None or known_ms < served_ms:
            self._served_ms[fingerprint] = served_ms
            self._note_change()

    def _report_served(self, fingerprint: Fingerprint) -> None:
        self._unreported_served.add(fingerprint)
        self.updates_available.set()

    def _remove(self, endpoints: Iterable[str]) -> None:
        for name in endpoints:
            self._crashes.pop(name)
            self._digests.drop(name)
            self._part_digests.drop(name)
            self._unreported_crashes.pop(name, None)
        remaining = set(
            itertools.chain.from_iterable(
                crash.suspects for crash in self._crashes.values()
            ),
        )
        for known in (self._last_crash_ms, self._served_ms):
            for fingerprint in known.keys() - remaining:
                known.pop(fingerprint)
        self._note_change()
