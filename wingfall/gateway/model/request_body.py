"""The body of a caller's request, and its digest.

A body is digested while it is read, so that a long one does not hold up other
requests and is not held twice for it.
"""

from __future__ import annotations

import hashlib
from typing import Final, final

# Bytes of a digest. Two bodies with one digest take some 2^64 trials.
DIGEST_BYTES: Final = 16


@final
class RequestBody:
    """A whole body and its digest."""

    __slots__ = ('digest', 'whole')

    def __init__(self, *, whole: bytes, digest: bytes) -> None:
        """Keep a body.

        :param whole: its bytes.
        :param digest: their digest.
        """
        self.whole = whole
        self.digest = digest


@final
class BodyReader:
    """Collects the pieces of a body and digests each as it comes."""

    __slots__ = ('_hash', '_pieces', 'size')

    def __init__(self) -> None:
        """Start with an empty body."""
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self._pieces: list[bytes] = []
        # Bytes that have come.
        self.size = 0

    def add(self, piece: bytes) -> None:
        """Add a piece.

        :param piece: the bytes that follow.
        """
        self._hash.update(piece)
        self._pieces.append(piece)
        self.size += len(piece)

    def finish(self) -> RequestBody:
        """Join the pieces.

        :returns: the whole body.
        """
        return RequestBody(
            whole=b''.join(self._pieces),
            digest=self._hash.digest(),
        )
