"""Endpoints that may serve a call, by the origin of its stream.

Every choice of an endpoint for a call reads the table through this module, and
each attempt is checked again when it is sent: a stream that has begun continues
only at the software version that began it. A stream that may be resumed begins
at a version that the history in the store names, as long as there is one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from wingfall.gateway.model.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState

# Maximum milliseconds to wait for an endpoint of a stream's version. Callers
# leave a stream that pauses for two seconds.
_MAX_VERSION_WAIT_MS: Final = 1500
# Milliseconds after which a version that is no longer listed is not expected
# again. Entries of crashed endpoints stay listed until a replacement is up.
_MAX_UNLISTED_MS: Final = 5000


def list_usable(
    state: GatewayState, call: Call, pool: str
) -> list[PoolEndpoint]:
    """List the endpoints of a pool that take new work and may serve a call.

    :param state: state of the gateway.
    :param call: the call.
    :param pool: name of the pool.
    :returns: the endpoints; after the first event of a stream only those at
        which it may continue.
    """
    usable = state.knowledge.table.usable(pool)
    if call.origin is not None:
        return list(filter(call.origin.allows, usable))
    if call.route.streaming and call.route.resumable:
        return state.knowledge.versions.prefer_named(pool, usable)
    return usable


def may_serve(state: GatewayState, call: Call, endpoint: PoolEndpoint) -> bool:
    """Check if an endpoint may serve a call at this moment.

    :param state: state of the gateway.
    :param call: the call.
    :param endpoint: the endpoint as it was when it was chosen.
    :returns: whether the stream of the call, if it has begun, may continue at
        the incarnation that is listed now under the endpoint's id.
    """
    if call.origin is None:
        return not (call.route.streaming and call.head.last_event_id)
    listed = state.knowledge.table.find_instance(endpoint.instance)
    return call.origin.allows(listed or endpoint)


def version_wait_until_ms(state: GatewayState, call: Call) -> int:
    """Return until when a stream waits for an endpoint of its version.

    :param state: state of the gateway.
    :param call: the call.
    :returns: time in milliseconds; now, if nothing is to be waited for.
    """
    now_ms, origin = state.clock.now_ms(), call.origin
    if origin is None:
        return now_ms
    unlisted_ms = state.knowledge.versions.unlisted_ms(
        origin.pool, origin.version
    )
    if unlisted_ms is None or unlisted_ms > _MAX_UNLISTED_MS:
        return now_ms
    left_ms = call.deadline_ms - now_ms
    return now_ms + min(_MAX_VERSION_WAIT_MS, left_ms // 2)


def note_first_event(
    state: GatewayState, call: Call, endpoint: PoolEndpoint
) -> None:
    """Record the origin of a stream at its first event.

    :param state: state of the gateway.
    :param call: the call.
    :param endpoint: the endpoint that sent the event.
    """
    # A later incarnation under the same id may have sent the event.
    listed = state.knowledge.table.find_instance(endpoint.instance) or endpoint
    is_certain = listed.version == endpoint.version
    call.origin = StreamOrigin(
        pool=endpoint.pool,
        version=endpoint.version if is_certain else None,
        endpoint=endpoint.name,
    )
