"""Evidence that an endpoint outlives an answer without a length or chunks.

Such an answer ends with its connection. The system of an endpoint that is
killed closes its connections in the same way, so the answer is complete only if
its endpoint outlives it.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Callable, Final

import gevent

from wingfall.address_probe import ProbeResult
from wingfall.clock import MS_PER_S
from wingfall.tcp import SocketState

if TYPE_CHECKING:
    from collections.abc import Collection

    from wingfall.clock import Clock

# Probes of an endpoint that gives no answer; a packet of one may be lost.
_MAX_PROBES: Final = 3
# Milliseconds after which the end of a connection has arrived even if its
# packet was lost twice: the kernel sends it again after 200 ms and a round
# trip, and once more after twice that time.
_MAX_END_DELAY_MS: Final = 700
# Milliseconds within which the ends of connections are read that arrived while
# the process stood still.
_MAX_UNREAD_MS: Final = 1000
# Interval of the checks for connections that are still open.
_POLL_INTERVAL_MS: Final = 20
# Further checks after that delay, 0.2 s, while others hold bytes that are not
# read. A number, since no bytes are read while the process stands still.
_MAX_LATE_LOOKS: Final = 10


class EndEvidence(enum.StrEnum):
    """What is known of an endpoint whose answer has just ended."""

    accepts = 'accepts_connections'
    keeps = 'keeps_connections'
    ended = 'ended'
    unread = 'unread'
    superseded = 'superseded'
    silent = 'silent'
    unknown_time = 'unknown_time'


# Evidence that the endpoint outlives its answer.
PROOFS: Final = (EndEvidence.accepts, EndEvidence.keeps)


def find_evidence(
    clock: Clock,
    probe: Callable[[], ProbeResult],
    list_states: Callable[[], Collection[SocketState]],
    has_stood_still: Callable[[int], bool],
) -> EndEvidence:
    """Look for evidence that an endpoint still runs.

    :param clock: clock of this process.
    :param probe: opens a connection to the endpoint and watches it.
    :param list_states: returns the states of the other connections to it that
        had not ended when the answer ended.
    :param has_stood_still: returns whether this process stood still within some
        milliseconds before now.
    :returns: the evidence.
    """
    # The answer may have ended long ago, and another endpoint may have the
    # address since.
    if has_stood_still(_MAX_UNREAD_MS):
        return EndEvidence.unknown_time
    evidence = _probe_and_await(clock, probe, list_states)
    # The same holds if the process stood still meanwhile.
    if evidence in PROOFS and has_stood_still(_MAX_UNREAD_MS):
        return EndEvidence.unknown_time
    return evidence


def _probe_and_await(
    clock: Clock,
    probe: Callable[[], ProbeResult],
    list_states: Callable[[], Collection[SocketState]],
) -> EndEvidence:
    probes = (probe() for _number in range(_MAX_PROBES))
    answered = (each for each in probes if each is not ProbeResult.silent)
    probed = next(answered, ProbeResult.silent)
    if probed is ProbeResult.accepted:
        return EndEvidence.accepts
    if probed is ProbeResult.silent:
        return EndEvidence.silent
    # An endpoint may take no new connections and still run: it has too many or
    # finishes its last answers.
    return _await_ends(clock, list_states)


def _await_ends(
    clock: Clock, list_states: Callable[[], Collection[SocketState]]
) -> EndEvidence:
    until_ms = clock.now_ms() + _MAX_END_DELAY_MS
    late_looks = 0
    while late_looks <= _MAX_LATE_LOOKS:
        is_late = clock.now_ms() >= until_ms
        states = set(list_states())
        if states <= {SocketState.ended}:
            return EndEvidence.ended
        # An end can be hidden behind unread bytes.
        if is_late and SocketState.open in states:
            return EndEvidence.keeps
        late_looks += is_late
        gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
    return EndEvidence.unread
