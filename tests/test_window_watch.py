"""Tests of the watch over a connection whose endpoint reads nothing."""

from __future__ import annotations

import socket

import pytest

from wingfall.gateway.endpoints import window_watch
from wingfall.gateway.endpoints.window_watch import WindowWatch
from wingfall.tcp import PeerState, silence_options

INTERVAL_MS = 250
# Milliseconds in which a silent VM is to be noticed.
NOTICED_MS = 2000


class _Watched:
    """A watched socket with a state of its peer that the test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.sock = socket.socket()
        for option in silence_options(2):
            self.sock.setsockopt(*option)
        self.in_flight = 0
        self.last_ack_ms = 0
        self.unanswered_probes = 0
        self.watch = WindowWatch(sock=self.sock, interval_ms=INTERVAL_MS)
        monkeypatch.setattr(window_watch, 'read_peer_state', self._read)

    @property
    def kernel_limit_ms(self) -> int:
        """The kernel's limit of unconfirmed bytes, 0 for none."""
        return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    def _read(self, _sock: socket.socket) -> PeerState:
        return PeerState(
            in_flight=self.in_flight,
            last_ack_ms=self.last_ack_ms,
            unanswered_probes=self.unanswered_probes,
        )


@pytest.fixture
def watched(monkeypatch: pytest.MonkeyPatch) -> _Watched:
    """Create a watch over a socket."""
    return _Watched(monkeypatch)


def test_kernel_limit_does_not_apply_to_a_closed_window(watched: _Watched):
    limit_ms = watched.kernel_limit_ms
    assert limit_ms
    watched.watch.check()
    assert watched.kernel_limit_ms == 0
    watched.watch.note_progress()
    assert watched.kernel_limit_ms == limit_ms


def test_kernel_limit_applies_to_bytes_in_flight(watched: _Watched):
    limit_ms = watched.kernel_limit_ms
    watched.watch.check()
    watched.in_flight = 3
    watched.watch.check()
    assert watched.kernel_limit_ms == limit_ms


def test_silent_vm_is_noticed_within_two_seconds(watched: _Watched):
    watched.unanswered_probes = 1
    with pytest.raises(TimeoutError):
        for number in range(NOTICED_MS // INTERVAL_MS):
            watched.last_ack_ms = INTERVAL_MS * (number + 1)
            watched.watch.check()


def test_vm_that_answers_its_probes_is_kept(watched: _Watched):
    # Probes come at ever longer intervals, so the last answer may be old.
    for number in range(100):
        watched.last_ack_ms = INTERVAL_MS * (number % 12)
        watched.unanswered_probes = int(number % 12 == 11)
        watched.watch.check()


def test_lost_probe_does_not_end_the_connection(watched: _Watched):
    watched.unanswered_probes = 1
    for _round in range(5):
        watched.last_ack_ms = INTERVAL_MS
        for _check in range(5):
            watched.watch.check()
        watched.last_ack_ms = 0
        watched.watch.check()
