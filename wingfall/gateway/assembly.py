"""Makes the shared state of a gateway from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from wingfall.clock import MS_PER_S
from wingfall.gateway.endpoints.endpoint_connection import KeptConnections
from wingfall.gateway.endpoints.endpoint_table import EndpointTable
from wingfall.gateway.endpoints.load import LoadTable
from wingfall.gateway.model.binding import bindings
from wingfall.gateway.rules.cache_transfer import cache_transfers
from wingfall.gateway.rules.early_refusal import admissions
from wingfall.gateway.rules.endpoint_health import EndpointHealth
from wingfall.gateway.rules.placement import placements
from wingfall.gateway.rules.resend_budget import ResendBudget
from wingfall.gateway.rules.shared_read import shared_reads
from wingfall.gateway.rules.stream_backup import stream_backups
from wingfall.gateway.state import GatewayState
from wingfall.platform import binding as fjordgrid

if TYPE_CHECKING:
    from types import SimpleNamespace

    from returns.result import Result

    from wingfall.clock import Clock
    from wingfall.metrics import Metrics

# A binding is known once its module is imported.
PLATFORMS: Final = (fjordgrid,)


def check_policy(settings: SimpleNamespace) -> Result[Any, str]:
    """Check the names that the settings choose by.

    :param settings: settings that met their schema.
    :returns: what was found, or a sentence with the names there are.
    """
    policy = settings.policy
    return (
        bindings.find(settings.binding)
        .bind(lambda _found: placements.find(policy.placement))
        .bind(lambda _found: admissions.find(policy.admission))
        .bind(lambda _found: cache_transfers.find(policy.cache_transfer))
        .bind(lambda _found: shared_reads.find(policy.shared_read))
        .bind(lambda _found: stream_backups.find(policy.stream_backup))
    )


def make_state(
    settings: SimpleNamespace,
    clock: Clock,
    metrics: Metrics,
) -> GatewayState:
    """Make the state; there is no configuration yet.

    :param settings: the checked settings.
    :param clock: the time.
    :param metrics: counters.
    :returns: the state.
    """
    binding = bindings.find(settings.binding).unwrap()
    return GatewayState(
        zone=settings.zone,
        clock=clock,
        metrics=metrics,
        binding=binding(settings=settings.store, metrics=metrics),
        placement=placements.find(settings.policy.placement).unwrap(),
        admission=admissions.find(settings.policy.admission).unwrap(),
        cache_transfer=cache_transfers.find(
            settings.policy.cache_transfer,
        ).unwrap(),
        shared_read=shared_reads.find(settings.policy.shared_read).unwrap(),
        stream_backup=stream_backups.find(
            settings.policy.stream_backup,
        ).unwrap(),
        budget=ResendBudget(
            clock=clock,
            ratio=settings.resend.ratio,
            slack=settings.resend.slack,
            window_ms=int(settings.resend.window_s * MS_PER_S),
        ),
        health=EndpointHealth(clock=clock),
        endpoints=EndpointTable(clock=clock),
        load=LoadTable(),
        connections=KeptConnections(clock=clock),
    )
