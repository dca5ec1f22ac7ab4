"""Bound of all answers together, and record of those that were given up.

An endpoint may send bytes until its connection is closed. Each part of an
answer has a bound where it is read; here such ends are counted and logged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.endpoints.answer_buffer import AnswerMemory
from wingfall.log import log_event
from wingfall.log_limit import LogLimit

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.endpoint_connection import (
        EndlessAnswerError,
    )
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.metrics import Metrics

# Maximum lines per second: twice the requests of a gateway.
_MAX_LINES_PER_S: Final = 50


@final
class EndlessAnswers:
    """Counts and logs the answers that were given up."""

    __slots__ = ('_limit', '_metrics', 'memory')

    def __init__(
        self, *, clock: Clock, metrics: Metrics, memory: AnswerMemory
    ) -> None:
        """Create a record without answers.

        :param clock: clock of this gateway.
        :param metrics: counts the answers.
        :param memory: memory that all answers share.
        """
        self.memory = memory
        self._metrics = metrics
        self._limit = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)

    def note(
        self,
        call_id: str,
        endpoint: PoolEndpoint,
        error: EndlessAnswerError,
    ) -> None:
        """Record an answer that was given up.

        :param call_id: id of the request.
        :param endpoint: endpoint that answered.
        :param error: the bound that the answer exceeded.
        """
        self._metrics.decisions.inc(
            {'part': 'endless_answer', 'reason': error.part},
        )
        if self._limit.admit():
            log_event(
                'dispatch',
                'An answer exceeded a bound and was given up.',
                call=call_id,
                endpoint=endpoint.name,
                what=error.part,
                bytes=error.received_bytes,
                omitted=self._limit.take_omitted(),
            )
