"""Log lines and metrics of the origins of streams in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from returns.result import Success

from wingfall.log import log_event
from wingfall.log_limit import LogLimit

if TYPE_CHECKING:
    from returns.result import Result

    from wingfall.clock import Clock
    from wingfall.errors import PlatformError
    from wingfall.metrics import Metrics

# Maximum lines per second of each kind.
_MAX_LINES_PER_S: Final = 1


@final
class HistoryLog:
    """Reports reads and writes of the objects that keep streams."""

    __slots__ = ('_metrics', '_reads', '_removals', '_writes')

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create the log of a gateway that has used no object.

        :param clock: source of the current time.
        :param metrics: counts reads and writes.
        """
        self._metrics = metrics
        self._reads = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)
        self._writes = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)
        self._removals = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)

    def note_read(
        self,
        duration_ms: int,
        stream_count: int,
        answer: Result[Any, PlatformError],
    ) -> None:
        """Report that the objects of all gateways were read.

        :param duration_ms: milliseconds that it took.
        :param stream_count: number of streams in them.
        :param answer: what the store answered.
        """
        self._report(
            self._reads,
            'The streams in the store were read.',
            ok=isinstance(answer, Success),
            ms=duration_ms,
            streams=stream_count,
            error=_describe_failure(answer),
        )

    def note_written(
        self, stream_count: int, answer: Result[Any, PlatformError]
    ) -> None:
        """Report that the object of this gateway was written.

        :param stream_count: number of streams in it.
        :param answer: what the store answered.
        """
        self._report(
            self._writes,
            'The streams of this gateway were written.',
            ok=isinstance(answer, Success),
            streams=stream_count,
            error=_describe_failure(answer),
        )

    def note_removed(self, name: str, *, ok: bool) -> None:
        """Report that the object of a gateway that is gone was removed.

        :param name: name of the gateway.
        :param ok: whether the store took it.
        """
        self._report(
            self._removals,
            'The streams of a gateway that is gone were removed.',
            ok=ok,
            gateway=name,
        )

    def _report(
        self, limit: LogLimit, sentence: str, *, ok: bool, **fields: Any
    ) -> None:
        reason = sentence.rsplit(' ', 1)[-1].rstrip('.')
        self._metrics.decisions.inc(
            {
                'part': 'stream_history',
                'reason': reason if ok else f'{reason}_failed',
            }
        )
        if limit.admit():
            log_event(
                'stream_history',
                sentence,
                ok=ok,
                omitted=limit.take_omitted(),
                **fields,
            )


def _describe_failure(answer: Result[Any, PlatformError]) -> str:
    if isinstance(answer, Success):
        return ''
    error = answer.failure()
    return f'{error.status} {error.message}'
