"""Assembles what reads and keeps objects of wingfall's own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Callable

from wingfall.gateway.configuration.crash_history import CrashHistory
from wingfall.gateway.configuration.endpoint_changes import EndpointChanges
from wingfall.gateway.configuration.version_reader import VersionReader

if TYPE_CHECKING:
    from wingfall.gateway.configuration.replica import ObjectReplica
    from wingfall.gateway.state import GatewayState


def make_crash_history(
    state: GatewayState,
    *,
    may_write: Callable[[], bool],
    get_rank: Callable[[], int],
) -> CrashHistory:
    """Make the history of crashes of a gateway.

    :param state: state of the gateway.
    :param may_write: returns whether this gateway is among those that keep the
        object.
    :param get_rank: returns the number of gateways that precede this one.
    :returns: a history that was not read.
    """
    return CrashHistory(
        store=state.binding.crashes_store(),
        clock=state.clock,
        metrics=state.metrics,
        ledger=state.knowledge.crashes,
        blocks=state.blocks,
        may_write=may_write,
        get_rank=get_rank,
    )


def make_version_reader(
    state: GatewayState,
    endpoints: ObjectReplica,
    reads_per_s: float,
    get_gateway_count: Callable[[], int],
) -> VersionReader:
    """Make the reader of a gateway.

    :param state: state of the gateway.
    :param endpoints: the endpoints as known to the gateway.
    :param reads_per_s: reads a second that the store takes of all gateways.
    :param get_gateway_count: returns the number of gateways.
    :returns: a reader that has read nothing.
    """
    versions = state.knowledge.versions
    changes = EndpointChanges(
        store=state.binding.endpoints_store(),
        binding=state.binding,
        versions=versions,
        replica=endpoints,
    )
    return VersionReader(
        store=state.binding.versions_store(),
        clock=state.clock,
        versions=versions,
        note_changes=changes.note,
        reads_per_s=reads_per_s,
        get_gateway_count=get_gateway_count,
    )
