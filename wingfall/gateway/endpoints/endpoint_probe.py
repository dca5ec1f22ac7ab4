"""Checks, without a request, whether an endpoint accepts connections."""

from __future__ import annotations

import enum
import errno
import socket
from typing import TYPE_CHECKING, Final

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# A refusal arrives within a network round trip; a stream waits for it.
_TIMEOUT_MS: Final = 50
# Errors that prove that nothing listens at the address.
_REFUSED: Final = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)


class ProbeResult(enum.StrEnum):
    """What became of a connection without a request."""

    accepted = 'accepts_connections'
    closed = 'closes_connections'
    refused = 'refuses_connections'
    silent = 'silent'


def probe_endpoint(endpoint: PoolEndpoint) -> ProbeResult:
    """Open a connection to an endpoint and watch it for a moment.

    A forwarder in front of an endpoint that has ended accepts connections and
    closes them. An endpoint with too many connections does so too.

    :param endpoint: endpoint to check.
    :returns: whether the connection was established and stayed open.
    """
    address = (endpoint.host, endpoint.port)
    try:
        with socket.create_connection(address, _TIMEOUT_MS / MS_PER_S) as sock:
            return _watch(sock)
    except ConnectionResetError:
        return ProbeResult.closed
    except OSError as error:
        if error.errno in _REFUSED:
            return ProbeResult.refused
        return ProbeResult.silent


def refuses_connections(endpoint: PoolEndpoint) -> bool:
    """Check if nothing listens at the address of an endpoint.

    :param endpoint: endpoint to check.
    :returns: True after a refusal; False also if no answer arrives.
    """
    address = (endpoint.host, endpoint.port)
    try:
        socket.create_connection(address, _TIMEOUT_MS / MS_PER_S).close()
    except OSError as error:
        return error.errno in _REFUSED
    return False


def _watch(sock: socket.socket) -> ProbeResult:
    # No request was sent, so a running endpoint sends nothing.
    try:
        is_open = bool(sock.recv(1))
    except TimeoutError:
        return ProbeResult.accepted
    except ConnectionError:
        return ProbeResult.closed
    return ProbeResult.accepted if is_open else ProbeResult.closed
