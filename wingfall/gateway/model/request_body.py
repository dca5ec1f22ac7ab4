"""Body of a caller's request, and its digest.

The digest is computed while the body is read, so that a long body does not
delay other requests and is not stored twice.
"""

from __future__ import annotations

import hashlib
import io
from typing import Final, final

# Length in bytes; a digest collision takes about 2^64 trials.
DIGEST_BYTES: Final = 16


@final
class RequestBody:
    """Complete body and its digest."""

    __slots__ = ('digest', 'payload')

    def __init__(self, *, payload: bytes, digest: bytes) -> None:
        """Create a body.

        :param payload: bytes of the body.
        :param digest: digest of the body.
        """
        self.payload = payload
        self.digest = digest


@final
class BodyReader:
    """Accumulator of the chunks of a body and of its digest."""

    __slots__ = ('_hash', '_payload')

    def __init__(self) -> None:
        """Create an empty body."""
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        # Unlike a bytearray, it gives its bytes away without a copy.
        self._payload = io.BytesIO()

    @property
    def size(self) -> int:
        """Bytes received."""
        return self._payload.tell()

    def add(self, chunk: bytes | bytearray) -> None:
        """Append a chunk.

        :param chunk: the next bytes of the body.
        """
        self._hash.update(chunk)
        self._payload.write(chunk)

    def finish(self) -> RequestBody:
        """Return the body.

        :returns: the complete body.
        """
        return RequestBody(
            payload=self._payload.getvalue(),
            digest=self._hash.digest(),
        )
