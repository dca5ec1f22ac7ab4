"""Goes on with a stream at the engine that keeps a copy of its run.

A stream that may neither be repeated nor resumed is saved so if its engine
ends. Two engines must never work on the same run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wingfall.gateway.calls.destination import (
    Destination,
    added_load,
    describe_endpoint,
)
from wingfall.gateway.calls.open_endpoints import describe_demand
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
    """Choose the engine that goes on with a stream whose engine has ended.

    While the first engine lives it may still work on the run, and two engines
    would work on it; so it has to refuse connections by now, or must have
    started again since. The retry budget is asked last, so that nothing of it
    is taken in vain.

    :param state: what the gateway knows.
    :param call: the call.
    :param reply: its answer so far.
    :param destination: where the run was.
    :param outcome: how the attempt there ended.
    :returns: the destination, None if the stream can't go on.
    """
    if outcome.end is not AttemptEnd.cut or destination.backup is None:
        return None
    if reply.last_event_id is None:
        return None
    if not _has_ended(state, destination.endpoint):
        return None
    continuation = _describe_continuation(state, call, destination.backup)
    pool = destination.endpoint.pool
    if continuation is None or not state.budget.take(pool):
        return None
    return continuation


def _has_ended(state: GatewayState, endpoint: PoolEndpoint) -> bool:
    # One that has started again listens there, and knows nothing of the run.
    if state.knowledge.lives.has_ended(endpoint):
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
    if state.knowledge.health.is_out(backup.name):
        return None
    if state.gate.why_held(backup.name) is not None:
        return None
    demand = describe_demand(call)
    candidate = describe_endpoint(state, call, listed)
    # All is in the copy but what was made in the last moment.
    candidate.cached_tokens = demand.tokens
    return Destination(
        endpoint=listed,
        candidate=candidate,
        load=added_load(call.head.prompt, demand, candidate),
        continues=True,
    )
