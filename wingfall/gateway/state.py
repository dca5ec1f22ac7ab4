"""What all calls of a gateway share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

from wingfall.decision.engine_speeds import EngineSpeeds
from wingfall.decision.placement import SHORT_READ_TOKENS
from wingfall.decision.prefix_cache import PartIndex, PrefixCache
from wingfall.decision.recent_reads import RecentReads

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.decision.cache_transfer import CacheTransfer
    from wingfall.decision.early_refusal import Admission
    from wingfall.decision.endpoint_health import EndpointHealth
    from wingfall.decision.engine_speed import EngineSpeed
    from wingfall.decision.placement import Placement
    from wingfall.decision.resend_budget import ResendBudget
    from wingfall.decision.shared_read import SharedRead
    from wingfall.decision.stream_backup import StreamBackup
    from wingfall.gateway.binding import Binding
    from wingfall.gateway.call import Call, Prompt, PromptPart
    from wingfall.gateway.endpoint_connection import KeptConnections
    from wingfall.gateway.endpoints import EndpointTable
    from wingfall.gateway.load import LoadTable
    from wingfall.gateway.routes import Routes
    from wingfall.metrics import Metrics

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

    __slots__ = ('_by_endpoint', '_index', 'news')

    def __init__(self) -> None:
        """Start empty."""
        self._by_endpoint: dict[str, PrefixCache] = {}
        self._index = PartIndex()
        # Sendings that the peers have not heard of yet.
        self.news: list[SentPrompt] = []

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

    def keepers(self, prompt: Prompt) -> set[str]:
        """Name the engines that keep the beginning of a prompt.

        :param prompt: the prompt.
        :returns: names of the engines.
        """
        if not prompt.shared:
            return set()
        return self._index.engines(prompt.shared[0].part_id)

    def set_capacity(self, endpoint: str, capacity: int) -> None:
        """Start the model of an engine whose memory is known.

        :param endpoint: its name.
        :param capacity: tokens that it can hold.
        """
        if endpoint not in self._by_endpoint and capacity:
            self._by_endpoint[endpoint] = PrefixCache(
                engine=endpoint,
                index=self._index,
                capacity=capacity,
            )

    def note_sent(self, sent: SentPrompt, ready_ms: int) -> None:
        """Note a prompt that this gateway sent.

        :param sent: the prompt and where it went.
        :param ready_ms: when it is likely read.
        """
        self.find(sent.endpoint).note(sent.parts, ready_ms)
        self.news.append(sent)

    def note_read(self, endpoint: str, call: Call) -> None:
        """Note that an engine has read a prompt, since its answer began.

        :param endpoint: its name.
        :param call: the request.
        """
        if call.head.prompt is not None:
            self.find(endpoint).note_read(call.head.prompt.shared)

    def note_unread(self, endpoint: str, call: Call) -> None:
        """Note that an attempt has ended; what it didn't read isn't kept.

        :param endpoint: its name.
        :param call: the request.
        """
        if call.head.prompt is not None:
            self.find(endpoint).note_unread(call.head.prompt.shared)

    def learn(self, endpoint: str, parts: tuple[PromptPart, ...]) -> None:
        """Take what an engine itself says it keeps, and tell the peers.

        :param endpoint: its name.
        :param parts: the parts of prompts that it keeps.
        """
        self.find(endpoint).note(parts)
        told = parts[-RECENT_PARTS:]
        self.news.append(SentPrompt(endpoint=endpoint, parts=told, unread=0))

    def take_news(self) -> list[SentPrompt]:
        """Take what the peers have not heard of.

        :returns: the prompts sent since the last call.
        """
        news = self.news
        self.news = []
        return news

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


@final
class GatewayState:
    """The configuration in force, the endpoints, and what runs there."""

    __slots__ = (
        'admission',
        'binding',
        'budget',
        'cache_transfer',
        'caches',
        'clock',
        'connections',
        'draining',
        'endpoints',
        'health',
        'load',
        'metrics',
        'placement',
        'reads',
        'routes',
        'shared_read',
        'speeds',
        'stream_backup',
        'zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        clock: Clock,
        metrics: Metrics,
        binding: Binding,
        placement: Placement,
        admission: Admission,
        cache_transfer: CacheTransfer,
        shared_read: SharedRead,
        stream_backup: StreamBackup,
        budget: ResendBudget,
        health: EndpointHealth,
        endpoints: EndpointTable,
        load: LoadTable,
        connections: KeptConnections,
    ) -> None:
        """Join the parts; there is no configuration yet.

        :param zone: availability zone of this gateway.
        :param clock: the time.
        :param metrics: counters.
        :param binding: the platform's words.
        :param placement: chooses endpoints.
        :param admission: refuses prompts that would start too late.
        :param cache_transfer: tells from where engines copy what is kept.
        :param shared_read: tells how long prompts wait for a shared part.
        :param stream_backup: tells which streams are kept at a second engine.
        :param budget: bounds second sendings.
        :param health: failures of endpoints.
        :param endpoints: the endpoints.
        :param load: what runs there.
        :param connections: connections to them.
        """
        self.zone = zone
        self.clock = clock
        self.metrics = metrics
        self.binding = binding
        self.placement = placement
        self.admission = admission
        self.cache_transfer = cache_transfer
        self.shared_read = shared_read
        self.stream_backup = stream_backup
        self.budget = budget
        self.health = health
        self.endpoints = endpoints
        self.load = load
        self.connections = connections
        self.caches = PrefixCaches()
        self.speeds = EngineSpeeds()
        self.reads = RecentReads(clock=clock)
        self.routes: Routes | None = None
        self.draining = False

    def ready_ms(self, endpoint: str) -> int:
        """Estimate when an engine will have read all that was sent to it.

        :param endpoint: its name.
        :returns: a reading of the clock.
        """
        reading = self.load.total(endpoint).reading_tokens
        read_ms = self.speed(endpoint).read_ms(reading)
        return self.clock.now_ms() + int(read_ms)

    def speed(self, endpoint: str) -> EngineSpeed:
        """Give what an engine has shown.

        :param endpoint: its name.
        :returns: how fast it is.
        """
        known = self.endpoints.find(endpoint)
        return self.speeds.find(endpoint, known.pool if known else '')

    def note_read(self, endpoint: str, tokens: int) -> None:
        """Note a prompt that was sent to be read.

        :param endpoint: the engine.
        :param tokens: its tokens that the engine doesn't keep.
        """
        beyond = tokens - SHORT_READ_TOKENS
        if beyond > 0:
            self.reads.note(endpoint, beyond)
