"""Whether an endpoint takes a request of this gateway now.

Asked wherever a request is sent, last of all by
:mod:`wingfall.gateway.endpoints.kept_connections`, so that no way to an
endpoint passes by what it has said. Owns the pace at each endpoint that names a
limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, final

from wingfall.clock import MS_PER_S
from wingfall.gateway.model.held import Held
from wingfall.gateway.rules.pacing.pace import Pace
from wingfall.gateway.rules.pacing.rate_share import ShareTerms
from wingfall.gateway.rules.pacing.rest_return import (
    RETURN_RATE,
    RestReturn,
    draw_part,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wingfall.clock import Clock
    from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
    from wingfall.gateway.model.endpoint_limit import EndpointLimit
    from wingfall.gateway.rules.pacing.rate_share import RateShare

# Requests a second that go to an endpoint which names less, 0 among it: one now
# and then has to ask whether the limit still holds.
_LEAST_RATE: Final = 0.1
# Milliseconds over which gateways return to an endpoint that names no limit any
# more, each at a moment of its own, so that it doesn't meet all at once.
_RETURN_MS: Final = 2000
# Milliseconds for which a gateway that is silent still has its part of limits:
# it may only be cut off from this one, and go on sending.
_SILENT_MS: Final = 3000


@final
class SendingGate:
    """Asks what endpoints have said before a request is sent."""

    __slots__ = (
        '_clock',
        '_gateways',
        '_known',
        '_name',
        '_paces',
        '_rate_share',
        '_returns',
        '_shares',
        '_signals',
        '_silent_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        signals: EndpointSignals,
        rate_share: RateShare,
    ) -> None:
        """Start without a pace.

        :param name: name of this gateway.
        :param clock: the time.
        :param signals: what endpoints have said.
        :param rate_share: the rule that divides limits among gateways.
        """
        self._name = name
        self._clock = clock
        self._signals = signals
        self._rate_share = rate_share
        self._gateways = frozenset((name,))
        self._known = 1
        # When gateways that didn't say that they stop were heard last.
        self._silent_ms: dict[str, int] = {}
        self._paces: dict[str, Pace] = {}
        self._returns: dict[str, RestReturn] = {}
        # This gateway's part of limits as they were when it was worked out,
        # until gateways come or go.
        self._shares: dict[str, tuple[float, float]] = {}

    @property
    def gateways(self) -> frozenset[str]:
        """Names of the gateways that limits are divided among."""
        return self._gateways

    def note_gateways(
        self,
        heard: Iterable[str],
        stopping: Iterable[str],
        known: int,
    ) -> None:
        """Tell which gateways there are beside this one.

        :param heard: the connected peers.
        :param stopping: those of them that send nothing new.
        :param known: how many gateways there may be, with those not heard.
        """
        now_ms = self._clock.now_ms()
        sending = {self._name, *heard}.difference(stopping)
        for gone in self._gateways - sending:
            self._silent_ms.setdefault(gone, now_ms)
        for back in sending.union(stopping):
            self._silent_ms.pop(back, None)
        silent = {
            name: since_ms
            for name, since_ms in self._silent_ms.items()
            if now_ms - since_ms < _SILENT_MS
        }
        self._silent_ms = silent
        gateways = frozenset(sending.union(silent))
        known = max(known, len(gateways))
        if gateways != self._gateways or known != self._known:
            self._gateways = gateways
            self._known = known
            self._shares.clear()

    def why_held(self, endpoint: str) -> Held | None:
        """Tell why an endpoint takes no request now.

        :param endpoint: name of the endpoint.
        :returns: the reason, None if it takes one.
        """
        # Whatever the store says: its entry may be old, or lapse and come back.
        if endpoint in self._signals.leaving:
            return Held.leaving
        now_ms = self._clock.now_ms()
        coming_back = self._rest_return(endpoint, now_ms)
        if coming_back is not None and coming_back.ready_in_ms(now_ms):
            return Held.resting
        pace = self._pace(endpoint)
        if pace is not None and pace.ready_in_ms(now_ms):
            return Held.limited
        return None

    def take(self, endpoint: str) -> Held | None:
        """Count a request that is about to be sent.

        :param endpoint: name of the endpoint.
        :returns: why it must not be sent, None if it may be.
        """
        held = self.why_held(endpoint)
        if held is not None:
            return held
        now_ms = self._clock.now_ms()
        for pace in (self._rest_return(endpoint, now_ms), self._pace(endpoint)):
            if pace is not None:
                pace.take(now_ms)
        return None

    def is_limited(self, endpoint: str) -> bool:
        """Tell whether an endpoint takes few requests.

        :param endpoint: name of the endpoint.
        :returns: whether it names a limit or asked for rest, or did so a
            moment ago.
        """
        now_ms = self._clock.now_ms()
        return (
            self._pace(endpoint) is not None
            or self._rest_return(endpoint, now_ms) is not None
        )

    def rate_of_all(self, endpoint: str) -> float:
        """Tell what an endpoint takes of all gateways.

        :param endpoint: name of the endpoint.
        :returns: requests a second, what it takes at first after a rest where
            it names no limit.
        """
        limit = self._signals.limits.get(endpoint)
        if limit is None or limit.rate is None:
            return RETURN_RATE * len(self._gateways)
        return max(_LEAST_RATE, limit.rate)

    def opens_in_ms(self, endpoint: str) -> float:
        """Estimate when an endpoint takes a request of some gateway again.

        A caller that comes back may come to any gateway.

        :param endpoint: name of the endpoint.
        :returns: milliseconds from now.
        """
        now_ms = self._clock.now_ms()
        coming_back = self._rest_return(endpoint, now_ms)
        rest_ms = coming_back.ready_in_ms(now_ms) if coming_back else 0
        pace = self._pace(endpoint)
        if pace is None:
            return rest_ms
        own_ms = pace.ready_in_ms(now_ms)
        limit_ms = min(own_ms, MS_PER_S / self.rate_of_all(endpoint))
        return max(rest_ms, limit_ms)

    def is_held(self, endpoint: str, *, spared: bool) -> bool:
        """Tell whether an endpoint is out of the question for a call.

        :param endpoint: name of the endpoint.
        :param spared: whether those with a limit are left to other calls.
        :returns: whether it is.
        """
        if spared and self.is_limited(endpoint):
            return True
        return self.why_held(endpoint) is not None

    def forget(self, listed: Iterable[str]) -> None:
        """Forget the paces of endpoints that are gone.

        :param listed: names of the endpoints that are listed.
        """
        for known in (self._paces, self._returns, self._shares):
            for name in known.keys() - set(listed):
                known.pop(name)

    def status(self) -> list[dict[str, Any]]:
        """Show the limits of endpoints and this gateway's part of them.

        :returns: an entry for each endpoint with a limit.
        """
        now_ms = self._clock.now_ms()
        return [
            {
                'endpoint': name,
                'limit': limit.rate,
                'own_part': self._share(name, limit.rate),
                'age_ms': now_ms - limit.changed_ms,
                'told_by': limit.told_by,
            }
            for name, limit in sorted(self._signals.limits.items())
            if limit.rate is not None
        ]

    def _pace(self, endpoint: str) -> Pace | None:
        limit = self._signals.limits.get(endpoint)
        if limit is None:
            return None
        now_ms = self._clock.now_ms()
        pace = self._paces.get(endpoint)
        if limit.rate is None:
            return (
                pace if self._still_returns(endpoint, limit, now_ms) else None
            )
        share = self._share(endpoint, limit.rate)
        if pace is None:
            pace = Pace(rate=share, now_ms=now_ms)
            self._paces[endpoint] = pace
        pace.change(share, now_ms)
        return pace

    def _rest_return(self, endpoint: str, now_ms: int) -> RestReturn | None:
        until_ms = self._signals.rests.until_ms.get(endpoint)
        if until_ms is None:
            return None
        known = self._returns.get(endpoint)
        if known is None or known.until_ms != until_ms:
            part = draw_part(self._name, endpoint)
            known = RestReturn(until_ms=until_ms, part=part)
            self._returns[endpoint] = known
        return None if known.is_over(now_ms) else known

    def _still_returns(
        self,
        endpoint: str,
        limit: EndpointLimit,
        now_ms: int,
    ) -> bool:
        part = draw_part(self._name, endpoint)
        if now_ms < limit.heard_ms + part * _RETURN_MS:
            return True
        self._paces.pop(endpoint, None)
        return False

    def _share(self, endpoint: str, rate: float) -> float:
        known = self._shares.get(endpoint)
        if known is not None and known[0] == rate:
            return known[1]
        share = self._rate_share(
            ShareTerms(
                endpoint=endpoint,
                rate=max(_LEAST_RATE, rate),
                name=self._name,
                gateways=self._gateways,
                known=self._known,
            ),
        )
        self._shares[endpoint] = (rate, share)
        return share
