"""Rests: periods in which endpoints want no requests from this gateway.

An endpoint that rejects a request may ask for rest. The rest applies only to
the gateway whose request was rejected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Milliseconds for which a rest is retained after its end, since requests to its
# endpoint are ramped up gradually.
_RETENTION_MS: Final = 10_000
# Maximum number of stored rests, above the 12,000 endpoints expected in two
# years.
_MAX_ENDPOINTS: Final = 16_384


@final
class EndpointRests:
    """The end of the rest of each endpoint."""

    __slots__ = ('_clock', '_until_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty store.

        :param clock: clock for the ends of rests.
        """
        self._clock = clock
        self._until_ms: dict[str, int] = {}

    @property
    def until_ms(self) -> dict[str, int]:
        """End of rests in milliseconds by endpoint; must not be changed."""
        return self._until_ms

    @property
    def resting_names(self) -> list[str]:
        """Sorted names of the endpoints that are resting now."""
        return sorted(filter(self.is_resting, self._until_ms))

    def note(self, endpoint: str, rest_ms: int | None) -> bool:
        """Record the rest that an answer asks for.

        :param endpoint: name of the endpoint.
        :param rest_ms: duration of the rest in milliseconds, None if the
            answer asks for none.
        :returns: whether the rest of the endpoint was started or extended.
        """
        if not rest_ms:
            return False
        until_ms = self._clock.now_ms() + rest_ms
        if until_ms <= self._until_ms.get(endpoint, 0):
            return False
        if len(self._until_ms) >= _MAX_ENDPOINTS:
            self._until_ms.pop(next(iter(self._until_ms)))
        self._until_ms[endpoint] = until_ms
        log_event(
            'signals',
            'An endpoint asks for rest.',
            endpoint=endpoint,
            rest_ms=rest_ms,
        )
        return True

    def is_resting(self, endpoint: str) -> bool:
        """Check if an endpoint is resting now.

        :param endpoint: name of the endpoint.
        :returns: whether the endpoint wants no requests.
        """
        return self._until_ms.get(endpoint, 0) > self._clock.now_ms()

    def remove_expired(self) -> None:
        """Remove the rests whose retention period is over."""
        oldest_ms = self._clock.now_ms() - _RETENTION_MS
        self._until_ms = {
            name: until_ms
            for name, until_ms in self._until_ms.items()
            if until_ms > oldest_ms
        }
