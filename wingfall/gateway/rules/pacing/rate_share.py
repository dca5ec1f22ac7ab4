"""Rules that divide an endpoint's rate limit between gateways.

An overloaded endpoint accepts a few requests per second from all gateways
together. Many gateways see the same endpoint free at the same moment: if each
sends one request, a dozen gateways exceed a limit of one per second. An equal
share is close to zero at many gateways, so that the first request of each
exceeds the limit, or the limit stays unused. So only a few gateways use a small
limit, the same few for all connected gateways; the others send elsewhere.
"""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING, Callable, Final, final

from wingfall.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Collection

# Smallest share in requests per second: with a smaller one, a gateway would
# rarely have a request for the endpoint at the right time to use the share.
_MIN_SHARE: Final = 0.5
# Size of the hash by which gateways are selected for an endpoint.
_RANK_BYTES: Final = 8

RateShare = Callable[['ShareTerms'], float]
rate_shares: Final[Registry[RateShare]] = Registry(kind='rate share')


@final
class ShareTerms:
    """An endpoint's rate limit and the gateways that share it."""

    __slots__ = ('endpoint', 'gateways', 'gateway_count', 'name', 'rate')

    def __init__(
        self,
        *,
        endpoint: str,
        rate: float,
        name: str,
        gateways: Collection[str],
        gateway_count: int = 0,
    ) -> None:
        """Create the terms for one endpoint.

        :param endpoint: name of the endpoint.
        :param rate: limit in requests per second for all gateways together.
        :param name: name of this gateway.
        :param gateways: names of the connected gateways and of this one.
        :param gateway_count: highest possible number of gateways, including the
            unreachable ones.
        """
        self.endpoint = endpoint
        self.rate = rate
        self.name = name
        self.gateways = gateways
        self.gateway_count = max(gateway_count, len(gateways))


@rate_shares.register('few_gateways')
def share_among_few(terms: ShareTerms) -> float:
    """Divide a limit between as many gateways as the smallest share allows.

    :param terms: the endpoint's limit and the gateways.
    :returns: this gateway's share in requests per second.
    """
    max_users = int(terms.rate / _MIN_SHARE)
    users = max(1, min(terms.gateway_count, max_users))
    if users < len(terms.gateways):
        selected = heapq.nsmallest(
            users,
            terms.gateways,
            key=lambda gateway: _rank(terms.endpoint, gateway),
        )
        if terms.name not in selected:
            return 0
    return terms.rate / users


@rate_shares.register('equal')
def share_equally(terms: ShareTerms) -> float:
    """Divide a limit equally between all gateways, as a baseline.

    :param terms: the endpoint's limit and the gateways.
    :returns: this gateway's share in requests per second.
    """
    return terms.rate / terms.gateway_count


def _rank(endpoint: str, gateway: str) -> bytes:
    key = f'{endpoint} {gateway}'.encode()
    return hashlib.blake2b(key, digest_size=_RANK_BYTES).digest()
