"""Numbers by which gateways compare what they know of crashes."""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.gateway.model.endpoint_crash import EndpointCrash
    from wingfall.gateway.model.fingerprint import Fingerprint

# Bytes of such a number.
_SUM_BYTES: Final = 8


@final
class CrashSums:
    """What each crash adds to the number that gateways compare."""

    __slots__ = ('_sums',)

    def __init__(self) -> None:
        """Start without a crash."""
        self._sums: dict[str, int] = collections.defaultdict(int)

    def add(self, endpoint: str, suspect: Fingerprint) -> None:
        """Add a request that was at a crash.

        :param endpoint: the endpoint that crashed.
        :param suspect: the request.
        """
        digest = hashlib.blake2b(
            endpoint.encode() + suspect,
            digest_size=_SUM_BYTES,
        )
        self._sums[endpoint] ^= int.from_bytes(digest.digest(), 'big')

    def drop(self, endpoint: str) -> None:
        """Forget a crash.

        :param endpoint: the endpoint that crashed.
        """
        self._sums.pop(endpoint, None)

    def combine(self, crashes: Iterable[EndpointCrash]) -> int:
        """Give the number of some crashes.

        :param crashes: the crashes.
        :returns: the same for all gateways that know the same of them.
        """
        combined = 0
        for crash in crashes:
            combined ^= self._sums[crash.endpoint]
        return combined
