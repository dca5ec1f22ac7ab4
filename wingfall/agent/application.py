"""Wires the parts of the agent and runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

import gevent
from returns.result import Result

from wingfall.agent.admission import Admission
from wingfall.agent.calls import CallTable
from wingfall.agent.endpoint_client import EndpointClient
from wingfall.agent.listener import RouterListener
from wingfall.clock import MS_PER_S, US_PER_MS, Clock, WallClock
from wingfall.decision.gate import Gate
from wingfall.decision.keys import KeyTable
from wingfall.decision.limit import Pace, limits
from wingfall.decision.order import orders
from wingfall.decision.slots import Slots
from wingfall.guard import run_steps
from wingfall.log import part_logger
from wingfall.program import Program
from wingfall.wire.offer_messages import Report

if TYPE_CHECKING:
    from types import SimpleNamespace

    from wingfall.agent.call import Call
    from wingfall.agent.session import Session
    from wingfall.loop_lag import LoopLag

_TICK_MS = 20

logger = part_logger('agent')


@final
class AgentApplication(Program):
    """The agent beside one endpoint."""

    __slots__ = (
        '_admission',
        '_calls',
        '_config_version',
        '_gate',
        '_listener',
        '_pace',
        '_sessions',
    )

    def __init__(self, *, settings: SimpleNamespace, secret: bytes) -> None:
        """Wire the parts; the ports are bound at the start.

        :param settings: the checked settings.
        :param secret: secret shared by all processes.
        """
        super().__init__(settings=settings, secret=secret)
        clock, metrics = self._clock, self._metrics
        sessions: dict[str, Session] = {}
        self._sessions = sessions
        self._config_version = 0
        self._pace = Pace()
        self._gate = _make_gate(settings, clock, self._pace)
        self._admission = Admission(
            clock=clock,
            gate=self._gate,
            sessions=sessions,
            metrics=metrics,
        )
        self._calls = CallTable(
            clock=clock,
            client=_make_client(settings, clock, self._lag),
            pace=self._pace,
            estimates=self._gate.estimates,
            keys=KeyTable(
                clock=clock,
                wall=WallClock(),
                window_ms=settings.limits.key_window_ms,
            ),
            window=settings.limits.window_bytes,
            orphan_ms=settings.limits.orphan_ms,
            finished=self._call_finished,
        )
        self._listener = RouterListener(
            address=settings.listen,
            identity=self._identity,
            clock=clock,
            sessions=sessions,
            admission=self._admission,
            calls=self._calls,
            report=self._note_router,
            metrics=metrics,
        )

    @property
    def port(self) -> int:
        """Port for routers, 0 while it is closed."""
        return self._listener.port

    @property
    def calls(self) -> CallTable:
        """The calls of this agent."""
        return self._calls

    @property
    def gate(self) -> Gate:
        """The slots of this agent."""
        return self._gate

    def start(self) -> None:
        """Start serving and return."""
        super().start()
        self._supervisor.start('ticks', self._tick)
        self._supervisor.start('reports', self._report)
        self._ports.open('routers', self._listener.start)
        logger.info('Agent %s serves routers on port %d.', *self._where())

    def drain(self) -> None:
        """Take no new work, and wait until what there is has ended."""
        logger.info('Leaving: %d calls run.', self._gate.in_use)
        run_steps(
            'agent', leave=self._admission.leave, report=self._send_reports
        )
        if self._calls.awaits_router:
            logger.info('Leaving: waits for routers that lost their links.')
        self._wait_while(self._busy)
        logger.info('Left: %d calls cut off.', self._gate.in_use)

    def close(self) -> None:
        """End everything now."""
        super().close()
        run_steps('agent', routers=self._listener.stop)

    def not_ready(self) -> str:
        """Tell why this program isn't ready.

        :returns: the reason, empty if it is ready.
        """
        if self._gate.leaving:
            return 'leaving'
        return '' if self.port else 'port for routers not open'

    def status(self) -> dict[str, Any]:
        """Show the state of this agent.

        :returns: the state as JSON.
        """
        return {
            'name': self._identity.name,
            'incarnation': self._identity.incarnation,
            'config_version': self._config_version,
            'limit': self._gate.limit,
            'running': self._gate.in_use,
            'waiting': self._gate.waiting,
            'mean_run_ms': self._gate.mean_run_ms,
            'token_gap_ms': round(self._pace.gap_ms, 1),
            'pressure': round(self._pace.pressure, 2),
            'inversions': self._gate.inversions,
            'leaving': self._gate.leaving,
            'routers': sorted(self._sessions),
        }

    def _where(self) -> tuple[str, int]:
        return self._identity.name, self.port

    def _busy(self) -> bool:
        # A finished call is held until its router has the whole answer, and a
        # router that lost its connection may still ask what has run.
        return bool(
            self._gate.in_use or self._calls.held or self._calls.awaits_router
        )

    def _tick(self) -> None:
        while not self._supervisor.stopped:
            self._admission.tick()
            self._calls.forget_orphans()
            gevent.sleep(_TICK_MS / MS_PER_S)

    def _report(self) -> None:
        period_s = self._settings.limits.report_ms / MS_PER_S
        while not self._supervisor.stopped:
            self._send_reports()
            gevent.sleep(period_s)

    def _send_reports(self) -> None:
        report = self._make_report()
        for session in list(self._sessions.values()):
            session.connection.send(report)

    def _make_report(self) -> Report:
        return Report(
            limit=self._gate.limit,
            running=self._gate.in_use,
            waiting=self._gate.waiting,
            mean_run_ms=self._gate.mean_run_ms,
            config_version=self._config_version,
            leaving=self._gate.leaving,
            headroom=self._gate.headroom,
            token_gap_us=int(self._pace.gap_ms * US_PER_MS),
            first_token_ms=int(self._pace.first_ms),
        )

    def _note_router(self, config_version: int) -> Report:
        self._config_version = max(self._config_version, config_version)
        return self._make_report()

    def _call_finished(self, call: Call) -> None:
        self._metrics.stream_bytes.add({}, call.length)
        self._admission.finish(call.call_id, whole=call.whole)


def check_agent_policy(settings: SimpleNamespace) -> Result[Any, str]:
    """Check that the policies named in the settings exist.

    :param settings: the checked settings.
    :returns: the last one, or a sentence that lists those there are.
    """
    return orders.find(settings.policy.order).bind(
        lambda _order: limits.find(settings.policy.limit),
    )


def _make_gate(settings: SimpleNamespace, clock: Clock, pace: Pace) -> Gate:
    make_order = orders.find(settings.policy.order).unwrap()
    make_limit = limits.find(settings.policy.limit).unwrap()
    return Gate(
        clock=clock,
        slots=Slots(clock=clock, grant_ms=settings.limits.grant_ms),
        order=make_order(capacity=settings.limits.queue),
        limit=make_limit(
            clock=clock,
            pace=pace,
            slots=settings.endpoint.slots,
        ),
        headroom=settings.endpoint.headroom,
    )


def _make_client(
    settings: SimpleNamespace, clock: Clock, lag: LoopLag
) -> EndpointClient:
    return EndpointClient(
        clock=clock,
        url=settings.endpoint.url,
        slots=settings.endpoint.slots,
        connect_ms=settings.endpoint.connect_ms,
        idle_ms=settings.endpoint.idle_ms,
        has_stood_still=lag.has_stood_still,
    )
