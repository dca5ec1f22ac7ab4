"""Wires the parts of the router and runs them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, final

import gevent
from returns.result import Result

from wingfall.clock import MS_PER_S
from wingfall.config.copy import ConfigCopy
from wingfall.config.fetcher import ConfigFetcher
from wingfall.config.follower import ConfigFollower
from wingfall.decision.choice import choices
from wingfall.decision.customer_limits import CustomerLimits
from wingfall.decision.retry import RetryBudget
from wingfall.descriptor_limit import fit_callers
from wingfall.guard import run_steps
from wingfall.http_server import HttpServer, ServerLimits
from wingfall.log import part_logger
from wingfall.object_api.client import HttpObjectApi
from wingfall.program import Program
from wingfall.router.api import CallerApi
from wingfall.router.body_memory import plan_bodies
from wingfall.router.directory import Directory
from wingfall.router.dispatcher import Dispatcher
from wingfall.router.intake import Intake
from wingfall.router.link import AgentLink
from wingfall.router.peers import Peers
from wingfall.router.vms import VmFollower

if TYPE_CHECKING:
    from types import SimpleNamespace

    from wingfall.objects.endpoint import Endpoint
    from wingfall.router.body_memory import BodyMemory

_POLL_MS = 20
_GAUGE_MS = 500
# Connections of callers at a time; a low limit of descriptors lowers it.
_MAX_CALLERS = 3000
# Time for a head, which callers may send long after they connect.
_HEAD_MS = 30_000
_CROWDED_HEAD_MS = 5000

logger = part_logger('router')


@final
class RouterApplication(Program):
    """The router on an entry VM."""

    __slots__ = (
        '_api',
        '_bodies',
        '_callers',
        '_copy',
        '_directory',
        '_dispatcher',
        '_follower',
        '_limits',
        '_peers',
        '_platform',
    )

    def __init__(self, *, settings: SimpleNamespace, secret: bytes) -> None:
        """Wire the parts; the ports are bound at the start.

        :param settings: the checked settings.
        :param secret: secret shared by all processes.
        """
        super().__init__(settings=settings, secret=secret)
        self._copy = ConfigCopy()
        self._copy.listen(self._show_config)
        self._limits = CustomerLimits(clock=self._clock)
        self._peers = Peers(
            settings=settings.peers,
            zone=settings.zone,
            identity=self._identity,
            copy=self._copy,
            fetcher=ConfigFetcher(clock=self._clock, copy=self._copy),
            limits=self._limits,
            supervisor=self._supervisor,
        )
        self._platform = HttpObjectApi(
            url=settings.platform.url,
            timeout_ms=settings.platform.timeout_ms,
            metrics=self._metrics,
        )
        self._follower = self._make_follower()
        self._directory = Directory(
            copy=self._copy,
            supervisor=self._supervisor,
            make_link=self._make_link,
        )
        self._bodies = plan_bodies(settings.limits)
        self._api = self._make_api()
        self._callers = HttpServer(
            app=self._api.app,
            address=settings.callers,
            limits=ServerLimits(
                connections=fit_callers(_MAX_CALLERS),
                head_ms=_HEAD_MS,
                crowded_ms=_CROWDED_HEAD_MS,
            ),
        )

    @property
    def port(self) -> int:
        """Port for callers, 0 while it is closed."""
        return self._callers.port

    @property
    def peer_port(self) -> int:
        """Port for other routers."""
        return self._peers.port

    @property
    def peers(self) -> Peers:
        """The other routers."""
        return self._peers

    @property
    def directory(self) -> Directory:
        """The links to agents."""
        return self._directory

    @property
    def bodies(self) -> BodyMemory:
        """The memory for bodies."""
        return self._bodies

    @property
    def copy(self) -> ConfigCopy:
        """The configuration in force."""
        return self._copy

    def start(self) -> None:
        """Start serving and return."""
        super().start()
        self._supervisor.start('wakeups', self._dispatcher.run)
        self._supervisor.start('gauges', self._show_gauges)
        self._supervisor.start(
            'follower',
            lambda: self._follower.follow(self._stop),
        )
        self._ports.open('peers', self._peers.listen)
        self._peers.start()
        vms = VmFollower(
            api=self._platform,
            zone=self._settings.zone,
            period_ms=self._settings.platform.vms_ms,
            directory=self._directory,
            peers=self._peers,
        )
        self._supervisor.start('vms', lambda: vms.follow(self._supervisor))
        self._ports.open('callers', self._callers.start)
        logger.info(
            'Router %s serves callers on port %d.',
            self._identity.name,
            self.port,
        )

    def drain(self) -> None:
        """Take no new work, and wait until what there is has ended."""
        logger.info('Leaving: %d requests are held.', self._api.held)
        run_steps(
            'router',
            refuse=self._api.drain,
            leave=self._peers.leave,
            finish_requests=lambda: self._wait_while(
                lambda: self._callers.active
            ),
            stop_accepting=self._callers.stop_accepting,
        )
        logger.info('Left: %d requests cut off.', self._callers.active)

    def close(self) -> None:
        """End everything now."""
        super().close()
        run_steps('router', peers=self._peers.stop, callers=self._callers.stop)

    def not_ready(self) -> str:
        """Tell why this program isn't ready.

        :returns: the reason, empty if it is ready.
        """
        if self._api.draining:
            return 'draining'
        if not self._copy.version:
            return 'no configuration yet'
        return '' if self.port else 'callers port not open'

    def status(self) -> dict[str, Any]:
        """Show the state of this router.

        :returns: the state as JSON.
        """
        return {
            'name': self._identity.name,
            'zone': self._settings.zone,
            'incarnation': self._identity.incarnation,
            'config_version': self._copy.version,
            'config_faults': {
                '/'.join(key): reason
                for key, reason in self._copy.faults.items()
            },
            'holds_watch': self._peers.holds_watch,
            'peers': {
                name: state.config_version
                for name, state in self._peers.states.items()
            },
            'held': self._api.held,
            'draining': self._api.draining,
            'endpoints': {
                name: _link_status(link)
                for name, link in self._directory.links.items()
            },
        }

    def _make_follower(self) -> ConfigFollower:
        platform = self._settings.platform
        return ConfigFollower(
            api=self._platform,
            copy=self._copy,
            watch_ms=platform.watch_ms,
            holds_watch=lambda: self._peers.holds_watch,
        )

    def _make_api(self) -> CallerApi:
        policy, limits = self._settings.policy, self._settings.limits
        choice = choices.find(policy.choice).unwrap()
        self._dispatcher = Dispatcher(
            settings=self._settings,
            clock=self._clock,
            directory=self._directory,
            choice=choice(seed=hash(self._identity.incarnation)),
            budget=RetryBudget(percent=policy.retry_percent),
            metrics=self._metrics,
        )
        intake = Intake(
            clock=self._clock,
            copy=self._copy,
            identity=self._identity,
            body_bytes=limits.body_bytes,
            memory=self._bodies,
        )
        return CallerApi(
            limits=limits,
            clock=self._clock,
            copy=self._copy,
            intake=intake,
            dispatcher=self._dispatcher,
            customer_limits=self._limits,
            lag=self._lag,
            metrics=self._metrics,
        )

    def _make_link(self, endpoint: Endpoint) -> AgentLink:
        return AgentLink(
            endpoint=endpoint,
            zone=self._settings.zone,
            identity=self._identity,
            copy=self._copy,
        )

    def _show_config(self) -> None:
        self._metrics.config_version.set({}, self._copy.version)
        self._metrics.config_faults.set({}, len(self._copy.faults))

    def _show_gauges(self) -> None:
        while not self._supervisor.stopped:
            links = self._directory.links.values()
            up = sum(link.usable for link in links)
            self._metrics.links.set({}, up)
            self._metrics.queue_length.set({}, self._api.held)
            self._bodies.report(self._metrics)
            gevent.sleep(_GAUGE_MS / MS_PER_S)


def check_router_policy(settings: SimpleNamespace) -> Result[Any, str]:
    """Check that the policies named in the settings exist.

    :param settings: the checked settings.
    :returns: the choice, or a sentence that lists those there are.
    """
    return choices.find(settings.policy.choice)


def _link_status(link: AgentLink) -> dict[str, Any]:
    report = link.report
    if report is None:
        return {'state': 'down', 'open_calls': link.open_calls}
    leaving = report.leaving or link.vm_leaving
    return {
        'state': 'leaving' if leaving else 'up',
        'open_calls': link.open_calls,
        'limit': report.limit,
        'running': report.running,
        'waiting': report.waiting,
        'mean_run_ms': report.mean_run_ms,
    }
