"""Log lines and metrics of streams that continue at a second endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.gateway.rules.streams.event_order import DISORDERS
from wingfall.log import log_event
from wingfall.log_limit import LogLimit

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.stream_origins import StreamRecord
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.model.stream_origin import StreamOrigin
    from wingfall.gateway.rules.streams.event_order import EventOrder
    from wingfall.metrics import Metrics

# Maximum lines per second of each kind. The end of a busy engine interrupts
# some hundred streams at once.
_MAX_LINES_PER_S: Final = 50


@final
class StreamLog:
    """Reports where streams continue, and why others can't."""

    __slots__ = ('_clock', '_continued', '_metrics', '_refused', '_unnamed')

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create the log of a gateway that has continued no stream.

        :param clock: source of the current time.
        :param metrics: counts the decisions.
        """
        self._clock = clock
        self._metrics = metrics
        self._continued = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)
        self._refused = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)
        self._unnamed = LogLimit(clock=clock, per_second=_MAX_LINES_PER_S)

    def note_found(
        self,
        call: Call,
        origin: StreamOrigin,
        record: StreamRecord | None,
        **fields: Any,
    ) -> None:
        """Report that the origin of a stream that is taken up was found.

        :param call: the call that takes it up.
        :param origin: the origin.
        :param record: its record, None if it follows from the pool's only
            version.
        :param fields: what decided it, without a record.
        """
        known_from, age_ms = 'only version', None
        if record is not None:
            known_from = record.reported_by or 'this gateway'
            age_ms = self._clock.now_ms() - record.began_ms
        self._log(
            self._continued,
            'The origin of a stream is known.',
            call,
            pool=origin.pool,
            version=origin.version,
            known_from=known_from,
            age_ms=age_ms,
            **fields,
        )

    def note_sent(
        self, call: Call, endpoint: PoolEndpoint, engine_count: int
    ) -> None:
        """Report that a stream continues at an endpoint.

        :param call: the call.
        :param endpoint: the endpoint.
        :param engine_count: number of endpoints at which it may continue.
        """
        self._count('continued')
        self._log(
            self._continued,
            'A stream continues.',
            call,
            pool=endpoint.pool,
            version=call.origin.version if call.origin else None,
            endpoint=endpoint.name,
            engines=engine_count,
        )

    def note_unnamed(self, call: Call, origin: StreamOrigin) -> None:
        """Report that a stream began at a version that no other one may know.

        :param call: the call.
        :param origin: where the stream began.
        """
        self._count('unnamed_version')
        self._log(
            self._unnamed,
            'A stream began at a version that the history does not name.',
            call,
            pool=origin.pool,
            version=origin.version,
            endpoint=origin.endpoint,
        )

    def note_order(
        self,
        call: Call,
        endpoint: PoolEndpoint,
        after_event_id: str | None,
        order: EventOrder,
    ) -> None:
        """Report how the events of an endpoint follow those before them.

        :param call: the call.
        :param endpoint: the endpoint.
        :param after_event_id: id of the event after which it was to continue
            the stream, None if it was to begin one.
        :param order: the order of the stream's events.
        """
        if order.verdict is None:
            return
        self._metrics.decisions.inc(
            {'part': 'event_order', 'reason': order.verdict}
        )
        is_broken = order.verdict in DISORDERS
        self._log(
            self._refused if is_broken else self._continued,
            'An endpoint continued a stream.',
            call,
            endpoint=endpoint.name,
            after_event=after_event_id,
            event=order.event_id,
            verdict=order.verdict,
        )

    def note_refused(self, call: Call, reason: str, **fields: Any) -> None:
        """Report that a stream can't continue.

        :param call: the call.
        :param reason: ``version_unknown``, ``pool_changed`` or ``no_endpoint``.
        :param fields: what decided it.
        """
        self._count(reason)
        origin = call.origin
        self._log(
            self._refused,
            "A stream can't continue.",
            call,
            reason=reason,
            pool=origin.pool if origin else None,
            version=origin.version if origin else None,
            **fields,
        )

    def _count(self, reason: str) -> None:
        self._metrics.decisions.inc({'part': 'streams', 'reason': reason})

    def _log(
        self, limit: LogLimit, sentence: str, call: Call, **fields: Any
    ) -> None:
        if not limit.admit():
            return
        log_event(
            'streams',
            sentence,
            call=call.call_id,
            resumes=call.head.resumed_call_id,
            omitted=limit.take_omitted(),
            **fields,
        )
