"""Evidence for the end of an answer without a length or chunks.

Such an answer ends with its connection. The system of an endpoint that is
killed closes its connections in the same way.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final, final

from wingfall.log import log_event
from wingfall.log_limit import LogLimit

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.crash_detector import CrashDetector
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.metrics import Metrics

# Maximum lines per second. The end of a busy endpoint ends some hundred
# answers at once.
_MAX_LINES_PER_S: Final = 50


class EndEvidence(enum.StrEnum):
    """What is known of an endpoint whose answer has just ended."""

    leaving = 'leaving'
    running = 'running'
    ended = 'ended'


@final
class AnswerEndCheck:
    """Decides whether answers that end with their connection are complete."""

    __slots__ = (
        '_clock',
        '_crash_detector',
        '_knowledge',
        '_limit',
        '_metrics',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        knowledge: EndpointKnowledge,
        crash_detector: CrashDetector,
        metrics: Metrics,
    ) -> None:
        """Create a check that has decided nothing.

        :param clock: clock of this gateway.
        :param knowledge: state of the endpoints.
        :param crash_detector: checks if an endpoint has crashed.
        :param metrics: counts the decisions.
        """
        self._clock = clock
        self._knowledge = knowledge
        self._crash_detector = crash_detector
        self._metrics = metrics
        self._limit = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)

    def is_whole(self, call_id: str, endpoint: PoolEndpoint) -> bool:
        """Check if an answer is complete that has ended with its connection.

        :param call_id: id of the request.
        :param endpoint: endpoint that answered.
        :returns: whether the endpoint has sent all of it.
        """
        started_ms = self._clock.now_ms()
        evidence = self._find_evidence(endpoint)
        is_whole = evidence is not EndEvidence.ended
        self._metrics.decisions.inc({'part': 'answer_end', 'reason': evidence})
        if self._limit.admit():
            log_event(
                'dispatch',
                'An answer ended with its connection.',
                call=call_id,
                endpoint=endpoint.name,
                evidence=evidence,
                whole=is_whole,
                leaving=self._is_leaving(endpoint),
                ms=self._clock.now_ms() - started_ms,
                omitted=self._limit.take_omitted(),
            )
        return is_whole

    def _find_evidence(self, endpoint: PoolEndpoint) -> EndEvidence:
        if self._crash_detector.has_crashed(endpoint):
            return EndEvidence.ended
        if self._is_leaving(endpoint):
            return EndEvidence.leaving
        return EndEvidence.running

    def _is_leaving(self, endpoint: PoolEndpoint) -> bool:
        listed = self._knowledge.table.find(endpoint.name)
        is_draining = listed is not None and listed.draining
        return is_draining or endpoint.name in self._knowledge.signals.leaving
