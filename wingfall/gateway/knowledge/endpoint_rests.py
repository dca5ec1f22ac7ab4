"""Until when endpoints want nothing from this gateway.

An endpoint that turns a request away may ask for rest. It asks the gateway that
it turned away, and no other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.log import log_event

if TYPE_CHECKING:
    from wingfall.clock import Clock

# Milliseconds after its end for which a rest is remembered: its endpoint is
# returned to step by step.
_REMEMBERED_MS: Final = 10_000
# Endpoints whose rest is remembered: over 12,000, the size in two years.
_MOST_REMEMBERED: Final = 16_384


@final
class EndpointRests:
    """When the rest of each endpoint ends."""

    __slots__ = ('_clock', '_until_ms')

    def __init__(self, *, clock: Clock) -> None:
        """Start with none at rest.

        :param clock: the time.
        """
        self._clock = clock
        self._until_ms: dict[str, int] = {}

    @property
    def until_ms(self) -> dict[str, int]:
        """When rests end, by endpoint; must not be changed."""
        return self._until_ms

    @property
    def names(self) -> list[str]:
        """Names of the endpoints that rest now."""
        return sorted(filter(self.is_resting, self._until_ms))

    def note(self, endpoint: str, rest_ms: int | None) -> bool:
        """Note what an answer says of rest.

        :param endpoint: name of the endpoint.
        :param rest_ms: for how long it wants nothing, None if it said nothing.
        :returns: whether the endpoint rests longer by it.
        """
        if not rest_ms:
            return False
        until_ms = self._clock.now_ms() + rest_ms
        if until_ms <= self._until_ms.get(endpoint, 0):
            return False
        if len(self._until_ms) >= _MOST_REMEMBERED:
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
        """Tell whether an endpoint wants nothing now.

        :param endpoint: its name.
        :returns: whether it rests.
        """
        return self._until_ms.get(endpoint, 0) > self._clock.now_ms()

    def forget(self) -> None:
        """Forget the rests that have been over for a while."""
        oldest_ms = self._clock.now_ms() - _REMEMBERED_MS
        self._until_ms = {
            name: until_ms
            for name, until_ms in self._until_ms.items()
            if until_ms > oldest_ms
        }
