"""What all calls of a gateway share."""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.rules.engine_speeds import EngineSpeeds
from wingfall.gateway.rules.placement import SHORT_READ_TOKENS
from wingfall.gateway.rules.prefix_caches import PrefixCaches
from wingfall.gateway.rules.recent_reads import RecentReads

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.endpoint_connection import KeptConnections
    from wingfall.gateway.endpoints.endpoint_table import EndpointTable
    from wingfall.gateway.endpoints.load import LoadTable
    from wingfall.gateway.model.binding import Binding
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.rules.cache_transfer import CacheTransfer
    from wingfall.gateway.rules.early_refusal import Admission
    from wingfall.gateway.rules.endpoint_health import EndpointHealth
    from wingfall.gateway.rules.engine_speed import EngineSpeed
    from wingfall.gateway.rules.placement import Placement
    from wingfall.gateway.rules.resend_budget import ResendBudget
    from wingfall.gateway.rules.shared_read import SharedRead
    from wingfall.gateway.rules.stream_backup import StreamBackup
    from wingfall.metrics import Metrics


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
