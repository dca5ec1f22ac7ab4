"""Checks, without a request, whether an endpoint accepts connections."""

from __future__ import annotations

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


def closes_connections(endpoint: PoolEndpoint) -> bool:
    """Check if an endpoint refuses a connection or closes it at once.

    A forwarder in front of an endpoint that has ended accepts connections and
    closes them. An endpoint with too many connections does so too, so this
    indicates a crash only if connections in use broke as well.

    :param endpoint: endpoint to check.
    :returns: False also if no answer arrives.
    """
    address = (endpoint.host, endpoint.port)
    try:
        with socket.create_connection(address, _TIMEOUT_MS / MS_PER_S) as sock:
            return _is_closed(sock)
    except OSError as error:
        return error.errno in _REFUSED


def _is_closed(sock: socket.socket) -> bool:
    # No request was sent, so a running endpoint sends nothing.
    try:
        return not sock.recv(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True
