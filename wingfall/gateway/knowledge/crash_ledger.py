"""Which endpoints crashed, and which requests were there.

What one request does to endpoints is seen in parts by all gateways, since it
comes again at any of them; each tells the others (see
:mod:`wingfall.gateway.peers.crash_exchange`). Owns the crashes, and the good
answers that clear requests that were beside them. Only crashes are remembered,
so requests that crash nothing can't fill it.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Final, final

from gevent.event import Event

from wingfall.gateway.knowledge.crash_sums import CrashSums
from wingfall.gateway.knowledge.lost_gateways import LostGateways
from wingfall.gateway.model.endpoint_crash import EndpointCrash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.model.fingerprint import Fingerprint

# Crashes that are remembered. Some 170 VMs fail a day at the size in two years,
# with 12,000 endpoints. With all suspects below, 3 MB.
_MOST_CRASHES: Final = 256
# Requests that are remembered of one crash: twice the slots of a large engine.
MOST_SUSPECTS: Final = 128
# Requests that one gateway tells of one crash, so that a flood of unlike ones
# at some gateways leaves room for what others have seen.
MOST_TOLD: Final = 32
# Milliseconds for which a crash is remembered: a day, so that a request that
# comes again each night ends no more endpoints than in one night.
_REMEMBERED_MS: Final = 86_400_000
# Milliseconds for which a crash is compared with what peers know. Many
# heartbeats, and longer than gateways are cut off from each other.
_COMPARED_MS: Final = 60_000
# Requests whose last good answer is remembered, and for how many milliseconds.
# At 50 answers a second that is 40 s of unlike requests; about 0.4 MB.
_MOST_SERVED: Final = 2048
_SERVED_MS: Final = 60_000


@final
class CrashLedger:
    """The crashes of a day, the requests there, and what clears these."""

    __slots__ = (
        '_clock',
        '_crashes',
        '_last_crash_ms',
        '_lost',
        '_recently_served_ms',
        '_served_ms',
        '_sums',
        '_untold_crashes',
        '_untold_served',
        'news',
        'revision',
    )

    def __init__(self, *, clock: Clock) -> None:
        """Start without a crash.

        :param clock: the time.
        """
        self._clock = clock
        self._crashes: dict[str, EndpointCrash] = {}
        self._sums = CrashSums()
        self._lost = LostGateways(clock=clock)
        # When a suspect was last at a crash.
        self._last_crash_ms: dict[Fingerprint, int] = {}
        # When a suspect was last answered well, by any gateway.
        self._served_ms: dict[Fingerprint, int] = {}
        # Good answers of this gateway, the last at the end.
        self._recently_served_ms: dict[Fingerprint, int] = {}
        # What peers have not heard of.
        self._untold_crashes: dict[str, EndpointCrash] = {}
        self._untold_served: set[Fingerprint] = set()
        # Set while there is something that peers have not heard of.
        self.news = Event()
        # Counts the changes.
        self.revision = 0

    @property
    def crashes(self) -> list[EndpointCrash]:
        """The crashes that are remembered."""
        return list(self._crashes.values())

    @property
    def served_ms(self) -> dict[Fingerprint, int]:
        """When suspects were last answered well; must not be changed."""
        return self._served_ms

    @property
    def recent_sum(self) -> int:
        """A number that is the same for gateways that know the same."""
        return self._sums.combine(self.recent())

    def recent(self) -> list[EndpointCrash]:
        """List the crashes that are compared with what peers know.

        :returns: the crashes of the last minute.
        """
        oldest_ms = self._clock.now_ms() - _COMPARED_MS
        return [
            crash
            for crash in self._crashes.values()
            if crash.crashed_ms > oldest_ms
        ]

    def note_crash(self, crash: EndpointCrash) -> None:
        """Note a crash that this gateway has seen.

        :param crash: the crash, with this gateway's suspects.
        """
        chosen = self._choose(crash, crash.suspects, MOST_TOLD)
        added = self.take_crash(crash.narrowed(chosen))
        if added is not None:
            told = self._untold_crashes.setdefault(crash.endpoint, added)
            told.silent |= added.silent
            told.streaming |= added.streaming
            self.news.set()

    def take_crash(self, crash: EndpointCrash) -> EndpointCrash | None:
        """Add what is not known of a crash.

        :param crash: the crash, as seen here or told by a peer.
        :returns: what was new of it, None if nothing was.
        """
        if self._clock.now_ms() - crash.crashed_ms >= _REMEMBERED_MS:
            return None
        known = self._crashes.get(crash.endpoint)
        suspects = known.suspects if known else set()
        room = MOST_SUSPECTS - len(suspects)
        new = self._choose(crash, crash.suspects - suspects, room)
        if known is not None and not new:
            return None
        added = crash.narrowed(new)
        self._merge(known, added)
        return added

    def note_gateway_lost(self, name: str) -> None:
        """Note that a gateway has ended without a planned stop.

        :param name: its name.
        """
        self._lost.note(name)
        for crash in self._crashes.values():
            # Only this loss: all gateways of a fleet may be lost at once.
            if not crash.incomplete and self._lost.was_beside(name, crash):
                crash.incomplete = True
                self.revision += 1

    def note_served(self, fingerprint: Fingerprint) -> None:
        """Note a good answer of an endpoint.

        :param fingerprint: the request.
        """
        now_ms = self._clock.now_ms()
        self._recently_served_ms.pop(fingerprint, None)
        self._recently_served_ms[fingerprint] = now_ms
        if len(self._recently_served_ms) > _MOST_SERVED:
            self._recently_served_ms.pop(next(iter(self._recently_served_ms)))
        crashed_ms = self._last_crash_ms.get(fingerprint)
        if crashed_ms is None:
            return
        # One good answer after a crash clears it; more tell nothing new.
        if self._served_ms.get(fingerprint, crashed_ms - 1) < crashed_ms:
            self._set_served(fingerprint, now_ms)
            self._tell_served(fingerprint)

    def take_served(self, fingerprint: Fingerprint, served_ms: int) -> None:
        """Take a good answer that a peer tells of.

        :param fingerprint: the request.
        :param served_ms: when it was, by this gateway's clock.
        """
        if fingerprint in self._last_crash_ms:
            self._set_served(fingerprint, served_ms)

    def take_untold_crashes(self) -> list[EndpointCrash]:
        """Take the crashes that peers have not heard of.

        :returns: the crashes, each with its new suspects.
        """
        untold = list(self._untold_crashes.values())
        self._untold_crashes = {}
        return untold

    def take_untold_served(self) -> dict[Fingerprint, int]:
        """Take the good answers that peers have not heard of.

        :returns: when each was, by this gateway's clock.
        """
        untold = self._untold_served & self._served_ms.keys()
        self._untold_served = set()
        return {each: self._served_ms[each] for each in untold}

    def forget_old(self) -> None:
        """Forget the crashes of more than a day ago."""
        oldest_ms = self._clock.now_ms() - _REMEMBERED_MS
        old = [
            name
            for name, crash in self._crashes.items()
            if crash.crashed_ms <= oldest_ms
        ]
        if old:
            self._drop(old)

    def trim(self, kept: set[str]) -> None:
        """Keep the bound of number.

        :param kept: endpoints whose crashes are forgotten last, since a
            request is blocked for them.
        """
        beyond = len(self._crashes) - _MOST_CRASHES
        if beyond <= 0:
            return
        order = sorted(
            self._crashes,
            key=lambda name: (name in kept, self._crashes[name].crashed_ms),
        )
        self._drop(order[:beyond])

    def _choose(
        self,
        crash: EndpointCrash,
        suspects: set[Fingerprint],
        room: int,
    ) -> set[Fingerprint]:
        # Those that were at other crashes first, then by chance, so that a
        # flood of unlike requests can't hide one that comes again.
        order = sorted(
            suspects,
            key=lambda each: (
                each not in self._last_crash_ms,
                each not in crash.silent,
                random.random(),  # noqa: S311
            ),
        )
        return set(order[: max(0, room)])

    def _merge(self, known: EndpointCrash | None, added: EndpointCrash) -> None:
        if known is None:
            # A copy, since the ledger's own entry changes later on.
            self._crashes[added.endpoint] = added.narrowed(added.suspects)
        else:
            known.silent |= added.silent
            known.streaming |= added.streaming - known.silent
            known.crashed_ms = min(known.crashed_ms, added.crashed_ms)
        merged = self._crashes[added.endpoint]
        if self._lost.may_have_been_at(merged):
            merged.incomplete = True
        self.revision += 1
        for suspect in added.suspects:
            self._sums.add(added.endpoint, suspect)
            self._note_suspect(suspect, added.crashed_ms)

    def _note_suspect(self, suspect: Fingerprint, crashed_ms: int) -> None:
        last_ms = self._last_crash_ms.get(suspect, crashed_ms)
        self._last_crash_ms[suspect] = max(last_ms, crashed_ms)
        served_ms = self._recently_served_ms.get(suspect)
        if served_ms is None or suspect in self._served_ms:
            return
        if self._clock.now_ms() - served_ms < _SERVED_MS:
            self._set_served(suspect, served_ms)
            self._tell_served(suspect)

    def _set_served(self, fingerprint: Fingerprint, served_ms: int) -> None:
        known_ms = self._served_ms.get(fingerprint)
        if known_ms is None or known_ms < served_ms:
            self._served_ms[fingerprint] = served_ms
            self.revision += 1

    def _tell_served(self, fingerprint: Fingerprint) -> None:
        self._untold_served.add(fingerprint)
        self.news.set()

    def _drop(self, endpoints: Iterable[str]) -> None:
        for name in endpoints:
            self._crashes.pop(name)
            self._sums.drop(name)
            self._untold_crashes.pop(name, None)
        left = set(
            itertools.chain.from_iterable(
                crash.suspects for crash in self._crashes.values()
            ),
        )
        for known in (self._last_crash_ms, self._served_ms):
            for fingerprint in known.keys() - left:
                known.pop(fingerprint)
        self.revision += 1
