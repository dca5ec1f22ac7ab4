"""Mutual proof of the shared secret when a connection starts.

The accepting side sends a challenge, the connecting side answers with an HMAC
and a challenge of its own. The secret never crosses the wire, and a replayed
answer doesn't fit a fresh nonce.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING, Final, TypeVar, final

from wingfall.errors import WireError
from wingfall.wire.handshake_messages import PROTOCOL, Challenge, Hello, Welcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wingfall.wire.connection import Connection
    from wingfall.wire.message import Message

HANDSHAKE_MS: Final = 3000
_NONCE_BYTES: Final = 16
_MessageType = TypeVar('_MessageType')


@final
class Identity:
    """Who this process is and the secret that proves it."""

    __slots__ = ('incarnation', 'name', 'secret')

    def __init__(self, *, name: str, secret: bytes) -> None:
        """Set the identity.

        :param name: name of the process in its settings.
        :param secret: secret shared by all processes.
        """
        self.name = name
        self.secret = secret
        self.incarnation = secrets.token_hex(8)

    def prove(self, side: bytes, name: str, nonce: bytes) -> bytes:
        """Compute the proof for a challenge.

        :param side: which side proves, so that no proof can be reflected.
        :param name: name of the proving side.
        :param nonce: the challenge.
        :returns: the HMAC.
        """
        body = b'\0'.join((side, name.encode(), nonce))
        return hmac.digest(self.secret, body, hashlib.sha256)


def accept_peer(identity: Identity, connection: Connection) -> Hello:
    """Run the accepting side up to the peer's proof.

    :param identity: who this process is.
    :param connection: the fresh connection.
    :returns: the proved hello; answer it by :func:`welcome_peer`.
    :raises WireError: if the peer has no proof.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    connection.set_timeout(HANDSHAKE_MS)
    connection.send(
        Challenge(protocol=PROTOCOL, name=identity.name, nonce=nonce),
    )
    hello = _expect(connection.receive(), Hello)
    if hello.protocol != PROTOCOL:
        raise WireError(f'protocol {hello.protocol}, not {PROTOCOL}')
    proof = identity.prove(b'connect', hello.name, nonce)
    if not hmac.compare_digest(proof, hello.proof):
        raise WireError(f'{hello.name} does not know the secret')
    connection.allow_large()
    return hello


def welcome_peer(
    identity: Identity,
    connection: Connection,
    hello: Hello,
) -> None:
    """Finish the accepting side.

    :param identity: who this process is.
    :param connection: the connection.
    :param hello: what the peer said.
    """
    connection.send(
        Welcome(
            name=identity.name,
            incarnation=identity.incarnation,
            proof=identity.prove(b'accept', identity.name, hello.nonce),
        ),
    )


def greet_peer(
    identity: Identity,
    connection: Connection,
    config_version: int,
) -> Welcome:
    """Run the connecting side.

    :param identity: who this process is.
    :param connection: the fresh connection.
    :param config_version: configuration in force here.
    :returns: the proved welcome.
    :raises WireError: if the peer has no proof.
    """
    connection.set_timeout(HANDSHAKE_MS)
    challenge = _expect(connection.receive(), Challenge)
    nonce = secrets.token_bytes(_NONCE_BYTES)
    connection.send(
        Hello(
            protocol=PROTOCOL,
            name=identity.name,
            incarnation=identity.incarnation,
            nonce=nonce,
            proof=identity.prove(b'connect', identity.name, challenge.nonce),
            config_version=config_version,
        ),
    )
    welcome = _expect(connection.receive(), Welcome)
    proof = identity.prove(b'accept', welcome.name, nonce)
    if not hmac.compare_digest(proof, welcome.proof):
        raise WireError(f'{welcome.name} does not know the secret')
    connection.allow_large()
    return welcome


def _expect(
    messages: Iterator[Message],
    kind: type[_MessageType],
) -> _MessageType:
    for message in messages:
        if isinstance(message, kind):
            return message
        raise WireError(f'expected {kind.__name__}')
    raise WireError('closed during the handshake')
