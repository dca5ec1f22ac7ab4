"""The gateway: its supervisor tree and its planned stop.

Owns the ports and all long-lived greenlets; creates all other parts and passes
each its dependencies.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, Final, final

import gevent

from wingfall.clock import MS_PER_S
from wingfall.gateway.assembly import make_peer_queues, make_state
from wingfall.gateway.callers.caller_server import CallerServer
from wingfall.gateway.callers.readiness import make_readiness_app
from wingfall.gateway.callers.stop_sequence import (
    close_ports,
    run_stop_sequence,
)
from wingfall.gateway.configuration.assembly import (
    make_crash_history,
    make_version_reader,
)
from wingfall.gateway.configuration.follower import StoreFollower
from wingfall.gateway.configuration.object_applier import ObjectApplier
from wingfall.gateway.configuration.replica import (
    ENDPOINTS_KIND,
    ROUTES_KIND,
    ObjectReplica,
)
from wingfall.gateway.configuration.stream_history import StreamHistory
from wingfall.gateway.configuration.version_history import VersionHistory
from wingfall.gateway.duties.assembly import GatewayDuties
from wingfall.gateway.knowledge.start_figures import set_start_errors
from wingfall.gateway.peers.caches.memory_survey import CacheSurvey
from wingfall.gateway.peers.caches.parts_transfer import PartsTransfer
from wingfall.gateway.peers.duty_exchange import DutyExchange
from wingfall.gateway.peers.gateway_peers import GatewayPeers
from wingfall.gateway.peers.shared_bounds import SharedBounds
from wingfall.gateway.status import show_status
from wingfall.http_server import HttpServer
from wingfall.log import log_event
from wingfall.program import Program
from wingfall.settings.loader import parse_address

if TYPE_CHECKING:
    import socket
    from types import SimpleNamespace

    from wingfall.gateway.model.object_store import ObjectStore

# Milliseconds by which a watch may be late before its gateway counts as cut off
# from the store: the time that the store's client allows for an answer.
_WATCH_TOLERANCE_MS: Final = 1000
# Maximum milliseconds for which connections wait unread after a start, once the
# store has answered: a caller of a site without a configuration soon gets an
# error. Before, they wait for as long as the answer may take.
_MAX_CONFIG_WAIT_MS: Final = 500
# Interval at which the state of removed endpoints is deleted.
_CLEANUP_INTERVAL_MS: Final = 1000
# Interval of the checks for a condition that is waited for.
_POLL_INTERVAL_MS: Final = 20


@final
class GatewayApplication(Program):
    """Gateway that routes callers to endpoints without an agent."""

    __slots__ = (
        '_callers',
        '_crash_history',
        '_duties',
        '_followers',
        '_peers',
        '_ready_server',
        '_replicas',
        '_state',
        '_stream_history',
        '_transfer',
        '_version_history',
    )

    def __init__(
        self,
        *,
        settings: SimpleNamespace,
        listener: socket.socket | None = None,
    ) -> None:
        """Create the gateway; its ports are bound when it starts.

        :param settings: the checked settings.
        :param listener: socket that already listens for callers, None if there
            is none.
        """
        super().__init__(settings=settings, secret=b'')
        self._state = make_state(
            settings, self._clock, self._metrics, self._lag
        )
        applier = ObjectApplier(state=self._state)
        self._replicas = (
            ObjectReplica(kind=ROUTES_KIND, listener=applier.apply_routes),
            ObjectReplica(kind=ENDPOINTS_KIND, listener=applier.apply_endpoint),
        )
        routes, endpoints = self._replicas
        binding = self._state.binding
        self._followers = (
            self._make_follower(binding.routes_store(), routes),
            self._make_follower(binding.endpoints_store(), endpoints),
        )
        self._transfer = PartsTransfer(
            zone=settings.zone,
            clock=self._clock,
            caches=self._state.knowledge.caches,
        )
        self._duties = self._make_duties()
        self._peers = GatewayPeers(
            name=settings.name,
            address=settings.peers.listen,
            announced=settings.peers.announce,
            zone=settings.zone,
            seeds=settings.peers.seeds,
            clock=self._clock,
            metrics=self._metrics,
            bounds=SharedBounds(
                budget=self._state.budget,
                blocks=self._state.blocks,
                gate=self._state.gate,
                clock=self._clock,
            ),
            knowledge=self._state.knowledge,
            is_stopping=lambda: self._state.draining,
            replicas=self._replicas,
            transfer=self._transfer,
            supervisor=self._supervisor,
            is_watching=self._is_watching_store,
            queues=make_peer_queues(settings),
            duties=self._duties
            and DutyExchange(
                clock=self._clock,
                true_time=self._duties.true_time,
                counts=self._duties.counts,
                lease=self._duties.lease,
            ),
        )
        self._state.stream_sources.peers = self._peers.streams
        self._state.knowledge.versions.reads = make_version_reader(
            self._state,
            endpoints,
            settings.store.reads_per_s,
            lambda: self._peers.gateway_count,
        )
        self._version_history = VersionHistory(
            store=binding.versions_store(),
            versions=self._state.knowledge.versions,
            may_write=self._may_write_history,
            clock=self._clock,
            metrics=self._metrics,
            announce=self._peers.streams.announce_history,
            get_followed_ms=lambda: self._followers[1].followed_ms,
            get_rank=lambda: self._peers.view.rank,
        )
        self._stream_history = StreamHistory(
            name=settings.name,
            clock=self._clock,
            store=binding.streams_store(),
            origins=self._state.knowledge.streams,
            versions=self._state.knowledge.versions,
            writes_per_s=settings.store.writes_per_s,
            reads_per_s=settings.store.reads_per_s,
            get_gateway_count=lambda: self._peers.gateway_count,
            is_first=lambda: not self._peers.view.rank,
            metrics=self._metrics,
        )
        self._state.stream_sources.store = self._stream_history
        self._crash_history = make_crash_history(
            self._state,
            may_write=self._may_write_history,
            get_rank=lambda: self._peers.view.rank,
        )
        self._ready_server = HttpServer(
            app=make_readiness_app(
                path=self._state.binding.ready_path,
                not_ready_reason=self.not_ready,
            ),
            address=parse_address(settings.readiness),
        )
        self._callers = CallerServer(
            address=parse_address(settings.callers),
            listener=listener,
            state=self._state,
            memory_mb=settings.limits.memory_mb,
        )

    @property
    def caller_port(self) -> int:
        """Port for callers."""
        return self._callers.port

    @property
    def ready_port(self) -> int:
        """Port of the load balancer's readiness check."""
        return self._ready_server.port

    @property
    def peer_address(self) -> str:
        """``host:port`` for peers."""
        return self._peers.address

    def reload(self, settings: SimpleNamespace) -> None:
        """Apply changed settings, as far as they can change while running.

        Seeds, the retry budget and the time of a planned stop take effect;
        addresses and policies change only at the next start.

        :param settings: the checked settings.
        """
        window_ms = int(settings.resend.window_s * MS_PER_S)
        self._peers.add_addresses(settings.peers.seeds)
        self._state.budget.set_bounds(
            settings.resend.ratio, settings.resend.slack, window_ms
        )
        self._settings.limits = settings.limits

    def start(self) -> None:
        """Start serving and return."""
        super().start()
        log_event('gateway', 'Started.', name=self._settings.name)
        self._start_following()
        self._supervisor.start('forget_departed', self._remove_departed)
        self._peers.start()
        if self._duties is not None:
            body = functools.partial(self._duties.run, self._stop)
            self._supervisor.start('duties', body)
        self._open_ports()
        self._start_survey()

    def drain(self) -> None:
        """Stop taking new calls and wait until the calls in progress end."""
        log_event('gateway', 'Stopping.', calls=self._callers.active_calls)
        self._state.draining = True
        run_stop_sequence(
            stop_s=self._settings.limits.stop_s,
            clock=self._clock,
            callers=self._callers,
            peers=self._peers,
        )
        log_event('gateway', 'Stopped.', calls=self._callers.active_calls)

    def close(self) -> None:
        """Stop all parts at once."""
        close_ports(self._callers, self._ready_server, self._peers)
        super().close()

    def not_ready(self) -> str:
        """Return the reason why the gateway isn't ready.

        :returns: the reason, empty if the gateway is ready.
        """
        if self._state.draining:
            return 'stopping'
        if self._state.routes is None:
            return 'no configuration'
        if not self._state.knowledge.table.names:
            return 'no endpoints'
        return '' if self._callers.is_listening else 'callers port not open'

    def status(self) -> dict[str, Any]:
        """Return the state of the gateway.

        :returns: the state as JSON.
        """
        return show_status(
            name=self._settings.name,
            state=self._state,
            peers=self._peers.names,
            calls=self._callers.active_calls,
            duties=self._duties.status() if self._duties else None,
        )

    def _make_duties(self) -> GatewayDuties | None:
        if not self._settings.duties.address:
            return None
        duties = GatewayDuties(
            settings=self._settings,
            clock=self._clock,
            metrics=self._metrics,
            binding=self._state.binding,
            snapshot_peers=lambda: self._peers.view.snapshot(),
            is_stopping=lambda: self._state.draining,
        )
        self._state.usage = duties.counts
        return duties

    def _make_follower(
        self,
        store: ObjectStore,
        replica: ObjectReplica,
    ) -> StoreFollower:
        return StoreFollower(
            store=store,
            replica=replica,
            clock=self._clock,
            max_gap_ms=self._max_watch_gap_ms(),
            holds_watch=lambda: self._peers.view.holds_watch,
            leads=lambda: self._peers.view.is_among_first,
        )

    def _start_survey(self) -> None:
        survey = CacheSurvey(
            name=self._settings.name,
            clock=self._clock,
            knowledge=self._state.knowledge,
            binding=self._state.binding,
            connections=self._state.connections,
            routes=lambda: self._state.routes,
            transfer=self._transfer,
            peers=lambda: self._peers.names,
        )
        self._supervisor.spawn(survey.run)

    def _open_ports(self) -> None:
        self._ports.open('peers', self._peers.listen)
        self._ports.open('readiness', self._ready_server.start)
        self._ports.open('callers', self._listen_for_callers)

    def _listen_for_callers(self) -> None:
        self._callers.listen()
        self._supervisor.start('accepting', self._start_accepting)

    def _start_accepting(self) -> None:
        # Connections wait unread for the configuration for a limited time.
        started_ms = self._clock.now_ms()
        while self._clock.now_ms() - started_ms < self._max_unread_ms():
            gevent.sleep(_POLL_INTERVAL_MS / MS_PER_S)
        self._callers.start()

    def _max_unread_ms(self) -> int:
        if self.not_ready():
            if self._is_watching_store():
                return _MAX_CONFIG_WAIT_MS
            return max(_MAX_CONFIG_WAIT_MS, self._settings.store.timeout_ms)
        if self._state.knowledge.versions.awaits_history:
            return _MAX_CONFIG_WAIT_MS
        return 0

    def _max_watch_gap_ms(self) -> int:
        return self._settings.store.watch_ms + _WATCH_TOLERANCE_MS

    def _is_watching_store(self) -> bool:
        within_ms = self._max_watch_gap_ms()
        return all(each.has_answered(within_ms) for each in self._followers)

    def _start_following(self) -> None:
        for follower in self._followers:
            body = functools.partial(follower.follow, self._stop)
            self._supervisor.start(follower.kind, body)
        body = functools.partial(self._version_history.run, self._stop)
        self._supervisor.start('version_history', body)
        body = functools.partial(self._stream_history.run, self._stop)
        self._supervisor.start('stream_history', body)
        body = functools.partial(self._crash_history.run, self._stop)
        self._supervisor.start('crash_history', body)
        body = functools.partial(self._stream_history.sweep, self._stop)
        self._supervisor.start('stream_history_sweep', body)

    def _may_write_history(self) -> bool:
        return self._is_watching_store() and self._peers.view.is_among_first

    def _remove_departed(self) -> None:
        while not self._supervisor.stopped:
            gevent.sleep(_CLEANUP_INTERVAL_MS / MS_PER_S)
            self._state.knowledge.forget_departed()
            self._state.knowledge.versions.update(
                self._state.knowledge.table.listed
            )
            set_start_errors(
                self._metrics, self._state.knowledge.start_estimates
            )
            names = self._state.knowledge.table.names
            self._state.connections.retain_only(names)
            self._state.gate.retain_only(names)
            self._callers.memory.report(self._metrics)
