"""Digests by which gateways compare the crashes that they know."""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.model.endpoint_crash import EndpointCrash
    from wingfall.gateway.model.fingerprint import Fingerprint

# Bytes of a digest.
_DIGEST_BYTES: Final = 8


@final
class CrashDigests:
    """The digest of the suspect requests of each crash."""

    __slots__ = ('_digests',)

    def __init__(self) -> None:
        """Initialize without a crash."""
        self._digests: dict[str, int] = collections.defaultdict(int)

    def add(self, endpoint: str, suspect: Fingerprint) -> None:
        """Add a request to the digest of a crash.

        :param endpoint: the endpoint that crashed.
        :param suspect: fingerprint of the request.
        """
        digest = hashlib.blake2b(
            endpoint.encode() + suspect,
            digest_size=_DIGEST_BYTES,
        )
        self._digests[endpoint] ^= int.from_bytes(digest.digest(), 'big')

    def drop(self, endpoint: str) -> None:
        """Remove the digest of a crash.

        :param endpoint: the endpoint that crashed.
        """
        self._digests.pop(endpoint, None)

    def combine(self, crashes: Iterable[EndpointCrash]) -> int:
        """Combine the digests of some crashes.

        :param crashes: the crashes.
        :returns: a number equal for gateways that know the same suspects.
        """
        combined = 0
        for crash in crashes:
            combined ^= self._digests[crash.endpoint]
        return combined
