"""Creates the shared state of a gateway from its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from wingfall.clock import MS_PER_S
from wingfall.gateway.callers.memory_plan import plan_memory
from wingfall.gateway.endpoints.answer_buffer import AnswerMemory
from wingfall.gateway.endpoints.answer_end import AnswerEndCheck
from wingfall.gateway.endpoints.connection_cache import ConnectionCache
from wingfall.gateway.endpoints.crash_detector import CrashDetector
from wingfall.gateway.endpoints.endless_answers import EndlessAnswers
from wingfall.gateway.endpoints.endpoint_ends import EndpointEnds
from wingfall.gateway.endpoints.leaving_watch import LeavingWatch
from wingfall.gateway.endpoints.sending_gate import SendingGate
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.knowledge.full_gaps import FullGaps
from wingfall.gateway.model.binding import bindings
from wingfall.gateway.rules.crashes.request_blocks import RequestBlocks
from wingfall.gateway.rules.placement.engine_groups import reserve_none
from wingfall.gateway.rules.policies import find_policies
from wingfall.gateway.rules.retries.retry_budget import RetryBudget
from wingfall.gateway.state import GatewayState
from wingfall.platform import binding as fjordgrid
from wingfall.wire.send_queues import SendQueues

if TYPE_CHECKING:
    from types import SimpleNamespace

    from returns.result import Result

    from wingfall.clock import Clock
    from wingfall.loop_lag import LoopLag
    from wingfall.metrics import Metrics

# A binding is registered when its module is imported.
PLATFORMS: Final = (fjordgrid,)


def check_policy(settings: SimpleNamespace) -> Result[Any, str]:
    """Check the names of the binding and the policies in the settings.

    :param settings: settings that conform to their schema.
    :returns: the policies, or an error text that lists the valid names.
    """
    return bindings.find(settings.binding).bind(
        lambda _found: find_policies(settings.policy),
    )


def make_state(
    settings: SimpleNamespace,
    clock: Clock,
    metrics: Metrics,
    lag: LoopLag,
) -> GatewayState:
    """Create the state of a gateway, which has no configuration yet.

    :param settings: the checked settings.
    :param clock: source of the current time.
    :param metrics: metrics of the process.
    :param lag: tells whether the process stood still.
    :returns: the state.
    """
    make_binding = bindings.find(settings.binding).unwrap()
    policies = find_policies(settings.policy).unwrap()
    rates = policies.read_rates(clock=clock)
    knowledge = EndpointKnowledge(
        clock=clock,
        name=settings.name,
        rates=rates,
        start_estimates=policies.start_estimates(
            get_fixed_overhead_ms=rates.fixed_overhead_ms
        ),
        full_gaps=FullGaps(
            clock=clock,
            reports_gaps=policies.engine_groups is not reserve_none,
        ),
        large_pool=settings.policy.large_pool,
        short_gap_ms=settings.policy.short_gap_ms,
    )
    gate = SendingGate(
        name=settings.name,
        clock=clock,
        signals=knowledge.signals,
        rate_share=policies.rate_share,
    )
    connections = ConnectionCache(clock=clock, gate=gate)
    plan = plan_memory(settings.limits.memory_mb)
    return GatewayState(
        zone=settings.zone,
        clock=clock,
        metrics=metrics,
        binding=make_binding(settings=settings.store, metrics=metrics),
        policies=policies,
        budget=RetryBudget(
            clock=clock,
            ratio=settings.resend.ratio,
            slack=settings.resend.slack,
            window_ms=int(settings.resend.window_s * MS_PER_S),
        ),
        knowledge=knowledge,
        connections=connections,
        gate=gate,
        blocks=RequestBlocks(
            name=settings.name,
            clock=clock,
            ledger=knowledge.crashes,
        ),
        ends=EndpointEnds(
            answers=AnswerEndCheck(
                clock=clock,
                knowledge=knowledge,
                connections=connections,
                metrics=metrics,
                has_stood_still=lag.has_stood_still,
            ),
            crashes=CrashDetector(
                name=settings.name,
                clock=clock,
                knowledge=knowledge,
                metrics=metrics,
            ),
            endless=EndlessAnswers(
                clock=clock,
                metrics=metrics,
                memory=AnswerMemory(
                    total_bytes=plan.answer_bytes,
                    short_bytes=plan.short_answer_bytes,
                ),
            ),
            leavings=LeavingWatch(connections=connections, knowledge=knowledge),
        ),
    )


def make_peer_queues(settings: SimpleNamespace) -> SendQueues:
    """Create the queues of messages for other gateways.

    :param settings: the checked settings.
    :returns: queues without messages.
    """
    plan = plan_memory(settings.limits.memory_mb)
    return SendQueues(max_bytes=plan.queued_bytes)
