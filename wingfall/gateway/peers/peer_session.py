"""A connection between two gateways, and the state that the peer reported.

Also decides which of two connections with the same peer is kept.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.ranking import compute_rank
from wingfall.wire.gateway_messages import HISTORY_FEATURE, STREAMS_FEATURE

if TYPE_CHECKING:
    from wingfall.gateway.peers.objects.object_transfer import OutgoingTransfer
    from wingfall.wire.connection import Connection
    from wingfall.wire.gateway_messages import GatewayHello


@final
class PeerSession:
    """A connection to another gateway, opened by either side."""

    __slots__ = (
        'address',
        'behind_since_ms',
        'connection',
        'counts_sent_revision',
        'crashes_resent_ms',
        'dialed',
        'holds_lease',
        'last_seen_ms',
        'incarnation',
        'knows_caches',
        'knows_history',
        'knows_streams',
        'leaving',
        'name',
        'outgoing_transfers',
        'reached_zones',
        'signals_resent_ms',
        'watching',
        'zone',
    )

    def __init__(
        self,
        *,
        hello: GatewayHello,
        connection: Connection,
        dialed: bool = False,
    ) -> None:
        """Create a session after the hello of the peer.

        :param hello: first message of the peer.
        :param connection: connection to the peer.
        :param dialed: whether this gateway opened the connection.
        """
        self.name = hello.name
        self.address = hello.address
        self.zone = hello.zone
        self.incarnation = hello.incarnation
        self.dialed = dialed
        self.connection = connection
        self.leaving = False
        self.watching = False
        # Whether the peer knows the cached prompt parts of engines.
        self.knows_caches = False
        # Whether the peer understands messages on the origins of streams.
        self.knows_streams = STREAMS_FEATURE in hello.features
        # Whether the peer understands messages on the history of versions.
        self.knows_history = HISTORY_FEATURE in hello.features
        self.last_seen_ms = 0
        # When crashes that the peer had missed were last resent to it.
        self.crashes_resent_ms: float = float('-inf')
        # When signals of endpoints that it had missed were last resent.
        self.signals_resent_ms: float = float('-inf')
        # Whether the peer reports that it holds the lease of the duties.
        self.holds_lease = False
        # Revision up to which this gateway's counts were sent to the peer.
        self.counts_sent_revision = 0
        # Number of other availability zones that the peer receives data from.
        self.reached_zones = 0
        # Transfers of objects to the peer in progress, by kind.
        self.outgoing_transfers: dict[str, OutgoingTransfer] = {}
        # Since when the peer has had a newer revision, by kind.
        self.behind_since_ms: dict[str, int] = {}

    def replaces(self, existing: PeerSession, own_name: str) -> bool:
        """Check if this session replaces an existing one with the same peer.

        When two gateways connect to each other at the same time, both keep
        the connection that the gateway of lower rank opened.

        :param existing: existing session with the same peer.
        :param own_name: name of this gateway.
        :returns: whether this session replaces the existing one.
        """
        if existing.incarnation != self.incarnation:
            return True
        if existing.dialed is self.dialed:
            return True
        return self.dialed is (compute_rank(own_name) < compute_rank(self.name))
