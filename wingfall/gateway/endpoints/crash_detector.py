"""Detection of crashed endpoints and of the requests that ran on them.

A broken connection may only mean a lost answer. So after requests at an
endpoint break, the gateway opens a new connection to it. An endpoint that
refuses the connection, or closes it at once, has ended with all requests on it.
An endpoint that is leaving as planned has not crashed.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.endpoint_probe import (
    ProbeResult,
    probe_endpoint,
)
from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.model.fingerprint import is_part
from wingfall.log import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.fingerprint import Fingerprint
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.metrics import Metrics

# All calls at a crashed endpoint break within this time: a network round trip
# and a busy iteration of the event loop.
_COLLECTION_DELAY_MS: Final = 20
# What shows that an endpoint whose connections broke has ended.
_ENDED: Final = (ProbeResult.closed, ProbeResult.refused)
# A request with at least this much output is no suspect: it ran without fault
# for many steps of the engine.
_MAX_SUSPECT_OUTPUT_MS: Final = 1000
# An abandoned request may still start at its endpoint within this time. Most
# endpoints drop it at once.
_ABANDONED_RETENTION_MS: Final = 2000
# Covers two seconds in which all callers of a busy gateway give up.
_MAX_ABANDONED: Final = 256
# Requests, and prompt parts, that the line of a crash lists.
_MAX_LISTED: Final = 32

# Time, name of the endpoint, and fingerprints of the request and of the parts
# of its prompt.
_Abandoned = tuple[int, str, tuple['Fingerprint', ...]]


@final
class _BrokenRequests:
    """Requests that broke at an endpoint since its last check."""

    __slots__ = ('first_broken_ms', 'silent', 'streaming')

    def __init__(self, *, first_broken_ms: int) -> None:
        """Create an empty collection.

        :param first_broken_ms: time of the first broken connection.
        """
        self.first_broken_ms = first_broken_ms
        self.silent: set[Fingerprint] = set()
        self.streaming: set[Fingerprint] = set()


@final
class CrashDetector:
    """Collects broken requests and checks their endpoints for a crash."""

    __slots__ = (
        '_clock',
        '_knowledge',
        '_abandoned',
        '_metrics',
        '_name',
        '_broken',
    )

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        knowledge: EndpointKnowledge,
        metrics: Metrics,
    ) -> None:
        """Create a detector without broken requests.

        :param name: name of this gateway.
        :param clock: clock of this gateway.
        :param knowledge: state in which crashes are recorded.
        :param metrics: metrics in which crashes are counted.
        """
        self._name = name
        self._clock = clock
        self._knowledge = knowledge
        self._metrics = metrics
        self._broken: dict[str, _BrokenRequests] = {}
        # Requests abandoned before their first output.
        self._abandoned: list[_Abandoned] = []

    def note_broken(
        self,
        endpoint: PoolEndpoint,
        fingerprint: Fingerprint,
        output_ms: int | None,
        parts: Sequence[Fingerprint] = (),
    ) -> None:
        """Record a connection that broke before the end of an answer.

        :param endpoint: endpoint of the connection.
        :param fingerprint: request on the connection.
        :param output_ms: milliseconds since the first output of the request,
            None without output.
        :param parts: parts of its prompt that other prompts may share.
        """
        broken = self._broken.get(endpoint.name)
        if broken is None:
            broken = _BrokenRequests(first_broken_ms=self._clock.now_ms())
            self._broken[endpoint.name] = broken
            gevent.spawn(self._check_endpoint, endpoint)
        if output_ms is None:
            broken.silent.update((fingerprint, *parts))
        elif output_ms < _MAX_SUSPECT_OUTPUT_MS:
            broken.streaming.update((fingerprint, *parts))

    def note_abandoned(
        self,
        endpoint: PoolEndpoint,
        fingerprint: Fingerprint,
        parts: Sequence[Fingerprint] = (),
    ) -> None:
        """Record a request that was abandoned before its first output.

        :param endpoint: endpoint at which the request may still start.
        :param fingerprint: the abandoned request.
        :param parts: parts of its prompt that other prompts may share.
        """
        self._abandoned = self._recently_abandoned()[1 - _MAX_ABANDONED :]
        self._abandoned.append(
            (self._clock.now_ms(), endpoint.name, (fingerprint, *parts)),
        )

    def _has_crashed(self, endpoint: PoolEndpoint) -> bool:
        """Check if an endpoint has crashed that has just closed a connection.

        Decides on blame only. It doesn't show whether an answer is complete.

        :param endpoint: the endpoint; one that leaves as planned has not.
        :returns: whether it has ended with all requests on it.
        """
        gevent.sleep(_COLLECTION_DELAY_MS / MS_PER_S)
        if self._knowledge.is_leaving(endpoint.name):
            return False
        if self._knowledge.incarnations.is_superseded(endpoint):
            return True
        return probe_endpoint(endpoint) in _ENDED

    def _recently_abandoned(self) -> list[_Abandoned]:
        oldest_ms = self._clock.now_ms() - _ABANDONED_RETENTION_MS
        return [each for each in self._abandoned if each[0] >= oldest_ms]

    def _check_endpoint(self, endpoint: PoolEndpoint) -> None:
        crashed = False
        try:
            crashed = self._has_crashed(endpoint)
        finally:
            broken = self._broken.pop(endpoint.name)
        if not crashed:
            return
        for _abandoned_ms, name, suspects in self._recently_abandoned():
            if name == endpoint.name:
                broken.silent.update(suspects)
        self._knowledge.crashes.note_crash(
            EndpointCrash(
                endpoint=endpoint.name,
                crashed_ms=broken.first_broken_ms,
                reported_by=self._name,
                silent=broken.silent,
                streaming=broken.streaming - broken.silent,
            ),
        )
        self._metrics.decisions.inc({'part': 'crash', 'reason': 'seen'})
        log_event(
            'crash',
            'An endpoint has crashed.',
            endpoint=endpoint.name,
            pool=endpoint.pool,
            seen_ms=self._clock.now_ms() - broken.first_broken_ms,
            requests=_list_some(itertools.filterfalse(is_part, broken.silent)),
            streaming=sum(not is_part(each) for each in broken.streaming),
            parts=_list_some(
                filter(is_part, broken.silent | broken.streaming),
            ),
        )


def _list_some(fingerprints: Iterable[Fingerprint]) -> list[str]:
    return sorted(each.hex() for each in fingerprints)[:_MAX_LISTED]
