"""Check if an endpoint takes a request of this gateway now.

The gate is checked wherever a request is sent, finally by
:mod:`wingfall.gateway.endpoints.connection_cache`, so that no request bypasses
the signals of its endpoint. The gate owns the token bucket of each endpoint
that sends a limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.clock import MS_PER_S
from wingfall.gateway.model.held import WithholdReason
from wingfall.gateway.rules.pacing.pace import TokenBucket
from wingfall.gateway.rules.pacing.rate_share import ShareTerms
from wingfall.gateway.rules.pacing.rest_return import (
    RAMP_UP_RATE,
    RampUp,
    compute_jitter,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
    from wingfall.gateway.model.endpoint_limit import EndpointLimit
    from wingfall.gateway.rules.pacing.rate_share import RateShare

# Applies also to an endpoint with a lower limit or a limit of 0: an occasional
# request has to check if the limit still holds.
_MIN_REQUESTS_PER_S: Final = 0.1
# After the end of a limit, gateways return to the endpoint at different moments
# within this time, so that it does not get a burst of all of them.
_RETURN_SPREAD_MS: Final = 2000
# A silent gateway keeps its share of limits for this time: it may only be
# disconnected from this gateway and continue sending.
_SILENT_RETENTION_MS: Final = 3000


@final
class SendingGate:
    """Checks the signals of an endpoint before a request is sent."""

    __slots__ = (
        '_clock',
        '_gateways',
        '_gateway_count',
        '_name',
        '_token_buckets',
        '_rate_share',
        '_ramp_ups',
        '_shares',
        '_signals',
        '_silent_since_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        signals: EndpointSignals,
        rate_share: RateShare,
    ) -> None:
        """Create a gate without token buckets.

        :param name: name of this gateway.
        :param clock: clock of this gateway.
        :param signals: limits, rests and leavings that endpoints have sent.
        :param rate_share: rule that divides limits among gateways.
        """
        self._name = name
        self._clock = clock
        self._signals = signals
        self._rate_share = rate_share
        self._gateways = frozenset((name,))
        self._gateway_count = 1
        # When gateways disconnected that had not announced a stop.
        self._silent_since_ms: dict[str, int] = {}
        self._token_buckets: dict[str, TokenBucket] = {}
        self._ramp_ups: dict[str, RampUp] = {}
        # Limit and share of this gateway by endpoint, cleared whenever the set
        # of gateways changes.
        self._shares: dict[str, tuple[float, float]] = {}

    @property
    def gateways(self) -> frozenset[str]:
        """Names of the gateways that limits are divided among."""
        return self._gateways

    def note_gateways(
        self,
        connected: Iterable[str],
        stopping: Iterable[str],
        gateway_count: int,
    ) -> None:
        """Record the gateways that limits are divided among.

        :param connected: names of the connected peers.
        :param stopping: names of the connected peers that send no new requests.
        :param gateway_count: number of gateways, including unconnected peers.
        """
        now_ms = self._clock.now_ms()
        sending = {self._name, *connected}.difference(stopping)
        for removed in self._gateways - sending:
            self._silent_since_ms.setdefault(removed, now_ms)
        for present in sending.union(stopping):
            self._silent_since_ms.pop(present, None)
        silent = {
            name: since_ms
            for name, since_ms in self._silent_since_ms.items()
            if now_ms - since_ms < _SILENT_RETENTION_MS
        }
        self._silent_since_ms = silent
        gateways = frozenset(sending.union(silent))
        gateway_count = max(gateway_count, len(gateways))
        if gateways != self._gateways or gateway_count != self._gateway_count:
            self._gateways = gateways
            self._gateway_count = gateway_count
            self._shares.clear()

    def withheld_reason(self, endpoint: str) -> WithholdReason | None:
        """Return the reason why an endpoint takes no request now.

        :param endpoint: name of the endpoint.
        :returns: the reason, None if the endpoint takes a request.
        """
        # Overrides the entry in the store, which may be outdated, or expire and
        # be written again.
        if endpoint in self._signals.leaving:
            return WithholdReason.leaving
        now_ms = self._clock.now_ms()
        ramp_up = self._ramp_up(endpoint, now_ms)
        if ramp_up is not None and ramp_up.ready_in_ms(now_ms):
            return WithholdReason.resting
        bucket = self._token_bucket(endpoint)
        if bucket is not None and bucket.ready_in_ms(now_ms):
            return WithholdReason.limited
        return None

    def acquire(self, endpoint: str) -> WithholdReason | None:
        """Count a request that is about to be sent.

        :param endpoint: name of the endpoint.
        :returns: the reason why it must not be sent, None if it may be sent.
        """
        withheld = self.withheld_reason(endpoint)
        if withheld is not None:
            return withheld
        now_ms = self._clock.now_ms()
        for limiter in (
            self._ramp_up(endpoint, now_ms),
            self._token_bucket(endpoint),
        ):
            if limiter is not None:
                limiter.take(now_ms)
        return None

    def is_limited(self, endpoint: str) -> bool:
        """Check if the request rate of an endpoint is limited.

        :param endpoint: name of the endpoint.
        :returns: whether a limit or a rest is in force or has just ended.
        """
        now_ms = self._clock.now_ms()
        return (
            self._token_bucket(endpoint) is not None
            or self._ramp_up(endpoint, now_ms) is not None
        )

    def total_rate(self, endpoint: str) -> float:
        """Return the request rate that an endpoint takes from all gateways.

        :param endpoint: name of the endpoint.
        :returns: requests per second; without a limit, the initial rate after a
            rest.
        """
        limit = self._signals.limits.get(endpoint)
        if limit is None or limit.rate is None:
            return RAMP_UP_RATE * len(self._gateways)
        return max(_MIN_REQUESTS_PER_S, limit.rate)

    def ready_in_ms(self, endpoint: str) -> float:
        """Estimate when an endpoint takes a request of any gateway again.

        A caller may retry at any gateway.

        :param endpoint: name of the endpoint.
        :returns: milliseconds from now.
        """
        now_ms = self._clock.now_ms()
        ramp_up = self._ramp_up(endpoint, now_ms)
        rest_ms = ramp_up.ready_in_ms(now_ms) if ramp_up else 0
        bucket = self._token_bucket(endpoint)
        if bucket is None:
            return rest_ms
        own_ms = bucket.ready_in_ms(now_ms)
        limit_ms = min(own_ms, MS_PER_S / self.total_rate(endpoint))
        return max(rest_ms, limit_ms)

    def is_withheld(self, endpoint: str, *, exclude_limited: bool) -> bool:
        """Check if an endpoint is excluded for a call.

        :param endpoint: name of the endpoint.
        :param exclude_limited: whether limited endpoints are reserved for
            other calls.
        :returns: whether the call must not use the endpoint now.
        """
        if exclude_limited and self.is_limited(endpoint):
            return True
        return self.withheld_reason(endpoint) is not None

    def retain_only(self, listed: Iterable[str]) -> None:
        """Drop the state of unlisted endpoints.

        :param listed: names of the listed endpoints.
        """
        for entries in (self._token_buckets, self._ramp_ups, self._shares):
            for name in entries.keys() - set(listed):
                entries.pop(name)

    def status(self) -> list[dict[str, Any]]:
        """Return the limits of endpoints and the shares of this gateway.

        :returns: one entry per endpoint with a limit.
        """
        now_ms = self._clock.now_ms()
        return [
            {
                'endpoint': name,
                'limit': limit.rate,
                'own_part': self._share(name, limit.rate),
                'age_ms': now_ms - limit.changed_ms,
                'told_by': limit.reported_by,
            }
            for name, limit in sorted(self._signals.limits.items())
            if limit.rate is not None
        ]

    def _token_bucket(self, endpoint: str) -> TokenBucket | None:
        limit = self._signals.limits.get(endpoint)
        if limit is None:
            return None
        now_ms = self._clock.now_ms()
        bucket = self._token_buckets.get(endpoint)
        if limit.rate is None:
            return (
                bucket if self._is_returning(endpoint, limit, now_ms) else None
            )
        share = self._share(endpoint, limit.rate)
        if bucket is None:
            bucket = TokenBucket(rate=share, now_ms=now_ms)
            self._token_buckets[endpoint] = bucket
        bucket.update_rate(share, now_ms)
        return bucket

    def _ramp_up(self, endpoint: str, now_ms: int) -> RampUp | None:
        until_ms = self._signals.rests.until_ms.get(endpoint)
        if until_ms is None:
            return None
        ramp_up = self._ramp_ups.get(endpoint)
        if ramp_up is None or ramp_up.until_ms != until_ms:
            jitter = compute_jitter(self._name, endpoint)
            ramp_up = RampUp(until_ms=until_ms, jitter=jitter)
            self._ramp_ups[endpoint] = ramp_up
        return None if ramp_up.is_complete(now_ms) else ramp_up

    def _is_returning(
        self,
        endpoint: str,
        limit: EndpointLimit,
        now_ms: int,
    ) -> bool:
        jitter = compute_jitter(self._name, endpoint)
        if now_ms < limit.received_ms + jitter * _RETURN_SPREAD_MS:
            return True
        self._token_buckets.pop(endpoint, None)
        return False

    def _share(self, endpoint: str, rate: float) -> float:
        cached = self._shares.get(endpoint)
        if cached is not None and cached[0] == rate:
            return cached[1]
        share = self._rate_share(
            ShareTerms(
                endpoint=endpoint,
                rate=max(_MIN_REQUESTS_PER_S, rate),
                name=self._name,
                gateways=self._gateways,
                gateway_count=self._gateway_count,
            ),
        )
        self._shares[endpoint] = (rate, share)
        return share
