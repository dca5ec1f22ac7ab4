"""Limits that hold for all gateways together, divided among them.

The retry budget, the requests that are blocked, and the limits of endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.gateway_count import GatewayCount

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.sending_gate import SendingGate
    from wingfall.gateway.peers.peer_session import PeerSession
    from wingfall.gateway.rules.crashes.request_blocks import RequestBlocks
    from wingfall.gateway.rules.retries.retry_budget import RetryBudget


@final
class SharedBounds:
    """Passes the known gateways to the owners of shared limits."""

    __slots__ = ('_blocks', '_budget', '_gate', '_gateway_count')

    def __init__(
        self,
        *,
        budget: RetryBudget,
        blocks: RequestBlocks,
        gate: SendingGate,
        clock: Clock,
    ) -> None:
        """Initialize with the owners of the limits.

        :param budget: the retry budget.
        :param blocks: the requests that gateways must not forward.
        :param gate: divides the limits of endpoints.
        :param clock: source of the current time.
        """
        self._budget = budget
        self._blocks = blocks
        self._gate = gate
        self._gateway_count = GatewayCount(clock=clock)

    def note_sessions(
        self,
        sessions: Mapping[str, PeerSession],
        known: int,
    ) -> None:
        """Update the owners with the gateways that exist.

        :param sessions: the sessions with connected peers by name.
        :param known: number of other known addresses: gateways that can't be
            reached may still send.
        """
        count = max(len(sessions), known) + 1
        self._blocks.set_peers(sessions)
        self._budget.set_gateway_count(
            self._gateway_count.note(connected=len(sessions), known=known)
        )
        self._gate.note_gateways(
            connected=sessions,
            stopping=[each.name for each in sessions.values() if each.leaving],
            gateway_count=count,
        )
