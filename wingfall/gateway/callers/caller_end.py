"""The end of a caller's connection whose request was not read whole.

Closing a socket with unread bytes resets the connection, and the caller may
lose the answer. So the sending side is ended, and what still comes is
discarded for a while.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

from wingfall.clock import MS_PER_S

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Maximum time in which the caller reads the answer and closes.
_TIMEOUT_MS: Final = 2000
# Maximum bytes that are discarded.
_MAX_BYTES: Final = 8_388_608
_READ_BYTES: Final = 65_536
# What is discarded is written here, for all connections.
_SCRATCH: Final = bytearray(_READ_BYTES)


def close_unread(sock: socket.socket, clock: Clock) -> None:
    """Close a connection after an answer to a request that is partly unread.

    :param sock: a connected socket to which the answer was sent.
    :param clock: clock of this gateway.
    """
    try:
        sock.shutdown(socket.SHUT_WR)
        _discard(sock, clock)
    except OSError:  # The caller has closed, or neither closes nor sends.
        return
    finally:
        sock.close()


def _discard(sock: socket.socket, clock: Clock) -> None:
    until_ms = clock.now_ms() + _TIMEOUT_MS
    remaining = _MAX_BYTES
    while remaining > 0:
        timeout_ms = max(0, until_ms - clock.now_ms())
        sock.settimeout(timeout_ms / MS_PER_S)
        received = sock.recv_into(_SCRATCH)
        if not received:
            return
        remaining -= received
