"""Notices that an endpoint has crashed, and which requests were there.

A connection that breaks may only be a lost answer. So once requests at an
endpoint break, it is asked whether it still takes connections; one that refuses
them, or closes them at once, has ended with all that ran there. One that is
leaving by plan has not crashed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.endpoint_probe import closes_connections
from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.fingerprint import Fingerprint
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.metrics import Metrics

# Milliseconds in which all calls at a crashed endpoint break. A way there and
# back, and a busy turn of the loop.
_COLLECT_MS: Final = 20
# Milliseconds of output after which a run has not ended its endpoint: it ran
# well that long. Many steps of an engine.
_PROVEN_OUTPUT_MS: Final = 1000
# Milliseconds for which a request that was left at an endpoint may still begin
# to run there. Most endpoints drop it at once.
_LEFT_MS: Final = 2000
# Requests that were left lately and are remembered. Those of two seconds in
# which all callers of a busy gateway give up.
_MOST_LEFT: Final = 256


@final
class _Sighting:
    """What broke at an endpoint since it was last asked."""

    __slots__ = ('seen_ms', 'silent', 'streaming')

    def __init__(self, *, seen_ms: int) -> None:
        """Start without requests."""
        self.seen_ms = seen_ms
        self.silent: set[Fingerprint] = set()
        self.streaming: set[Fingerprint] = set()


@final
class CrashWatch:
    """Collects the requests that break, and asks their endpoints."""

    __slots__ = (
        '_clock',
        '_knowledge',
        '_left',
        '_metrics',
        '_name',
        '_sightings',
    )

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        knowledge: EndpointKnowledge,
        metrics: Metrics,
    ) -> None:
        """Start with nothing broken.

        :param name: name of this gateway.
        :param clock: the time.
        :param knowledge: where crashes are noted.
        :param metrics: where they are counted.
        """
        self._name = name
        self._clock = clock
        self._knowledge = knowledge
        self._metrics = metrics
        self._sightings: dict[str, _Sighting] = {}
        # Requests that were given up while they waited at an endpoint.
        self._left: list[tuple[int, str, Fingerprint]] = []

    def note_broken(
        self,
        endpoint: PoolEndpoint,
        fingerprint: Fingerprint,
        output_ms: int | None,
    ) -> None:
        """Note that a connection broke before the end of an answer.

        :param endpoint: the endpoint.
        :param fingerprint: the request that was there.
        :param output_ms: for how long its output had come, None if none had.
        """
        sighting = self._sightings.get(endpoint.name)
        if sighting is None:
            sighting = _Sighting(seen_ms=self._clock.now_ms())
            self._sightings[endpoint.name] = sighting
            gevent.spawn(self._ask, endpoint)
        if output_ms is None:
            sighting.silent.add(fingerprint)
        elif output_ms < _PROVEN_OUTPUT_MS:
            sighting.streaming.add(fingerprint)

    def note_left(
        self,
        endpoint: PoolEndpoint,
        fingerprint: Fingerprint,
    ) -> None:
        """Note a request without output that was given up.

        :param endpoint: where it may still begin to run.
        :param fingerprint: the request.
        """
        self._left = self._recently_left()[1 - _MOST_LEFT :]
        left = (self._clock.now_ms(), endpoint.name, fingerprint)
        self._left.append(left)

    def _recently_left(self) -> list[tuple[int, str, Fingerprint]]:
        oldest_ms = self._clock.now_ms() - _LEFT_MS
        return [each for each in self._left if each[0] >= oldest_ms]

    def _ask(self, endpoint: PoolEndpoint) -> None:
        gevent.sleep(_COLLECT_MS / MS_PER_S)
        crashed = self._has_crashed(endpoint)
        sighting = self._sightings.pop(endpoint.name)
        if not crashed:
            return
        sighting.silent.update(
            fingerprint
            for _left_ms, name, fingerprint in self._recently_left()
            if name == endpoint.name
        )
        self._knowledge.crashes.note_crash(
            EndpointCrash(
                endpoint=endpoint.name,
                crashed_ms=sighting.seen_ms,
                told_by=self._name,
                silent=sighting.silent,
                streaming=sighting.streaming - sighting.silent,
            ),
        )
        self._metrics.decisions.inc({'part': 'crash', 'reason': 'seen'})
        log_event(
            'crash',
            'An endpoint has crashed.',
            endpoint=endpoint.name,
            pool=endpoint.pool,
            seen_ms=self._clock.now_ms() - sighting.seen_ms,
            requests=sorted(each.hex() for each in sighting.silent),
            streaming=len(sighting.streaming),
        )

    def _has_crashed(self, endpoint: PoolEndpoint) -> bool:
        listed = self._knowledge.table.find(endpoint.name)
        if listed is not None and listed.draining:
            return False
        if endpoint.name in self._knowledge.signals.leaving:
            return False
        if self._knowledge.lives.has_ended(endpoint):
            return True
        return closes_connections(endpoint)
