"""Checks, without a request, whether an address accepts connections."""

from __future__ import annotations

import enum
import errno
import socket
from typing import Final

# A refusal arrives within a network round trip; a stream waits for it.
_TIMEOUT_S: Final = 0.05
# Errors that prove that nothing listens at the address.
_REFUSED: Final = (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH)


class ProbeResult(enum.StrEnum):
    """What became of a connection without a request."""

    accepted = 'accepts_connections'
    closed = 'closes_connections'
    refused = 'refuses_connections'
    silent = 'silent'


def probe_address(host: str, port: int) -> ProbeResult:
    """Open a connection and watch it for a moment.

    A forwarder in front of an endpoint that has ended accepts connections and
    closes them. An endpoint with too many connections does so too.

    :param host: host of the address.
    :param port: port of the address.
    :returns: whether the connection was established and stayed open.
    """
    try:
        with socket.create_connection((host, port), _TIMEOUT_S) as sock:
            return _watch(sock)
    except ConnectionResetError:
        return ProbeResult.closed
    except OSError as error:
        if error.errno in _REFUSED:
            return ProbeResult.refused
        return ProbeResult.silent


def is_refused(host: str, port: int) -> bool:
    """Check if nothing listens at an address.

    :param host: host of the address.
    :param port: port of the address.
    :returns: True after a refusal; False also if no answer arrives.
    """
    try:
        socket.create_connection((host, port), _TIMEOUT_S).close()
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
