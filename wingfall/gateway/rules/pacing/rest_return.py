"""Gradual ramp-up of calls to an endpoint after a rest that it asked for.

Without it, all waiting calls of all gateways with the same rest would arrive at
the moment at which the rest ends, and the endpoint would reject them again.
"""

from __future__ import annotations

import hashlib
from typing import Final, final

from wingfall.clock import MS_PER_S
from wingfall.gateway.rules.pacing.pace import TokenBucket

# Milliseconds after the end of a rest over which the gateways' first requests
# are spread.
_MAX_JITTER_MS: Final = 250
# Requests per second that a gateway sends during the ramp-up, and the duration
# of the ramp-up in milliseconds.
RAMP_UP_RATE: Final = 5
_RAMP_UP_MS: Final = 1000
# Size of the hash from which a gateway's jitter is computed.
_HASH_BYTES: Final = 4


def compute_jitter(gateway: str, endpoint: str) -> float:
    """Return a gateway's jitter for an endpoint.

    :param gateway: name of the gateway.
    :param endpoint: name of the endpoint.
    :returns: fraction from 0 to 1, always the same for the same two names.
    """
    key = f'{endpoint} {gateway}'.encode()
    digest = hashlib.blake2b(key, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest) / 2 ** (8 * _HASH_BYTES)


@final
class RampUp:
    """The ramp-up of requests to one endpoint after one rest."""

    __slots__ = ('_bucket', 'start_ms', 'until_ms')

    def __init__(self, *, until_ms: int, jitter: float) -> None:
        """Create the ramp-up for one rest.

        :param until_ms: time at which the rest ends, in milliseconds.
        :param jitter: this gateway's jitter, from 0 to 1.
        """
        self.until_ms = until_ms
        # Time at which the first request may be sent.
        self.start_ms = until_ms + int(jitter * _MAX_JITTER_MS)
        refill_start_ms = self.start_ms - MS_PER_S // RAMP_UP_RATE
        self._bucket = TokenBucket(rate=RAMP_UP_RATE, now_ms=refill_start_ms)

    def is_complete(self, now_ms: int) -> bool:
        """Check if the ramp-up has ended.

        :param now_ms: current time in milliseconds.
        :returns: whether requests may be sent without a limit again.
        """
        return now_ms >= self.start_ms + _RAMP_UP_MS

    def ready_in_ms(self, now_ms: int) -> float:
        """Return the time until the next request may be sent.

        :param now_ms: current time in milliseconds.
        :returns: milliseconds from now.
        """
        if now_ms < self.start_ms:
            return self.start_ms - now_ms
        return self._bucket.ready_in_ms(now_ms)

    def take(self, now_ms: int) -> None:
        """Record a request that is about to be sent.

        :param now_ms: current time in milliseconds.
        """
        self._bucket.take(now_ms)
