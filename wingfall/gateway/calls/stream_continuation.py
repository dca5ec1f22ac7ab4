"""Continuation of a stream at the engine that has a backup of its run.

Saves a stream that may neither be repeated nor resumed when its engine ends.
Two engines must never work on the same run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wingfall.gateway.calls.destination import (
    Destination,
    added_load,
    describe_endpoint,
)
from wingfall.gateway.calls.open_endpoints import describe_demand
from wingfall.gateway.calls.stream_endpoints import may_serve
from wingfall.gateway.endpoints.endpoint_probe import refuses_connections
from wingfall.gateway.model.attempt_end import AttemptEnd

if TYPE_CHECKING:
    from wingfall.gateway.calls.attempt_outcome import AttemptOutcome
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState


def find_continuation(
    state: GatewayState,
    call: Call,
    reply: Reply,
    destination: Destination,
    outcome: AttemptOutcome,
) -> Destination | None:
    """Find the engine that continues a stream whose engine has ended.

    A running first engine may still work on the run, and then two engines would
    work on it. So the first engine must refuse connections or have restarted
    since. The retry budget is checked last, so that none of it is wasted.

    :param state: state of the gateway.
    :param call: the call.
    :param reply: the answer to the caller so far.
    :param destination: the destination of the attempt that ended.
    :param outcome: the outcome of that attempt.
    :returns: the destination, None if the stream can't be continued.
    """
    if outcome.end is not AttemptEnd.cut or destination.backup is None:
        return None
    if reply.last_event_id is None:
        return None
    if not _has_ended(state, destination.endpoint):
        return None
    continuation = _describe_continuation(state, call, destination.backup)
    pool = destination.endpoint.pool
    if continuation is None or not state.retry_charges.take(call, pool):
        return None
    return continuation


def _has_ended(state: GatewayState, endpoint: PoolEndpoint) -> bool:
    # A restarted engine accepts connections but no longer has the run.
    if state.knowledge.incarnations.is_superseded(endpoint):
        return True
    return refuses_connections(endpoint)


def _describe_continuation(
    state: GatewayState,
    call: Call,
    backup: PoolEndpoint,
) -> Destination | None:
    listed = state.knowledge.table.find(backup.name)
    if listed is None or listed.draining:
        return None
    if not may_serve(state, call, listed):
        return None
    if state.knowledge.health.is_ejected(backup.name):
        return None
    if state.gate.withheld_reason(backup.name) is not None:
        return None
    demand = describe_demand(call)
    candidate = describe_endpoint(state, call, listed)
    # The backup lacks only the most recent output.
    candidate.cached_tokens = demand.tokens
    return Destination(
        endpoint=listed,
        candidate=candidate,
        load=added_load(call.head.prompt, demand, candidate),
        is_continuation=True,
    )
