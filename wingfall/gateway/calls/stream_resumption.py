"""Origin of a stream that a caller takes up at this gateway.

The caller names the request whose answer began the stream. Its origin is known
here, to a few peers or from the platform's store, or follows from a pool that
had one version for longer than a stream lives. Otherwise the caller is refused:
a guess could join what two versions wrote.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from returns.result import Failure, Result, Success

from wingfall.clock import MS_PER_S
from wingfall.gateway.knowledge.stream_origins import (
    StreamRecord,
    make_stream_key,
    stream_life_ms,
)
from wingfall.gateway.model.stream_origin import StreamOrigin
from wingfall.gateway.rules.admission.refusals import (
    refuse_moved_stream,
    refuse_unknown_stream,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.errors import Refusal
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.state import GatewayState

# Maximum milliseconds to wait for peers: long enough for those that a gateway
# connects to after its start, short beside the gap that callers bear.
_MAX_ASK_MS: Final = 500
# The same where the origin follows from the pool's only version.
_MAX_ASK_WITH_ONLY_VERSION_MS: Final = 100
# Interval of the checks whether the history was read.
_POLL_INTERVAL_MS: Final = 10
# Maximum fraction of the caller's remaining time.
_MAX_ASK_FRACTION: Final = 0.25


def find_origin(
    state: GatewayState, call: Call
) -> Result[StreamOrigin | None, Refusal]:
    """Find where the stream that a call takes up began.

    :param state: state of the gateway.
    :param call: the call, which was not sent to any endpoint yet.
    :returns: the origin, None for a new stream; or the refusal if it is unknown
        or the call's route no longer leads to its pool.
    """
    head = call.head
    if not call.route.streaming or head.last_event_id is None:
        return Success(None)
    pools = [each.pool for each in call.route.pools]
    record = _find_record(state, call, pools)
    only = None if record else _await_only_version(state, call, pools)
    if record is None and only is None:
        state.stream_log.note_refused(call, 'version_unknown')
        return Failure(refuse_unknown_stream(_left_ms(state, call)))
    origin = only if record is None else record.origin
    if origin is None or origin.pool not in pools:
        state.stream_log.note_refused(call, 'pool_changed')
        return Failure(refuse_moved_stream(_left_ms(state, call)))
    state.stream_log.note_found(call, origin, record)
    return Success(origin)


def note_stream_begun(state: GatewayState, call: Call) -> None:
    """Record the origin of a stream that may be taken up, and report it.

    :param state: state of the gateway.
    :param call: the call, whose first event was received.
    """
    if call.origin is None or not call.route.resumable or not call.call_id:
        return
    began_ms = state.clock.now_ms()
    record = StreamRecord(
        origin=call.origin,
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


def _find_record(
    state: GatewayState, call: Call, pools: Sequence[str]
) -> StreamRecord | None:
    if call.head.resumed_call_id is None:
        return None
    key = make_stream_key(call.customer_name, call.head.resumed_call_id)
    known, sources = state.knowledge.streams, state.stream_sources
    if known.find(key) is not None:
        return known.find(key)
    only = _find_only_version(state, call, pools)
    until_ms = state.clock.now_ms() + _ask_ms(state, call, only)
    if sources.peers is not None:
        sources.peers.ask(key, until_ms - state.clock.now_ms())
    if known.find(key) is None and only is None and sources.store is not None:
        sources.store.ask(key, max(0, until_ms - state.clock.now_ms()))
    return known.find(key)


def _await_only_version(
    state: GatewayState, call: Call, pools: Sequence[str]
) -> StreamOrigin | None:
    # A gateway that starts has not read the history yet.
    until_ms = state.clock.now_ms() + _ask_ms(state, call, None)
    only = _find_only_version(state, call, pools)
    while only is None and state.knowledge.versions.is_loading:
        if state.clock.now_ms() >= until_ms:
            break
        gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        only = _find_only_version(state, call, pools)
    return only


def _find_only_version(
    state: GatewayState, call: Call, pools: Sequence[str]
) -> StreamOrigin | None:
    # The stream may have begun at any pool of the route.
    if len(pools) != 1:
        return None
    pool = pools[0]
    versions = {each.version for each in state.knowledge.table.usable(pool)}
    if len(versions) != 1:
        return None
    version = versions.pop()
    if not state.knowledge.versions.has_only(pool, version, _life_ms(call)):
        return None
    return StreamOrigin(pool=pool, version=version, is_only_version=True)


def _ask_ms(state: GatewayState, call: Call, only: StreamOrigin | None) -> int:
    longest_ms = _MAX_ASK_WITH_ONLY_VERSION_MS if only else _MAX_ASK_MS
    return int(min(longest_ms, _left_ms(state, call) * _MAX_ASK_FRACTION))


def _life_ms(call: Call) -> int:
    return stream_life_ms(
        max(call.route.timeout_ms, call.head.time_left_ms or 0)
    )


def _left_ms(state: GatewayState, call: Call) -> int:
    return call.deadline_ms - state.clock.now_ms()
