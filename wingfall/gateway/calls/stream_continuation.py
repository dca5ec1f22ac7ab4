"""Goes on with a stream at the engine that keeps a copy of its run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wingfall.gateway.calls.attempt import AttemptEnd
from wingfall.gateway.calls.chooser import (
    Choice,
    added_load,
    describe,
    describe_demand,
)
from wingfall.gateway.endpoints.endpoint_connection import refuses_connections

if TYPE_CHECKING:
    from wingfall.gateway.calls.attempt import AttemptOutcome
    from wingfall.gateway.calls.reply import Reply
    from wingfall.gateway.model.call import Call
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint
    from wingfall.gateway.state import GatewayState


def find_continuation(
    state: GatewayState,
    call: Call,
    reply: Reply,
    choice: Choice,
    outcome: AttemptOutcome,
) -> Choice | None:
    """Choose the engine that goes on with a stream whose engine has ended.

    While the first engine lives it may still work on the run, and two engines
    would work on it; so it has to refuse connections by now.

    :param state: what the gateway knows.
    :param call: the request.
    :param reply: its answer so far.
    :param choice: where the run was.
    :param outcome: how the attempt there ended.
    :returns: the choice, None if the stream can't go on.
    """
    if outcome.end is not AttemptEnd.cut or choice.backup is None:
        return None
    if reply.last_event_id is None:
        return None
    if not refuses_connections(choice.endpoint):
        return None
    continuation = _choose_holder(state, call, choice.backup)
    if continuation is None or not state.budget.take(choice.endpoint.pool):
        return None
    return continuation


def _choose_holder(
    state: GatewayState,
    call: Call,
    holder: PoolEndpoint,
) -> Choice | None:
    listed = state.endpoints.find(holder.name)
    if listed is None or listed.draining or state.health.is_out(holder.name):
        return None
    demand = describe_demand(call)
    candidate = describe(state, call, listed)
    # All is in the copy but what was made in the last moment.
    candidate.cached_tokens = demand.tokens
    return Choice(
        endpoint=listed,
        candidate=candidate,
        load=added_load(call.head.prompt, demand, candidate),
        continues=True,
    )
