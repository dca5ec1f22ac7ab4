"""Keeps a connection whose endpoint reads nothing while its VM answers.

An endpoint that is busy closes the window of its connection, and its VM answers
the probes of the kernel. A VM that is gone answers none. The kernel's limit of
unconfirmed bytes ends the connection in both cases, so it is replaced by this
watch while the window is closed.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, Final, final

from wingfall.tcp import limit_unconfirmed, read_peer_state

if TYPE_CHECKING:
    import socket

# Checks in a row with an unanswered probe that show a VM as silent. With an
# interval of 250 ms they take a little longer than the kernel's limit.
_MAX_UNANSWERED_CHECKS: Final = 7


@final
class WindowWatch:
    """Watches one connection while a request is written."""

    __slots__ = ('_interval_ms', '_is_watching', '_socket', '_unanswered')

    def __init__(self, *, sock: socket.socket, interval_ms: int) -> None:
        """Leave the connection to the kernel's limit.

        :param sock: socket of the connection.
        :param interval_ms: milliseconds between two checks without progress.
        """
        self._socket = sock
        self._interval_ms = interval_ms
        # Whether the kernel's limit is removed.
        self._is_watching = False
        # Checks in a row with an unanswered probe.
        self._unanswered = 0

    def note_progress(self) -> None:
        """Note that the endpoint's VM has confirmed more bytes."""
        self._set_watching(is_watching=False)

    def check(self) -> None:
        """Check a connection on which no more bytes were confirmed.

        :raises TimeoutError: if the VM of the endpoint answers no probe.
        """
        state = read_peer_state(self._socket)
        # Bytes in flight are not held back by the window.
        self._set_watching(is_watching=not state.in_flight)
        if (
            state.unanswered_probes
            and not state.in_flight
            and state.last_ack_ms >= self._interval_ms
        ):
            self._unanswered += 1
        else:
            self._unanswered = 0
        if self._unanswered >= _MAX_UNANSWERED_CHECKS:
            raise TimeoutError(
                errno.ETIMEDOUT, 'the probes of a closed window get no answer'
            )

    def _set_watching(self, *, is_watching: bool) -> None:
        if is_watching is not self._is_watching:
            self._is_watching = is_watching
            limit_unconfirmed(self._socket, is_limited=not is_watching)
