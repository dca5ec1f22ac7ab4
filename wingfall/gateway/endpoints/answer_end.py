"""Evidence for the end of an answer without a length or chunks.

Such an answer ends with its connection. The system of an endpoint that is
killed closes its connections in the same way, so the answer is complete only if
its endpoint outlives it. Whether the endpoint has announced that it leaves
proves neither.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Callable, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.endpoint_probe import (
    ProbeResult,
    probe_endpoint,
)
from wingfall.log import log_event
from wingfall.log_limit import LogLimit

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.connection_cache import ConnectionCache
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.metrics import Metrics

# Probes of an endpoint that gives no answer; a packet of one may be lost.
_MAX_PROBES: Final = 3
# Milliseconds after which the end of a connection has arrived even if its first
# packet was lost: the kernel sends it again after 200 ms and a round trip.
_MAX_END_DELAY_MS: Final = 300
# Milliseconds within which the ends of connections are read that arrived while
# the process stood still.
_MAX_UNREAD_MS: Final = 1000
# Interval of the checks for connections that are still open.
_POLL_INTERVAL_MS: Final = 20
# Maximum lines per second. The end of a busy endpoint ends some hundred
# answers at once.
_MAX_LINES_PER_S: Final = 50


class EndEvidence(enum.StrEnum):
    """What is known of an endpoint whose answer has just ended."""

    accepts = 'accepts_connections'
    keeps = 'keeps_connections'
    ended = 'ended'
    superseded = 'superseded'
    silent = 'silent'
    unknown_time = 'unknown_time'


# Evidence that the endpoint outlives its answer.
_PROOFS: Final = (EndEvidence.accepts, EndEvidence.keeps)


@final
class AnswerEndCheck:
    """Decides whether answers that end with their connection are complete."""

    __slots__ = (
        '_clock',
        '_connections',
        '_has_stood_still',
        '_knowledge',
        '_limit',
        '_metrics',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        knowledge: EndpointKnowledge,
        connections: ConnectionCache,
        metrics: Metrics,
        has_stood_still: Callable[[int], bool],
    ) -> None:
        """Create a check that has decided nothing.

        :param clock: clock of this gateway.
        :param knowledge: state of the endpoints.
        :param connections: connections to endpoints.
        :param metrics: counts the decisions.
        :param has_stood_still: returns whether this process stood still within
            some milliseconds before now.
        """
        self._clock = clock
        self._knowledge = knowledge
        self._connections = connections
        self._metrics = metrics
        self._has_stood_still = has_stood_still
        self._limit = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)

    def is_whole(self, call_id: str, endpoint: PoolEndpoint) -> bool:
        """Check if an answer is complete that has just ended.

        :param call_id: id of the request.
        :param endpoint: endpoint that answered.
        :returns: whether the endpoint provably outlives its answer.
        """
        started_ms = self._clock.now_ms()
        evidence = self._find_evidence(endpoint)
        is_whole = evidence in _PROOFS
        self._metrics.decisions.inc({'part': 'answer_end', 'reason': evidence})
        if self._limit.admit():
            log_event(
                'dispatch',
                'An answer ended with its connection.',
                call=call_id,
                endpoint=endpoint.name,
                evidence=evidence,
                whole=is_whole,
                leaving=self._knowledge.is_leaving(endpoint.name),
                ms=self._clock.now_ms() - started_ms,
                omitted=self._limit.take_omitted(),
            )
        return is_whole

    def _find_evidence(self, endpoint: PoolEndpoint) -> EndEvidence:
        # The answer may have ended long ago, and another endpoint may have the
        # address since.
        if self._has_stood_still(_MAX_UNREAD_MS):
            return EndEvidence.unknown_time
        probed = _probe(endpoint)
        # A later start under the same id may have answered the probe.
        if self._knowledge.incarnations.is_superseded(endpoint):
            return EndEvidence.superseded
        if probed is ProbeResult.accepted:
            return EndEvidence.accepts
        if probed is ProbeResult.silent:
            return EndEvidence.silent
        # An endpoint may take no new connections and still run: it has too many
        # or finishes its last answers.
        if self._keeps_connections(endpoint):
            return EndEvidence.keeps
        return EndEvidence.ended

    def _keeps_connections(self, endpoint: PoolEndpoint) -> bool:
        until_ms = self._clock.now_ms() + _MAX_END_DELAY_MS
        while self._connections.has_open(endpoint.name):
            if self._clock.now_ms() >= until_ms:
                return True
            gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        return False


def _probe(endpoint: PoolEndpoint) -> ProbeResult:
    probes = (probe_endpoint(endpoint) for _number in range(_MAX_PROBES))
    answered = (each for each in probes if each is not ProbeResult.silent)
    return next(answered, ProbeResult.silent)
