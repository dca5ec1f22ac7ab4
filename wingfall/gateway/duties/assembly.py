"""Makes the duties of a gateway from its settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, Callable, Final, final

from returns.result import Success

from wingfall.clock import MS_PER_S, WallClock
from wingfall.gateway.duties import usage_duty
from wingfall.gateway.duties.duty import DutyTerms, duties
from wingfall.gateway.duties.lease import Lease
from wingfall.gateway.duties.standing import Peering, Standing
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

# A duty is known once its module is imported.
KNOWN: Final = (usage_duty,)
# Milliseconds between two looks at what is due. A small part of the time in
# which a report may be late.
_STEP_MS: Final = 200
# Bits of the number that tells two starts of a gateway apart.
_HOLDER_BITS: Final = 64
# Windows after its start for which a gateway counts as new: it has not heard
# what was counted before.
_NEW_WINDOWS: Final = 2


@final
class GatewayDuties:
    """The duties of this gateway, and what they share."""

    __slots__ = ('_duties', '_jump_ms', 'counts', 'lease', 'true_time')

    def __init__(
        self,
        *,
        settings: SimpleNamespace,
        clock: Clock,
        metrics: Metrics,
        binding: Binding,
        look: Callable[[], Peering],
        is_stopping: Callable[[], bool],
    ) -> None:
        """Make the duties; none acts yet.

        :param settings: the gateway's settings, with an address for duties.
        :param clock: the steady clock.
        :param metrics: counters.
        :param binding: speaks to the platform.
        :param look: what is seen of the other gateways.
        :param is_stopping: whether a planned stop has begun.
        """
        chosen = settings.duties
        window_ms = int(chosen.window_s * MS_PER_S)
        self.true_time = TrueTime(clock=clock, wall=WallClock())
        self.counts = UsageCounts(time=self.true_time, window_ms=window_ms)
        incarnation = random.getrandbits(_HOLDER_BITS)
        self.lease = Lease(
            name=settings.name,
            holder=f'{settings.name}/{incarnation:x}',
            clock=clock,
            store=binding.leases_store(),
            lease_ms=chosen.lease_ms,
        )
        shared: dict[str, Any] = {
            'terms': DutyTerms(
                window_ms=window_ms,
                late_ms=int(chosen.late_s * MS_PER_S),
            ),
            'lease': self.lease,
            'standing': Standing(
                clock=clock,
                lease_ms=chosen.lease_ms,
                new_ms=_NEW_WINDOWS * window_ms,
                look=look,
                is_stopping=is_stopping,
            ),
            'counts': self.counts,
            'calls': binding.duty_calls(chosen.address),
            'clock': clock,
            'metrics': metrics,
        }
        found = {name: duties.find(name) for name in chosen.names}
        self._duties: list[Duty] = [
            make.unwrap()(**shared)
            for make in found.values()
            if isinstance(make, Success)
        ]
        for name, make in found.items():
            if not isinstance(make, Success):
                # The platform may have more than this version does.
                log_event('duties', 'A duty is not known.', duty=name)
        # By how much the time of day was off at the last look, for the log.
        self._jump_ms = 0

    def run(self, stop: Event) -> None:
        """Do what is due until the process stops, then give the lease back.

        :param stop: set when the process is asked to stop.
        """
        while not stop.is_set():
            self._note_jump(self.true_time.poll_wall())
            for duty in self._duties:
                duty.step()
            stop.wait(_STEP_MS / MS_PER_S)
        self.lease.give_back()

    def status(self) -> dict[str, Any]:
        """Show the state of the duties.

        :returns: the state as JSON.
        """
        return {
            'held': self.lease.held,
            'holder': self.lease.record.name,
            'token': self.lease.fence.token,
            'delivered_window': self.counts.delivered_window,
            'window': self.counts.window,
        }

    def _note_jump(self, jump_ms: int) -> None:
        if bool(jump_ms) is not bool(self._jump_ms):
            log_event(
                'duties',
                'The time of day has jumped; it is not followed.'
                if jump_ms
                else 'The time of day is back.',
                jump_ms=jump_ms or self._jump_ms,
            )
        self._jump_ms = jump_ms
