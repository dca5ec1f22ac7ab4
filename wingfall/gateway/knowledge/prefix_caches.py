"""Models of the prefix caches of all engines.

Holds one model per engine, an index of the engines that cache each part, and
the prompts not yet reported to peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.gateway.knowledge.prefix_cache import PartIndex, PrefixCache

if TYPE_CHECKING:
    from wingfall.gateway.model.prompt import Prompt, PromptPart

# Maximum number of parts of one engine in a report to peers.
MAX_REPORTED_PARTS: Final = 300


@final
class SentPrompt:
    """A prompt that a gateway sent to an engine."""

    __slots__ = ('endpoint', 'parts', 'uncached_tokens')

    def __init__(
        self,
        *,
        endpoint: str,
        parts: tuple[PromptPart, ...],
        uncached_tokens: int,
    ) -> None:
        """Initialize the sent prompt.

        :param endpoint: name of the engine.
        :param parts: shared parts of the prompt.
        :param uncached_tokens: tokens that the engine likely didn't cache.
        """
        self.endpoint = endpoint
        self.parts = parts
        self.uncached_tokens = uncached_tokens


@final
class PrefixCaches:
    """The prefix cache models of all engines."""

    __slots__ = ('_caches', '_index', 'unsent')

    def __init__(self) -> None:
        """Create an empty collection."""
        self._caches: dict[str, PrefixCache] = {}
        self._index = PartIndex()
        # Prompts not yet reported to peers.
        self.unsent: list[SentPrompt] = []

    def find(self, endpoint: str) -> PrefixCache:
        """Return the model of an engine, created if missing.

        :param endpoint: name of the engine.
        :returns: prefix cache model of the engine.
        """
        cache = self._caches.get(endpoint)
        if cache is None:
            cache = PrefixCache(engine=endpoint, index=self._index)
            self._caches[endpoint] = cache
        return cache

    def engines_with(self, prompt: Prompt) -> set[str]:
        """Return the engines that cache the longest prefix of a prompt.

        All engines may cache the first part, since prompts of one kind begin
        alike. The last part that any engine caches is more selective.

        :param prompt: the prompt to place.
        :returns: names of the engines.
        """
        for part in reversed(prompt.shared_parts):
            engines = self._index.engines(part.part_id)
            if engines:
                return engines
        return set()

    def set_capacity(self, endpoint: str, capacity: int) -> None:
        """Set the capacity of an engine whose memory size is now cache.

        :param endpoint: name of the engine.
        :param capacity: tokens that the engine can cache; 0 is ignored.
        """
        if capacity:
            self.find(endpoint).resize(capacity)

    def note_sent(self, sent: SentPrompt, ready_ms: int) -> None:
        """Record a prompt that this gateway sent.

        :param sent: the prompt and its engine.
        :param ready_ms: estimated end of the prefill.
        """
        self.find(sent.endpoint).note(sent.parts, ready_ms)
        self.unsent.append(sent)

    def confirm_prefill(self, endpoint: str, prompt: Prompt) -> None:
        """Record that the prefill of a prompt ended, since its output began.

        :param endpoint: name of the engine.
        :param prompt: the prompt that was prefilled.
        """
        self.find(endpoint).confirm_prefill(prompt.shared_parts)

    def drop_unconfirmed(self, endpoint: str, prompt: Prompt) -> None:
        """Remove the parts that an ended attempt didn't prefill.

        :param endpoint: name of the engine.
        :param prompt: the prompt of the attempt.
        """
        self.find(endpoint).drop_unconfirmed(prompt.shared_parts)

    def note_cached(self, endpoint: str, parts: tuple[PromptPart, ...]) -> None:
        """Record the parts that an engine reports, for peers as well.

        :param endpoint: name of the engine.
        :param parts: prompt parts that the engine caches.
        """
        self.find(endpoint).note(parts)
        reported = parts[-MAX_REPORTED_PARTS:]
        self.unsent.append(
            SentPrompt(endpoint=endpoint, parts=reported, uncached_tokens=0)
        )

    def take_unreported(self) -> list[SentPrompt]:
        """Return and clear the prompts not yet reported to peers.

        :returns: prompts recorded since the last call.
        """
        unsent = self.unsent
        self.unsent = []
        return unsent

    def retain_only(self, names: set[str]) -> None:
        """Remove the models of all endpoints that are not listed.

        :param names: names of the endpoints to retain.
        """
        for name in self._caches.keys() - names:
            self._caches.pop(name).clear()

    def models(self) -> list[tuple[str, PrefixCache]]:
        """Return all models.

        :returns: name and model of each endpoint.
        """
        return list(self._caches.items())
