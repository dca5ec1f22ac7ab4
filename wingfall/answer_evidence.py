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

if TYPE_CHECKING:
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


class EndEvidence(enum.StrEnum):
    """What is known of an endpoint whose answer has just ended."""

    accepts = 'accepts_connections'
    keeps = 'keeps_connections'
    ended = 'ended'
    superseded = 'superseded'
    silent = 'silent'
    unknown_time = 'unknown_time'


# Evidence that the endpoint outlives its answer.
PROOFS: Final = (EndEvidence.accepts, EndEvidence.keeps)


def find_evidence(
    clock: Clock,
    probe: Callable[[], ProbeResult],
    has_open: Callable[[], bool],
    has_stood_still: Callable[[int], bool],
) -> EndEvidence:
    """Look for evidence that an endpoint still runs.

    :param clock: clock of this process.
    :param probe: opens a connection to the endpoint and watches it.
    :param has_open: returns whether another connection to it is still open
        that was open when the answer ended.
    :param has_stood_still: returns whether this process stood still within some
        milliseconds before now.
    :returns: the evidence.
    """
    # The answer may have ended long ago, and another endpoint may have the
    # address since.
    if has_stood_still(_MAX_UNREAD_MS):
        return EndEvidence.unknown_time
    probes = (probe() for _number in range(_MAX_PROBES))
    answered = (each for each in probes if each is not ProbeResult.silent)
    probed = next(answered, ProbeResult.silent)
    if probed is ProbeResult.accepted:
        return EndEvidence.accepts
    if probed is ProbeResult.silent:
        return EndEvidence.silent
    # An endpoint may take no new connections and still run: it has too many or
    # finishes its last answers.
    return _await_ends(clock, has_open)


def _await_ends(clock: Clock, has_open: Callable[[], bool]) -> EndEvidence:
    until_ms = clock.now_ms() + _MAX_END_DELAY_MS
    while has_open():
        if clock.now_ms() >= until_ms:
            return EndEvidence.keeps
        gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
    return EndEvidence.ended
