"""How calls come back to an endpoint after the rest that it asked for.

All that waited would come at the moment at which the rest ends, of all calls
and all gateways that were told the same, and the endpoint would turn them away
again.
"""

from __future__ import annotations

import hashlib
from typing import Final, final

from wingfall.clock import MS_PER_S
from wingfall.gateway.rules.pacing.pace import Pace

# Milliseconds after the end of a rest over which gateways return, each at a
# moment of its own.
_SPREAD_MS: Final = 250
# Requests a second that a gateway sends at first, and for how many
# milliseconds.
RETURN_RATE: Final = 5
_RETURN_MS: Final = 1000
# Bytes of the number that a gateway's moment is drawn by.
_DRAW_BYTES: Final = 4


def draw_part(gateway: str, endpoint: str) -> float:
    """Draw a gateway's place among all that return to an endpoint.

    :param gateway: its name.
    :param endpoint: name of the endpoint.
    :returns: from 0 to 1, always the same for these two.
    """
    named = f'{endpoint} {gateway}'.encode()
    digest = hashlib.blake2b(named, digest_size=_DRAW_BYTES).digest()
    return int.from_bytes(digest) / 2 ** (8 * _DRAW_BYTES)


@final
class RestReturn:
    """The way back to one endpoint after one rest."""

    __slots__ = ('_pace', 'open_ms', 'until_ms')

    def __init__(self, *, until_ms: int, part: float) -> None:
        """Plan the way back.

        :param until_ms: when the rest ends.
        :param part: this gateway's place among all that return.
        """
        self.until_ms = until_ms
        # When the first request may be sent.
        self.open_ms = until_ms + int(part * _SPREAD_MS)
        first_ms = self.open_ms - MS_PER_S // RETURN_RATE
        self._pace = Pace(rate=RETURN_RATE, now_ms=first_ms)

    def is_over(self, now_ms: int) -> bool:
        """Tell whether all may be sent again.

        :param now_ms: the time.
        :returns: whether the endpoint is fully back.
        """
        return now_ms >= self.open_ms + _RETURN_MS

    def ready_in_ms(self, now_ms: int) -> float:
        """Tell when the next request may be sent.

        :param now_ms: the time.
        :returns: milliseconds from now.
        """
        if now_ms < self.open_ms:
            return self.open_ms - now_ms
        return self._pace.ready_in_ms(now_ms)

    def take(self, now_ms: int) -> None:
        """Count a request that is about to be sent.

        :param now_ms: the time.
        """
        self._pace.take(now_ms)
