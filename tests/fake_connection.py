"""A connection to a peer that keeps what is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.peer_session import PeerSession
from wingfall.wire.gateway_messages import GatewayHello

if TYPE_CHECKING:
    from wingfall.wire.message import Message


@final
class FakeConnection:
    """Keeps what is sent."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        """Keep a message.

        :param message: the message.
        """
        self.sent.append(message)


def make_peer(name: str, zone: str) -> PeerSession:
    """Make a session with a peer that only listens.

    :param name: name of the peer.
    :param zone: its availability zone.
    :returns: the session.
    """
    hello = GatewayHello(name=name, address=name, known=[], zone=zone)
    return PeerSession(hello=hello, connection=FakeConnection())
