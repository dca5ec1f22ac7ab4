"""A fake connection to a peer that records the sent messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.wire.gateway_messages import GatewayHello

if TYPE_CHECKING:
    from wingfall.wire.message import Message


@final
class FakeConnection:
    """A connection that records the sent messages."""

    def __init__(self) -> None:
        """Create a connection without sent messages."""
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        """Record a sent message.

        :param message: message to record.
        """
        self.sent.append(message)


def make_peer(
    name: str, zone: str, features: list[str] | None = None
) -> PeerSession:
    """Create a session with a peer over a fake connection.

    :param name: name of the peer.
    :param zone: availability zone of the peer.
    :param features: messages that it understands beyond the first ones.
    :returns: session with the peer.
    """
    hello = GatewayHello(
        name=name, address=name, known=[], zone=zone, features=features
    )
    return PeerSession(hello=hello, connection=FakeConnection())
