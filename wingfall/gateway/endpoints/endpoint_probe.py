"""Asks an endpoint's address, without a request, whether anything listens."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING, Final

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from wingfall.gateway.model.pool_endpoint import PoolEndpoint

# Milliseconds for a refusal, which comes within a way there and back; a stream
# waits for it.
_PROBE_MS: Final = 50
# Errors that prove that nothing listens there.
_REFUSED: Final = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)


def refuses_connections(endpoint: PoolEndpoint) -> bool:
    """Tell whether nothing listens at an endpoint's address any more.

    :param endpoint: the endpoint.
    :returns: False also if nothing is known since no answer came.
    """
    address = (endpoint.host, endpoint.port)
    try:
        socket.create_connection(address, _PROBE_MS / MS_PER_S).close()
    except OSError as error:
        return error.errno in _REFUSED
    return False


def closes_connections(endpoint: PoolEndpoint) -> bool:
    """Tell whether an endpoint takes no connection, or closes it at once.

    A forwarder before an endpoint that has ended takes connections and closes
    them. An endpoint with too many connections does so too, so that this is a
    sign only where connections in use broke as well.

    :param endpoint: the endpoint.
    :returns: False also if nothing is known since no answer came.
    """
    address = (endpoint.host, endpoint.port)
    try:
        with socket.create_connection(address, _PROBE_MS / MS_PER_S) as sock:
            return _is_closed(sock)
    except OSError as error:
        return error.errno in _REFUSED


def _is_closed(sock: socket.socket) -> bool:
    # Nothing was asked, so that an endpoint that is there says nothing.
    try:
        return not sock.recv(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True
