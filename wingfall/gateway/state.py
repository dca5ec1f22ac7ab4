"""State that all calls of a gateway share.

Each field has one owner that changes it; calls use its methods.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, final

from wingfall.gateway.knowledge.stream_origins import StreamSources
from wingfall.gateway.rules.admission.fair_shares import FairShares
from wingfall.gateway.rules.admission.held_calls import DeferredCalls
from wingfall.gateway.rules.placement.reserved_engines import ReservedEngines
from wingfall.gateway.rules.retries.retry_charges import RetryCharges
from wingfall.gateway.rules.streams.stream_log import StreamLog

if TYPE_CHECKING:
    from wingfall.clock import Clock
    from wingfall.gateway.endpoints.connection_cache import ConnectionCache
    from wingfall.gateway.endpoints.endpoint_ends import EndpointEnds
    from wingfall.gateway.endpoints.sending_gate import SendingGate
    from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
    from wingfall.gateway.knowledge.usage_counts import UsageCounts
    from wingfall.gateway.model.binding import Binding
    from wingfall.gateway.model.routes import Routes
    from wingfall.gateway.rules.crashes.request_blocks import RequestBlocks
    from wingfall.gateway.rules.policies import Policies
    from wingfall.gateway.rules.retries.retry_budget import RetryBudget
    from wingfall.metrics import Metrics


@final
class GatewayState:
    """The parts that serve all calls, and the configuration in force."""

    __slots__ = (
        'binding',
        'blocks',
        'budget',
        'clock',
        'connections',
        'draining',
        'ends',
        'fair_shares',
        'gate',
        'deferred_calls',
        'reserved_engines',
        'knowledge',
        'metrics',
        'policies',
        'retry_charges',
        'routes',
        'stream_log',
        'stream_sources',
        'usage',
        'zone',
    )

    def __init__(
        self,
        *,
        zone: str,
        clock: Clock,
        metrics: Metrics,
        binding: Binding,
        policies: Policies,
        budget: RetryBudget,
        knowledge: EndpointKnowledge,
        connections: ConnectionCache,
        blocks: RequestBlocks,
        ends: EndpointEnds,
        gate: SendingGate,
    ) -> None:
        """Create the state, which has no configuration yet.

        :param zone: availability zone of this gateway.
        :param clock: source of the current time.
        :param metrics: metrics of the process.
        :param binding: translates the platform's headers and objects.
        :param policies: the rules that the settings select.
        :param budget: limits the retries of all gateways.
        :param knowledge: state of the endpoints.
        :param connections: idle connections to endpoints.
        :param blocks: limits requests that crash their endpoints.
        :param ends: checks endpoints whose connections end.
        :param gate: checks the reports of endpoints before a request is sent.
        """
        self.zone = zone
        self.clock = clock
        self.metrics = metrics
        self.binding = binding
        self.policies = policies
        self.budget = budget
        self.knowledge = knowledge
        self.connections = connections
        self.blocks = blocks
        self.ends = ends
        self.gate = gate
        self.retry_charges = RetryCharges(
            budget=budget, clock=clock, metrics=metrics
        )
        self.stream_log = StreamLog(clock=clock, metrics=metrics)
        # Retry times of calls that no endpoint of their pool could take.
        self.deferred_calls = DeferredCalls()
        # Excess of customers over their shares of pools.
        self.fair_shares = FairShares(clock=clock, knowledge=knowledge)
        # Engines reserved for streams with short token gaps.
        self.reserved_engines = ReservedEngines(
            clock=clock,
            knowledge=knowledge,
            group_policy=policies.engine_groups,
            metrics=metrics,
        )
        # The configuration in force; only the object applier replaces it.
        self.routes: Routes | None = None
        # Whether a planned stop has begun; only the application sets it.
        self.draining = False
        # Who else knows the origins of streams; only the application sets them.
        self.stream_sources = StreamSources()
        # Request counts for the duty that reports them, None without that duty;
        # only the application sets it.
        self.usage: UsageCounts | None = None
