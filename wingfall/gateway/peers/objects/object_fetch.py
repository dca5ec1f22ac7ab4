"""A pending fetch of objects from one peer."""

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
    """Pending fetch of one kind of object from a peer."""

    __slots__ = (
        'started_ms',
        'revision',
        'session',
        'transfer',
        'deadline_ms',
        'chunk_timeout_ms',
    )

    def __init__(
        self,
        *,
        session: PeerSession,
        revision: int,
        started_ms: int,
        chunk_timeout_ms: int,
    ) -> None:
        """Create a fetch without sending a request.

        :param session: session with the peer.
        :param revision: revision up to which this gateway has all objects.
        :param started_ms: start of the fetch, in milliseconds of the clock.
        :param chunk_timeout_ms: timeout of a chunk in milliseconds.
        """
        self.session = session
        self.revision = revision
        self.started_ms = started_ms
        self.chunk_timeout_ms = chunk_timeout_ms
        self.deadline_ms = started_ms + chunk_timeout_ms
        self.transfer = IncomingTransfer()

    def request_chunk(self, kind: str) -> None:
        """Request the next chunk from the peer.

        :param kind: kind of object.
        """
        fetch = ObjectsFetch(
            kind=kind,
            revision=self.revision,
            offset=self.transfer.offset,
            most=CHUNK_BYTES,
        )
        self.session.connection.send(fetch)
