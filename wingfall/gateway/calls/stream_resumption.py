"""Origin of a stream that a caller takes up at this gateway.

The caller names the request whose answer began the stream. Its origin is known
here, to a few peers or from the platform's store, or follows from the store's
history of versions. Otherwise the caller is refused: a guess could join what
two versions wrote.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from returns.result import Failure, Result, Success

from wingfall.gateway.calls.only_version import (
    OnlyVersion,
    find_only_version,
    has_one_version,
)
from wingfall.gateway.knowledge.stream_origins import (
    StreamRecord,
    make_stream_key,
    stream_life_ms,
)
from wingfall.gateway.rules.admission.refusals import (
    refuse_moved_stream,
    refuse_unknown_stream,
)

if TYPE_CHECKING:
    from wingfall.errors import Refusal
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.stream_origin import StreamOrigin
    from wingfall.gateway.state import GatewayState

# Maximum milliseconds to wait for peers: long enough for those that a gateway
# connects to after its start, short beside the gap that callers bear.
_MAX_ASK_MS: Final = 500
# The same before the history is read, where the pool seems to have one version.
_MAX_ASK_WITH_ONE_VERSION_MS: Final = 100
# Maximum milliseconds to wait for the store.
_MAX_READ_MS: Final = 500
# Maximum fraction of the caller's remaining time for each of these waits.
_MAX_WAIT_FRACTION: Final = 0.25


def find_origin(
    state: GatewayState, call: Call
) -> Result[StreamOrigin | None, Refusal]:
    """Find where the stream that a call takes up began.

    :param state: state of the gateway.
    :param call: the call, which was not sent to any endpoint yet.
    :returns: the origin, None for a new stream; or the refusal if it is unknown
        or the call's route no longer leads to its pool.
    """
    if not call.route.streaming or call.head.last_event_id is None:
        return Success(None)
    search = _OriginSearch(state=state, call=call)
    search.run()
    return search.conclude()


def note_stream_begun(state: GatewayState, call: Call) -> None:
    """Record the origin of a stream that may be taken up, and report it.

    :param state: state of the gateway.
    :param call: the call, whose first event was received.
    """
    if call.origin is None or not call.route.resumable or not call.call_id:
        return
    origin = call.origin
    if not state.knowledge.versions.is_named(origin.pool, origin.version):
        state.stream_log.note_unnamed(call, origin)
    began_ms = state.clock.now_ms()
    record = StreamRecord(
        origin=origin,
        began_ms=began_ms,
        expires_ms=began_ms + _life_ms(call),
    )
    key = make_stream_key(call.customer_name, call.call_id)
    state.knowledge.streams.note(key, record)
    sources = state.stream_sources
    if sources.store is not None:
        sources.store.note_begun(key, record)
    if sources.peers is not None:
        sources.peers.report(key, record)


def note_stream_ended(state: GatewayState, call: Call) -> None:
    """Record that a stream was sent to its end.

    :param state: state of the gateway.
    :param call: the call that an endpoint has answered.
    """
    store = state.stream_sources.store
    if call.origin is None or store is None:
        return
    began_by = call.head.resumed_call_id or call.call_id
    store.note_ended(make_stream_key(call.customer_name, began_by))


@final
class _OriginSearch:
    """The search for the origin of one stream."""

    __slots__ = (
        '_call',
        '_is_settled',
        '_key',
        '_only',
        '_peers_until_ms',
        '_state',
    )

    def __init__(self, *, state: GatewayState, call: Call) -> None:
        """Begin a search.

        :param state: state of the gateway.
        :param call: the call that takes the stream up.
        """
        self._state = state
        self._call = call
        resumed = call.head.resumed_call_id
        self._key = resumed and make_stream_key(call.customer_name, resumed)
        self._peers_until_ms = state.clock.now_ms() + self._wait_ms(_MAX_ASK_MS)
        # Whether peers can tell nothing more.
        self._is_settled = False
        # What the history of versions tells, None before it was read.
        self._only: OnlyVersion | None = None

    def run(self) -> None:
        """Ask the sources in turn until one knows the origin."""
        steps = self._ask_peers, self._ask_store, self._read_history
        if has_one_version(self._state, self._call, _life_ms(self._call)):
            # Where this holds at the store too, peers that are away need not be
            # waited for.
            steps = (
                self._ask_peers_briefly,
                self._read_history,
                self._ask_store,
                self._ask_peers,
            )
        for step in steps:
            if self._find_record() is not None or self._only_origin is not None:
                return
            step()

    def conclude(self) -> Result[StreamOrigin | None, Refusal]:
        """Return what was found, and log it.

        :returns: the origin; or the refusal if it is unknown or the call's
            route no longer leads to its pool.
        """
        record, only_origin = self._find_record(), self._only_origin
        log, call = self._state.stream_log, self._call
        if record is not None:
            return self._check_pool(record)
        if only_origin is None:
            log.note_refused(
                call, 'version_unknown', **self._describe_history()
            )
            return Failure(refuse_unknown_stream(self._left_ms))
        log.note_found(call, only_origin, None, **self._describe_history())
        return Success(only_origin)

    @property
    def _only_origin(self) -> StreamOrigin | None:
        return None if self._only is None else self._only.origin

    @property
    def _left_ms(self) -> int:
        return self._call.deadline_ms - self._state.clock.now_ms()

    def _find_record(self) -> StreamRecord | None:
        if self._key is None:
            return None
        return self._state.knowledge.streams.find(self._key)

    def _ask_peers_briefly(self) -> None:
        self._ask_within(self._wait_ms(_MAX_ASK_WITH_ONE_VERSION_MS))

    def _ask_peers(self) -> None:
        self._ask_within(self._peers_until_ms - self._state.clock.now_ms())

    def _ask_within(self, timeout_ms: int) -> None:
        peers = self._state.stream_sources.peers
        if self._key is None or peers is None or self._is_settled:
            return
        self._is_settled = peers.ask(self._key, timeout_ms)

    def _ask_store(self) -> None:
        store = self._state.stream_sources.store
        if self._key is not None and store is not None:
            store.ask(self._key, self._wait_ms(_MAX_READ_MS))

    def _read_history(self) -> None:
        self._only = find_only_version(
            self._state,
            self._call,
            _life_ms(self._call),
            self._wait_ms(_MAX_READ_MS),
        )

    def _describe_history(self) -> dict[str, Any]:
        if self._only is None:
            return {}
        fields = self._only.describe(self._state.clock.now_ms())
        return {**fields, 'history': self._only.reason}

    def _check_pool(
        self, record: StreamRecord
    ) -> Result[StreamOrigin | None, Refusal]:
        origin = record.origin
        if origin.pool not in {each.pool for each in self._call.route.pools}:
            self._state.stream_log.note_refused(self._call, 'pool_changed')
            return Failure(refuse_moved_stream(self._left_ms))
        self._state.stream_log.note_found(self._call, origin, record)
        return Success(origin)

    def _wait_ms(self, longest_ms: int) -> int:
        return int(min(longest_ms, self._left_ms * _MAX_WAIT_FRACTION))


def _life_ms(call: Call) -> int:
    return stream_life_ms(
        max(call.route.timeout_ms, call.head.time_left_ms or 0)
    )
