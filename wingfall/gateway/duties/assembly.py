"""Create the duties of a gateway from its settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, Callable, Final, final

from returns.result import Success

from wingfall.clock import MS_PER_S, WallClock
from wingfall.gateway.duties import usage_duty
from wingfall.gateway.duties.duty import DutyTerms, duties
from wingfall.gateway.duties.lease import Lease
from wingfall.gateway.duties.takeover import PeerSnapshot, TakeoverPolicy
from wingfall.gateway.knowledge.true_time import TrueTime
from wingfall.gateway.knowledge.usage_counts import UsageCounts
from wingfall.log import log_event

if TYPE_CHECKING:
    from types import SimpleNamespace

    from gevent.event import Event

    from wingfall.clock import Clock
    from wingfall.gateway.duties.duty import Duty
    from wingfall.gateway.model.binding import Binding
    from wingfall.metrics import Metrics

# Modules of the duties. Importing a module registers its duty.
KNOWN: Final = (usage_duty,)
# Milliseconds between two steps of the duties. A small fraction of the time
# by which a report may be late.
_STEP_INTERVAL_MS: Final = 200
# Bits of the random number that distinguishes two starts of a gateway.
_INCARNATION_BITS: Final = 64
# Windows after its start for which a gateway counts as new: it has not
# received earlier counts.
_WARMUP_WINDOWS: Final = 2


@final
class GatewayDuties:
    """The duties of this gateway and the state that they share."""

    __slots__ = ('_duties', '_jump_ms', 'counts', 'lease', 'true_time')

    def __init__(
        self,
        *,
        settings: SimpleNamespace,
        clock: Clock,
        metrics: Metrics,
        binding: Binding,
        snapshot_peers: Callable[[], PeerSnapshot],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Create the duties without running any of them.

        :param settings: the gateway's settings, including the duty address.
        :param clock: the monotonic clock.
        :param metrics: the metrics of the gateway.
        :param binding: the binding to the platform.
        :param snapshot_peers: returns a snapshot of the other gateways.
        :param is_stopping: whether a planned stop has begun.
        """
        duty_settings = settings.duties
        window_ms = max(1, int(duty_settings.window_s * MS_PER_S))
        self.true_time = TrueTime(clock=clock, wall=WallClock())
        self.counts = UsageCounts(time=self.true_time, window_ms=window_ms)
        incarnation = random.getrandbits(_INCARNATION_BITS)
        self.lease = Lease(
            name=settings.name,
            holder=f'{settings.name}/{incarnation:x}',
            clock=clock,
            store=binding.leases_store(),
            lease_ms=duty_settings.lease_ms,
        )
        shared: dict[str, Any] = {
            'terms': DutyTerms(
                window_ms=window_ms,
                deadline_ms=int(duty_settings.late_s * MS_PER_S),
            ),
            'lease': self.lease,
            'standing': TakeoverPolicy(
                clock=clock,
                lease_ms=duty_settings.lease_ms,
                warmup_ms=_WARMUP_WINDOWS * window_ms,
                snapshot_peers=snapshot_peers,
                is_stopping=is_stopping,
            ),
            'counts': self.counts,
            'calls': binding.duty_calls(duty_settings.address),
            'clock': clock,
            'metrics': metrics,
        }
        factories = {name: duties.find(name) for name in duty_settings.names}
        self._duties: list[Duty] = [
            factory.unwrap()(**shared)
            for factory in factories.values()
            if isinstance(factory, Success)
        ]
        for name, factory in factories.items():
            if not isinstance(factory, Success):
                # The platform may know duties that this version lacks.
                log_event('duties', 'A duty is not known.', duty=name)
        # Jump of the time of day at the last step, for the log.
        self._jump_ms = 0

    def run(self, stop: Event) -> None:
        """Run the duties until the process stops, then release the lease.

        :param stop: set when the process is asked to stop.
        """
        while not stop.is_set():
            self._log_clock_jump(self.true_time.poll_wall())
            for duty in self._duties:
                duty.step()
            stop.wait(_STEP_INTERVAL_MS / MS_PER_S)
        self.lease.release()

    def status(self) -> dict[str, Any]:
        """Return the state of the duties.

        :returns: the state as JSON.
        """
        return {
            'held': self.lease.held,
            'holder': self.lease.record.name,
            'token': self.lease.fence.token,
            'delivered_window': self.counts.delivered_window,
            'window': self.counts.window,
        }

    def _log_clock_jump(self, jump_ms: int) -> None:
        if bool(jump_ms) is not bool(self._jump_ms):
            log_event(
                'duties',
                'The time of day has jumped; it is not followed.'
                if jump_ms
                else 'The time of day is back.',
                jump_ms=jump_ms or self._jump_ms,
            )
        self._jump_ms = jump_ms
