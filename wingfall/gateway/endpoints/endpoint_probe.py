"""Checks, without a request, whether an endpoint accepts connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wingfall.address_probe import ProbeResult, is_refused, probe_address

if TYPE_CHECKING:
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint


def probe_endpoint(endpoint: PoolEndpoint) -> ProbeResult:
    """Open a connection to an endpoint and watch it for a moment.

    :param endpoint: endpoint to check.
    :returns: whether the connection was established and stayed open.
    """
    return probe_address(endpoint.host, endpoint.port)


def refuses_connections(endpoint: PoolEndpoint) -> bool:
    """Check if nothing listens at the address of an endpoint.

    :param endpoint: endpoint to check.
    :returns: True after a refusal; False also if no answer arrives.
    """
    return is_refused(endpoint.host, endpoint.port)
