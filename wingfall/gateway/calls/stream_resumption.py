"""Origin of a stream that a caller takes up at this gateway.

The caller names the request whose answer began the stream. Its origin is known
here, or to a few peers, or follows from the store's history of versions.
Otherwise the caller is refused: a guess could join what two versions wrote.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from wingfall.gateway.calls.only_version import (
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
    from wingfall.gateway.knowledge.stream_origins import StreamKey
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.stream_origin import StreamOrigin
    from wingfall.gateway.state import GatewayState

# Maximum milliseconds to wait for peers: long enough for those that a gateway
# connects to after its start, short beside the gap that callers bear.
_MAX_ASK_MS: Final = 500
# The same before the history is read, where the pool seems to have one version.
_MAX_ASK_WITH_ONE_VERSION_MS: Final = 100
# Maximum milliseconds to wait for the history.
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
    key = _make_key(call)
    until_ms = state.clock.now_ms() + _wait_ms(state, call, _MAX_ASK_MS)
    is_settled = _ask_peers(state, call, key, until_ms)
    record = _find_record(state, key)
    if record is not None:
        return _check_pool(state, call, record)
    only = find_only_version(
        state, call, _life_ms(call), _wait_ms(state, call, _MAX_READ_MS)
    )
    if only.origin is not None:
        state.stream_log.note_found(
            call, only.origin, None, **only.describe(state.clock.now_ms())
        )
        return Success(only.origin)
    if not is_settled:
        _ask(state, key, until_ms)
        record = _find_record(state, key)
    if record is not None:
        return _check_pool(state, call, record)
    state.stream_log.note_refused(
        call,
        'version_unknown',
        history=only.reason,
        **only.describe(state.clock.now_ms()),
    )
    return Failure(refuse_unknown_stream(_left_ms(state, call)))


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
    if state.stream_peers is not None:
        state.stream_peers.report(key, record)


def _check_pool(
    state: GatewayState, call: Call, record: StreamRecord
) -> Result[StreamOrigin | None, Refusal]:
    origin = record.origin
    if origin.pool not in {each.pool for each in call.route.pools}:
        state.stream_log.note_refused(call, 'pool_changed')
        return Failure(refuse_moved_stream(_left_ms(state, call)))
    state.stream_log.note_found(call, origin, record)
    return Success(origin)


def _make_key(call: Call) -> StreamKey | None:
    resumed_call_id = call.head.resumed_call_id
    if resumed_call_id is None:
        return None
    return make_stream_key(call.customer_name, resumed_call_id)


def _find_record(
    state: GatewayState, key: StreamKey | None
) -> StreamRecord | None:
    return None if key is None else state.knowledge.streams.find(key)


def _ask_peers(
    state: GatewayState, call: Call, key: StreamKey | None, until_ms: int
) -> bool:
    if _find_record(state, key) is not None:
        return True
    if has_one_version(state, call, _life_ms(call)):
        # Where this holds at the store too, peers that are away need not be
        # waited for.
        short_ms = _wait_ms(state, call, _MAX_ASK_WITH_ONE_VERSION_MS)
        until_ms = min(until_ms, state.clock.now_ms() + short_ms)
    return _ask(state, key, until_ms)


def _ask(state: GatewayState, key: StreamKey | None, until_ms: int) -> bool:
    if key is None or state.stream_peers is None:
        return True
    return state.stream_peers.ask(key, until_ms - state.clock.now_ms())


def _wait_ms(state: GatewayState, call: Call, longest_ms: int) -> int:
    return int(min(longest_ms, _left_ms(state, call) * _MAX_WAIT_FRACTION))


def _life_ms(call: Call) -> int:
    return stream_life_ms(
        max(call.route.timeout_ms, call.head.time_left_ms or 0)
    )


def _left_ms(state: GatewayState, call: Call) -> int:
    return call.deadline_ms - state.clock.now_ms()
