"""How prompts with some part end the endpoint stand-in that runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence


@final
class PromptCrash:
    """The parts that end an endpoint, and in what way."""

    __slots__ = ('after_events', 'closes', 'parts')

    def __init__(
        self,
        *,
        parts: Collection[str] = (),
        after_events: int = 0,
        closes: bool = False,
    ) -> None:
        """Describe the crash; by default nothing causes it.

        :param parts: ids of the parts.
        :param after_events: events that are written before the crash.
        :param closes: whether connections are closed, instead of reset.
        """
        self.parts = frozenset(parts)
        self.after_events = after_events
        self.closes = closes

    def is_due(self, parts: Sequence[str], events: int) -> bool:
        """Check if a request ends the endpoint now.

        :param parts: ids of the shared parts of its prompt.
        :param events: events that were written.
        :returns: whether the endpoint crashes.
        """
        return events == self.after_events and not self.parts.isdisjoint(parts)
