"""The messages that start a connection and prove both of its sides."""

from __future__ import annotations

from typing import Final, final

from wingfall.wire.message import Message, message

PROTOCOL: Final = 1


@final
@message(1, int, str, bytes)
class Challenge(Message):
    """First message of the accepting side: prove that you know the secret."""

    __slots__ = ('protocol', 'name', 'nonce')  # noqa: WPS607

    def __init__(self, *, protocol: int, name: str, nonce: bytes) -> None:
        """Ask for a proof.

        :param protocol: version of the protocol.
        :param name: name of the sender.
        :param nonce: fresh random bytes.
        """
        self.protocol = protocol
        self.name = name
        self.nonce = nonce


@final
@message(2, int, str, str, bytes, bytes, int)
class Hello(Message):
    """Answer of the connecting side, with a challenge of its own."""

    __slots__ = (
        'protocol',
        'name',
        'incarnation',
        'nonce',
        'proof',
        'config_version',
    )

    def __init__(
        self,
        *,
        protocol: int,
        name: str,
        incarnation: str,
        nonce: bytes,
        proof: bytes,
        config_version: int,
    ) -> None:
        """Introduce the sender.

        :param protocol: version of the protocol.
        :param name: name of the sender.
        :param incarnation: changes with each start of the sender.
        :param nonce: fresh random bytes.
        :param proof: HMAC over the challenge.
        :param config_version: configuration in force at the sender.
        """
        self.protocol = protocol
        self.name = name
        self.incarnation = incarnation
        self.nonce = nonce
        self.proof = proof
        self.config_version = config_version


@final
@message(3, str, str, bytes)
class Welcome(Message):
    """Last message of the handshake."""

    __slots__ = ('name', 'incarnation', 'proof')  # noqa: WPS607

    def __init__(self, *, name: str, incarnation: str, proof: bytes) -> None:
        """Accept the peer.

        :param name: name of the sender.
        :param incarnation: changes with each start of the sender.
        :param proof: HMAC over the challenge in hello.
        """
        self.name = name
        self.incarnation = incarnation
        self.proof = proof
