"""The state of a gateway as JSON for ``wingfall status``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wingfall.gateway.knowledge.start_figures import list_start_errors

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wingfall.gateway.state import GatewayState


def show_status(
    *,
    name: str,
    state: GatewayState,
    peers: Sequence[str],
    calls: int,
    duties: dict[str, Any] | None,
) -> dict[str, Any]:
    """Return the state of a gateway.

    :param name: name of the gateway.
    :param state: state that its calls share.
    :param peers: names of the connected peers.
    :param calls: number of calls in progress.
    :param duties: state of the duties, None without duties.
    :returns: the state as JSON.
    """
    routes, signals = state.routes, state.knowledge.signals
    return {
        'name': name,
        'config': routes.version if routes else None,
        'endpoints': sorted(state.knowledge.table.names),
        'peers': list(peers),
        'calls': calls,
        'blocked_requests': state.blocks.count,
        'blocked_prompt_parts': state.blocks.part_count,
        'limited_endpoints': state.gate.status(),
        'leaving_endpoints': sorted(signals.leaving),
        'resting_endpoints': signals.rests.resting_names,
        'engine_rates': _list_prefill_rates(state),
        'start_errors': list_start_errors(state.knowledge.start_estimates),
        'engine_groups': state.reserved_engines.status(),
        'duties': duties,
    }


def _list_prefill_rates(state: GatewayState) -> dict[str, float]:
    # Prefill rates in tokens per millisecond, for pools that prefill prompts.
    pools = state.routes.pools if state.routes else {}
    look = state.knowledge.speeds.rates.look
    return {
        each.name: round(look(each.name, name).tokens_per_ms, 1)
        for name, pool in sorted(pools.items())
        if pool.memory_tokens
        for each in state.knowledge.table.usable(name)
    }
