"""One connection between two gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from wingfall.wire.connection import Connection
    from wingfall.wire.gateway_messages import GatewayHello


@final
class PeerSession:
    """One connection to another gateway, whoever opened it."""

    __slots__ = (
        'address',
        'behind_since_ms',
        'connection',
        'heard_ms',
        'informed',
        'leaving',
        'name',
        'reach',
        'watching',
        'zone',
    )

    def __init__(self, *, hello: GatewayHello, connection: Connection) -> None:
        """Take over a connection after the first message.

        :param hello: the first message.
        :param connection: the connection.
        """
        self.name = hello.name
        self.address = hello.address
        self.zone = hello.zone
        self.connection = connection
        self.leaving = False
        self.watching = False
        # Whether the peer knows what engines keep.
        self.informed = False
        self.heard_ms = 0
        # How many other zones the peer hears.
        self.reach = 0
        # Since when this gateway has been behind the peer, by kind.
        self.behind_since_ms: dict[str, int] = {}
