"""A simulation of gateways that contend for the lease of the duties.

The production code runs on a store and a platform in memory, with one clock for
all gateways. During a call of one gateway, others run, time passes, and the
call may fail, lose its answer or take effect later. The platform checks each
report that it receives.
"""

from __future__ import annotations

import itertools
from typing import Any, Callable, Final, final

from returns.result import Failure, Result, Success

from wingfall.clock import ManualClock
from wingfall.errors import PlatformError
from wingfall.gateway.duties.duty import DutyTerms
from wingfall.gateway.duties.lease import Lease
from wingfall.gateway.duties.takeover import PeerSnapshot, TakeoverPolicy
from wingfall.gateway.duties.usage_duty import UsageDuty
from wingfall.gateway.knowledge.true_time import TrueTime
from wingfall.gateway.knowledge.usage_counts import UsageCounts
from wingfall.gateway.model.duty import Fence, UsageReport
from wingfall.gateway.model.object_store import StoredObject
from wingfall.metrics import Metrics

LEASE_MS: Final = 3000
WINDOW_MS: Final = 5000
LATE_MS: Final = 10_000
STORE_TIMEOUT_MS: Final = 1500
_CONFLICT: Final = 409


@final
class CheckingPlatform:
    """A platform that records reports and violations of the guarantees."""

    def __init__(self, *, clock: ManualClock) -> None:
        """Create a platform without reports.

        :param clock: the shared clock.
        """
        self._clock = clock
        self.reports: dict[int, dict[str, int]] = {}
        self.acts: list[tuple[int, str, int]] = []
        self.violations: list[str] = []

    def accept(self, machine: str, report: UsageReport, fence: Fence) -> None:
        """Accept a report and check it.

        :param machine: the machine that sent the report.
        :param report: the report.
        :param fence: the fence of the sender.
        """
        now_ms = self._clock.now_ms()
        self._check_act(machine, fence.token, now_ms)
        self.acts.append((now_ms, machine, fence.token))
        known = self.reports.setdefault(report.window, report.counts)
        if known != report.counts:
            self.violations.append(f'window {report.window} has two reports')

    def _check_act(self, machine: str, token: int, now_ms: int) -> None:
        if any(known > token for _ms, _machine, known in self.acts):
            self.violations.append(f'{machine} used the old token {token}')
        if any(
            known == token and other != machine
            for _ms, other, known in self.acts
        ):
            self.violations.append(f'the token {token} is shared')
        others = [ms for ms, other, _token in self.acts if other != machine]
        own = [ms for ms, other, _token in self.acts if other == machine]
        if any(
            mine < theirs and now_ms - mine < LEASE_MS
            for mine, theirs in itertools.product(own, others)
        ):
            self.violations.append(f'{machine} acted again within the lease')


@final
class FaultyStore:
    """A store of one object with conditional writes and scripted faults."""

    def __init__(self, *, world: LeaseWorld) -> None:
        """Create an empty store.

        :param world: provides the faults and events during calls.
        """
        self._world = world
        self.stored: StoredObject | None = None
        self.revision = 10
        self.calls = 0
        # Writes that take effect later if their condition still holds.
        self.late_writes: list[tuple[Any, int | None]] = []

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Read the object."""
        self.calls += 1
        started_ms = self._world.clock.now_ms()
        fault = self._world.next_fault()
        self._world.run_during_call()
        found = self.stored
        self._world.run_during_call()
        return self._answer(fault == 'ok', found, started_ms)

    def write(
        self,
        name: str,
        spec: Any,
        revision: int | None,
    ) -> Result[StoredObject, PlatformError]:
        """Write the object conditionally."""
        self.calls += 1
        started_ms = self._world.clock.now_ms()
        fault = self._world.next_fault()
        self._world.run_during_call()
        if fault == 'late':
            self.late_writes.append((spec, revision))
        if fault in {'late', 'down'}:
            self._world.run_during_call()
            return _no_answer()
        written = self._apply(spec, revision)
        self._world.run_during_call()
        if written is None and fault == 'ok':
            conflict = PlatformError(status=_CONFLICT, message='conflict')
            return Failure(conflict)
        return self._answer(fault == 'ok', written, started_ms)

    def apply_late(self) -> None:
        """Apply the writes whose effect was delayed."""
        late_writes = self.late_writes
        self.late_writes = []
        for spec, revision in late_writes:
            self._apply(spec, revision)

    def delete(self) -> None:
        """Delete the object, as an external client may."""
        self.stored = None
        self.revision += 1

    def _apply(self, spec: Any, revision: int | None) -> StoredObject | None:
        known = self.stored.revision if self.stored else None
        if known != revision:
            return None
        self.revision += 1
        self.stored = StoredObject(
            name='duties', revision=self.revision, spec=spec
        )
        return self.stored

    def _answer(
        self, arrives: bool, found: Any, started_ms: int
    ) -> Result[Any, PlatformError]:
        took_ms = self._world.clock.now_ms() - started_ms
        if arrives and took_ms <= STORE_TIMEOUT_MS:
            return Success(found)
        return _no_answer()


@final
class GatewayModel:
    """A machine that runs the duties of a gateway."""

    def __init__(self, *, world: LeaseWorld, name: str, position: int) -> None:
        """Start the first process of the machine.

        :param world: the simulation.
        :param name: name of the machine.
        :param position: number of gateways that precede this one.
        """
        self._world = world
        self.name = name
        self._position = position
        self._starts = itertools.count()
        self.is_busy = False
        self.is_stopped = False
        self.restart()

    def restart(self) -> None:
        """Start a new process on the machine."""
        world = self._world
        self.is_stopped = False
        self.lease = Lease(
            name=self.name,
            holder=f'{self.name}/{next(self._starts)}',
            clock=world.clock,
            store=world.store,
            lease_ms=LEASE_MS,
        )
        time = TrueTime(clock=world.clock, wall=world.clock)
        self.counts = UsageCounts(time=time, window_ms=WINDOW_MS)
        self.duty = UsageDuty(
            terms=DutyTerms(window_ms=WINDOW_MS, deadline_ms=LATE_MS),
            lease=self.lease,
            standing=TakeoverPolicy(
                clock=world.clock,
                lease_ms=LEASE_MS,
                warmup_ms=0,
                snapshot_peers=self._snapshot_peers,
                is_stopping=lambda: self.is_stopped,
            ),
            counts=self.counts,
            calls=self,
            clock=world.clock,
            metrics=world.metrics,
        )

    def report_usage(
        self,
        report: UsageReport,
        fence: Fence,
        timeout_ms: int,
    ) -> Result[None, PlatformError]:
        """Report a window, which arrives within the timeout or not at all."""
        world = self._world
        started_ms = world.clock.now_ms()
        fault = world.next_fault()
        world.run_during_call()
        took_ms = world.clock.now_ms() - started_ms
        if took_ms > timeout_ms or fault in {'late', 'down'}:
            return _no_answer()
        world.platform.accept(self.name, report, fence)
        world.run_during_call()
        if fault == 'lost':
            return _no_answer()
        return Success(None)

    def step(self) -> None:
        """Perform due work unless a call is in progress."""
        self._run(self.duty.step)

    def stop(self) -> None:
        """Release the lease, as in a planned stop."""
        self.is_stopped = True
        self._run(self.lease.release)

    def _run(self, action: Callable[[], None]) -> None:
        if self.is_busy:
            return
        self.is_busy = True
        # The counts of each gateway differ.
        self.counts.note(self.name, self._world.clock.now_ms())
        action()
        self.is_busy = False

    def _snapshot_peers(self) -> PeerSnapshot:
        return PeerSnapshot(
            predecessor_count=self._position,
            connected=self._world.connected - {self.name},
            known_count=2,
            holder_connected=self._world.holder_heard,
        )


@final
class LeaseWorld:
    """A simulation of the gateways, the store and the platform."""

    def __init__(self) -> None:
        """Start three gateways whose wait after the start has ended."""
        self.clock = ManualClock(start_ms=1_000_000)
        self.metrics = Metrics()
        self.store = FaultyStore(world=self)
        self.platform = CheckingPlatform(clock=self.clock)
        self.holder_heard = False
        # Names of the gateways that are connected to the others.
        self.connected = {'g0', 'g1', 'g2'}
        # Faults of the next calls, and actions that run during them.
        self.faults: list[str] = []
        self.during_calls: list[Callable[[], None]] = []
        self.gateways = [
            GatewayModel(world=self, name=f'g{number}', position=number)
            for number in range(3)
        ]
        self.clock.advance(LEASE_MS + 1)

    def share_delivered(self, paused: tuple[int, ...]) -> None:
        """Share the last delivered window among the running gateways.

        :param paused: numbers of the paused gateways.
        """
        running = [
            gateway
            for number, gateway in enumerate(self.gateways)
            if number not in paused
        ]
        for gateway in running:
            for other in running:
                gateway.counts.note_delivered(other.counts.delivered_window)

    def next_fault(self) -> str:
        """Return the fault of the next call.

        :returns: ``ok``, ``down``, ``lost`` or ``late``.
        """
        return self.faults.pop(0) if self.faults else 'ok'

    def run_during_call(self) -> None:
        """Run the next action during a call, or advance the clock."""
        if self.during_calls:
            self.during_calls.pop(0)()
        else:
            self.clock.advance(2)


def _no_answer() -> Result[Any, PlatformError]:
    return Failure(PlatformError(status=0, message='no answer'))
