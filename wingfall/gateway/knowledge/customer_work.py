"""How much work customers were given lately, by all gateways.

Owns a fading sum for each customer of each pool; work is in tokens, those of an
answer weighed by what they cost beside those of a prompt. What other gateways
tell is added to what this one gives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

if TYPE_CHECKING:
    from wingfall.clock import Clock


@final
class CustomerWork:
    """Work that was given to each customer of each pool, fading."""

    __slots__ = ('_clock',)

    def __init__(self, *, clock: Clock) -> None:
        """Start without work.

        :param clock: the time, by which past work fades.
        """
        self._clock = clock

    def note(self, pool: str, customer: str, tokens: float) -> None:
        """Count work that this gateway asks of a pool for a customer.

        :param pool: name of the pool.
        :param customer: name of the customer.
        :param tokens: the work.
        """

    def take_from_peer(self, pool: str, customer: str, tokens: float) -> None:
        """Count work that another gateway asked of a pool.

        :param pool: name of the pool.
        :param customer: name of the customer.
        :param tokens: the work.
        """

    def take_untold(self) -> list[list[Any]]:
        """Take what peers have not heard of, as in a heartbeat.

        :returns: for each pool and customer their names and the tokens.
        """
        return []
