"""Which part of an endpoint's limit a gateway may use: pure rules.

An endpoint in need takes a few requests a second from all gateways together.
Many gateways see the same endpoint free at the same moment: where each sends
one, a limit of one a second is passed by a site of a dozen. Where each has an
equal part, it is next to nothing at many gateways, so that the limit is broken
by everyone's first request or not used. So few gateways use a small limit, the
same few for all who hear each other, and the others send elsewhere.
"""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Collection

# Requests a second below which a part of a limit is not split further: its
# gateway would have a request for the endpoint at hand too rarely to use it.
_LEAST_PART: Final = 0.5
# Bytes of the number by which gateways are ranked for an endpoint.
_RANK_BYTES: Final = 8

RateShare = Callable[['ShareTerms'], float]
rate_shares: Final[Registry[RateShare]] = Registry(kind='rate share')


@final
class ShareTerms:
    """Who may send to an endpoint, and how much it takes of all."""

    __slots__ = ('endpoint', 'gateways', 'known', 'name', 'rate')

    def __init__(
        self,
        *,
        endpoint: str,
        rate: float,
        name: str,
        gateways: Collection[str],
        known: int = 0,
    ) -> None:
        """Describe an endpoint's limit.

        :param endpoint: name of the endpoint.
        :param rate: requests a second that it takes from all gateways.
        :param name: name of this gateway.
        :param gateways: names of the gateways that are heard, this one among
            them.
        :param known: how many gateways there may be, with those not heard.
        """
        self.endpoint = endpoint
        self.rate = rate
        self.name = name
        self.gateways = gateways
        self.known = max(known, len(gateways))


@rate_shares.register('few_gateways')
def share_among_few(terms: ShareTerms) -> float:
    """Have no more gateways use a limit than its parts are worth having.

    :param terms: the endpoint and the gateways.
    :returns: requests a second that this gateway may send.
    """
    parts = int(terms.rate / _LEAST_PART)
    users = max(1, min(terms.known, parts))
    if users < len(terms.gateways):
        ranked = heapq.nsmallest(
            users,
            terms.gateways,
            key=lambda gateway: _rank(terms.endpoint, gateway),
        )
        if terms.name not in ranked:
            return 0
    return terms.rate / users


@rate_shares.register('equal')
def share_equally(terms: ShareTerms) -> float:
    """Give each gateway the same part, as the baseline.

    :param terms: the endpoint and the gateways.
    :returns: requests a second that this gateway may send.
    """
    return terms.rate / terms.known


def _rank(endpoint: str, gateway: str) -> bytes:
    named = f'{endpoint} {gateway}'.encode()
    return hashlib.blake2b(named, digest_size=_RANK_BYTES).digest()
