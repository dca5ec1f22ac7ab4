"""The models of all engines' prefix caches, and what peers don't know of them.

Owns a model an engine, an index of who caches which part, and the prompts that
peers have not been told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.prefix_cache import PartIndex, PrefixCache

if TYPE_CHECKING:
    from wingfall.gateway.model.prompt import Prompt, PromptPart

# Parts of one engine that peers are told of at once.
RECENT_PARTS: Final = 300


@final
class SentPrompt:
    """A prompt that a gateway sent to an engine."""

    __slots__ = ('endpoint', 'parts', 'unread')

    def __init__(
        self,
        *,
        endpoint: str,
        parts: tuple[PromptPart, ...],
        unread: int,
    ) -> None:
        """Describe a sending.

        :param endpoint: where it went.
        :param parts: its shared parts.
        :param unread: its tokens that the engine likely didn't keep.
        """
        self.endpoint = endpoint
        self.parts = parts
        self.unread = unread


@final
class PrefixCaches:
    """The models of all engines' memories."""

    __slots__ = ('_by_endpoint', '_index', 'unsent')

    def __init__(self) -> None:
        """Start empty."""
        self._by_endpoint: dict[str, PrefixCache] = {}
        self._index = PartIndex()
        # Prompts that peers have not been told of yet.
        self.unsent: list[SentPrompt] = []

    def find(self, endpoint: str) -> PrefixCache:
        """Give the model of an engine.

        :param endpoint: its name.
        :returns: the model.
        """
        known = self._by_endpoint.get(endpoint)
        if known is None:
            known = PrefixCache(engine=endpoint, index=self._index)
            self._by_endpoint[endpoint] = known
        return known

    def engines_with(self, prompt: Prompt) -> set[str]:
        """Name the engines that keep the most of a prompt.

        Those that keep its first part alone may be all there are: prompts of
        one kind begin alike. The last part that any engine keeps tells more.

        :param prompt: the prompt.
        :returns: names of the engines.
        """
        for part in reversed(prompt.shared):
            engines = self._index.engines(part.part_id)
            if engines:
                return engines
        return set()

    def set_capacity(self, endpoint: str, capacity: int) -> None:
        """Set how much an engine can hold, whose memory is known by now.

        :param endpoint: its name.
        :param capacity: tokens that it can hold, 0 if it keeps none.
        """
        if capacity:
            self.find(endpoint).resize(capacity)

    def note_sent(self, sent: SentPrompt, ready_ms: int) -> None:
        """Note a prompt that this gateway sent.

        :param sent: the prompt and where it went.
        :param ready_ms: when it is likely read.
        """
        self.find(sent.endpoint).note(sent.parts, ready_ms)
        self.unsent.append(sent)

    def confirm_read(self, endpoint: str, prompt: Prompt) -> None:
        """Note that an engine has read a prompt, since its answer began.

        :param endpoint: its name.
        :param prompt: the prompt.
        """
        self.find(endpoint).confirm_read(prompt.shared)

    def drop_unconfirmed(self, endpoint: str, prompt: Prompt) -> None:
        """Note that an attempt has ended; what it didn't read isn't cached.

        :param endpoint: its name.
        :param prompt: the prompt.
        """
        self.find(endpoint).drop_unconfirmed(prompt.shared)

    def learn(self, endpoint: str, parts: tuple[PromptPart, ...]) -> None:
        """Take what an engine itself says it keeps, and tell the peers.

        :param endpoint: its name.
        :param parts: the parts of prompts that it keeps.
        """
        self.find(endpoint).note(parts)
        told = parts[-RECENT_PARTS:]
        self.unsent.append(SentPrompt(endpoint=endpoint, parts=told, unread=0))

    def take_unsent(self) -> list[SentPrompt]:
        """Take what the peers have not heard of.

        :returns: the prompts sent since the last call.
        """
        unsent = self.unsent
        self.unsent = []
        return unsent

    def forget(self, names: set[str]) -> None:
        """Keep only the endpoints that are listed.

        :param names: their names.
        """
        for name in self._by_endpoint.keys() - names:
            self._by_endpoint.pop(name).clear()

    def models(self) -> list[tuple[str, PrefixCache]]:
        """List all models.

        :returns: endpoints and their models.
        """
        return list(self._by_endpoint.items())
