"""Evidence for the end of an answer without a length or chunks.

Whether the endpoint has announced that it leaves proves nothing, and a later
start of it proves nothing of the earlier one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.answer_evidence import PROOFS, EndEvidence, find_evidence
from wingfall.gateway.endpoints.endpoint_probe import probe_endpoint
from wingfall.log import log_event
from wingfall.log_limit import LogLimit

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.connection_cache import ConnectionCache
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.metrics import Metrics

# Maximum lines per second. The end of a busy endpoint ends some hundred
# answers at once.
_MAX_LINES_PER_S: Final = 50


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
        is_whole = evidence in PROOFS
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
        others = self._connections.list_open(endpoint.name)
        evidence = find_evidence(
            self._clock,
            lambda: probe_endpoint(endpoint),
            lambda: [each.state for each in others],
            self._has_stood_still,
        )
        # A later start under the same id may have answered the probe.
        if self._knowledge.incarnations.is_superseded(endpoint):
            return EndEvidence.superseded
        return evidence
