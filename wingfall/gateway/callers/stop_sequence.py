"""Steps of a planned stop, each of which runs though another has failed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.rules.planned_stop import ANSWER_MS, StopSchedule
from wingfall.guard import run_guarded, run_steps

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.callers.caller_server import CallerServer
    from wingfall.gateway.peers.gateway_peers import GatewayPeers
    from wingfall.http_server import HttpServer

_POLL_INTERVAL_MS: Final = 20


def run_stop_sequence(
    *,
    stop_s: float,
    clock: Clock,
    callers: CallerServer,
    peers: GatewayPeers,
) -> None:
    """Stop taking new calls and wait until the calls in progress end.

    :param stop_s: seconds after which the process must have ended.
    :param clock: clock of this gateway.
    :param callers: the callers' connections.
    :param peers: the connections to peers.
    """
    schedule = StopSchedule(stop_s=stop_s)
    deadline_ms = clock.now_ms() + schedule.end_ms
    answer_ms = deadline_ms + ANSWER_MS
    run_steps(
        'gateway',
        announce_stop=peers.announce_stop,
        begin_stop=lambda: callers.begin_stop(deadline_ms),
        serve=lambda: gevent.sleep(schedule.serve_ms / MS_PER_S),
        stop_accepting=callers.stop_accepting,
        finish_calls=lambda: _close_connections(callers, clock, deadline_ms),
        end_calls=callers.end_calls,
        answer_calls=lambda: _close_connections(callers, clock, answer_ms),
        send_final_counts=peers.send_final_counts,
    )


def close_ports(
    callers: CallerServer, readiness: HttpServer, peers: GatewayPeers
) -> None:
    """Close all ports and connections at once.

    :param callers: the callers' connections.
    :param readiness: the server of the readiness check.
    :param peers: the connections to peers.
    """
    run_steps(
        'gateway',
        callers=callers.stop,
        readiness=readiness.stop,
        peers=peers.stop,
    )


def _close_connections(
    callers: CallerServer, clock: Clock, until_ms: int
) -> None:
    # Calls get their time even if idle connections can't be closed.
    closes = True
    while not callers.is_empty and clock.now_ms() < until_ms:
        closes = closes and run_guarded(
            'gateway',
            'close_idle_connections',
            callers.close_idle_connections,
        )
        gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
