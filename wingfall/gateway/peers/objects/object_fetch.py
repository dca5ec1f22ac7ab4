"""A fetch of objects that is under way at one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.peers.objects.object_transfer import (
    CHUNK_BYTES,
    IncomingTransfer,
)
from wingfall.wire.transfer_messages import ObjectsFetch

if TYPE_CHECKING:
    from wingfall.gateway.peers.peer_session import PeerSession


@final
class ObjectFetch:
    """A fetch that is under way."""

    __slots__ = (
        'asked_ms',
        'revision',
        'session',
        'transfer',
        'until_ms',
        'wait_ms',
    )

    def __init__(
        self,
        *,
        session: PeerSession,
        revision: int,
        asked_ms: int,
        wait_ms: int,
    ) -> None:
        """Begin a fetch; nothing is asked yet.

        :param session: the peer that is asked.
        :param revision: up to where this gateway is complete.
        :param asked_ms: the time, by the clock.
        :param wait_ms: milliseconds for a chunk.
        """
        self.session = session
        self.revision = revision
        self.asked_ms = asked_ms
        self.wait_ms = wait_ms
        self.until_ms = asked_ms + wait_ms
        self.transfer = IncomingTransfer()

    def ask(self, kind: str) -> None:
        """Ask the peer for the next chunk.

        :param kind: kind of object.
        """
        fetch = ObjectsFetch(
            kind=kind,
            revision=self.revision,
            offset=self.transfer.offset,
            most=CHUNK_BYTES,
        )
        self.session.connection.send(fetch)
