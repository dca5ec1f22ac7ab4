"""A world in which gateways contend for the lease of the duties.

The real rules run over a store and a platform in memory, with one clock for
all. While a call of one gateway is under way others run, time passes, and the
call may fail, lose its answer or take effect later. The platform judges what
reaches it.
"""

from __future__ import annotations

import itertools
from typing import Any, Callable, Final, final

from returns.result import Failure, Result, Success

from wingfall.clock import ManualClock
from wingfall.errors import PlatformError
from wingfall.gateway.duties.duty import DutyTerms
from wingfall.gateway.duties.lease import Lease
from wingfall.gateway.duties.standing import Peering, Standing
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
class JudgingPlatform:
    """Takes reports, and keeps what breaks the promises of a duty."""

    def __init__(self, *, clock: ManualClock) -> None:
        """Start without a report.

        :param clock: the time.
        """
        self._clock = clock
        self.reports: dict[int, dict[str, int]] = {}
        self.acts: list[tuple[int, str, int]] = []
        self.breaches: list[str] = []

    def accept(self, machine: str, report: UsageReport, fence: Fence) -> None:
        """Take a report.

        :param machine: the machine that it comes from.
        :param report: the report.
        :param fence: under which right.
        """
        now_ms = self._clock.now_ms()
        self._judge(machine, fence.token, now_ms)
        self.acts.append((now_ms, machine, fence.token))
        known = self.reports.setdefault(report.window, report.counts)
        if known != report.counts:
            self.breaches.append(f'window {report.window} has two reports')

    def _judge(self, machine: str, token: int, now_ms: int) -> None:
        if any(known > token for _ms, _machine, known in self.acts):
            self.breaches.append(f'{machine} came with the old token {token}')
        if any(
            known == token and other != machine
            for _ms, other, known in self.acts
        ):
            self.breaches.append(f'the token {token} is shared')
        others = [ms for ms, other, _token in self.acts if other != machine]
        own = [ms for ms, other, _token in self.acts if other == machine]
        if any(
            mine < theirs and now_ms - mine < LEASE_MS
            for mine, theirs in itertools.product(own, others)
        ):
            self.breaches.append(f'{machine} is back within the lease')


@final
class FaultyStore:
    """One stored object, written by condition; calls fail as they are told."""

    def __init__(self, *, world: LeaseWorld) -> None:
        """Start without the object.

        :param world: tells what happens during a call.
        """
        self._world = world
        self.stored: StoredObject | None = None
        self.revision = 10
        self.calls = 0
        # Writes that take effect later, if their condition holds then.
        self.late: list[tuple[Any, int | None]] = []

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Read the object."""
        self.calls += 1
        began_ms = self._world.clock.now_ms()
        fault = self._world.take_fault()
        self._world.pass_time()
        found = self.stored
        self._world.pass_time()
        return self._answer(fault == 'ok', found, began_ms)

    def write(
        self,
        name: str,
        spec: Any,
        revision: int | None,
    ) -> Result[StoredObject, PlatformError]:
        """Write the object by condition."""
        self.calls += 1
        began_ms = self._world.clock.now_ms()
        fault = self._world.take_fault()
        self._world.pass_time()
        if fault == 'late':
            self.late.append((spec, revision))
        if fault in {'late', 'down'}:
            self._world.pass_time()
            return _no_answer()
        written = self._apply(spec, revision)
        self._world.pass_time()
        if written is None and fault == 'ok':
            conflict = PlatformError(status=_CONFLICT, message='conflict')
            return Failure(conflict)
        return self._answer(fault == 'ok', written, began_ms)

    def apply_late(self) -> None:
        """Let the writes take effect whose answers were lost."""
        late = self.late
        self.late = []
        for spec, revision in late:
            self._apply(spec, revision)

    def delete(self) -> None:
        """Delete the object, as somebody else may."""
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
        self, arrives: bool, found: Any, began_ms: int
    ) -> Result[Any, PlatformError]:
        took_ms = self._world.clock.now_ms() - began_ms
        if arrives and took_ms <= STORE_TIMEOUT_MS:
            return Success(found)
        return _no_answer()


@final
class GatewayModel:
    """One machine: a gateway's duties, and what reaches the platform."""

    def __init__(self, *, world: LeaseWorld, name: str, before: int) -> None:
        """Start its first process.

        :param world: the world.
        :param name: the machine.
        :param before: how many go before it.
        """
        self._world = world
        self.name = name
        self._before = before
        self._starts = itertools.count()
        self.busy = False
        self.stopping = False
        self.restart()

    def restart(self) -> None:
        """Start a new process on the machine."""
        world = self._world
        self.stopping = False
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
            terms=DutyTerms(window_ms=WINDOW_MS, late_ms=LATE_MS),
            lease=self.lease,
            standing=Standing(
                clock=world.clock,
                lease_ms=LEASE_MS,
                new_ms=0,
                look=self._look,
                is_stopping=lambda: self.stopping,
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
        """Report a window; it arrives within the time or not at all."""
        world = self._world
        began_ms = world.clock.now_ms()
        fault = world.take_fault()
        world.pass_time()
        took_ms = world.clock.now_ms() - began_ms
        if took_ms > timeout_ms or fault in {'late', 'down'}:
            return _no_answer()
        world.platform.accept(self.name, report, fence)
        world.pass_time()
        if fault == 'lost':
            return _no_answer()
        return Success(None)

    def step(self) -> None:
        """Do what is due, unless a call is under way."""
        self._run(self.duty.step)

    def stop(self) -> None:
        """Give the lease back, as in a planned stop."""
        self.stopping = True
        self._run(self.lease.give_back)

    def _run(self, body: Callable[[], None]) -> None:
        if self.busy:
            return
        self.busy = True
        # What it has counted differs from what others have.
        self.counts.note(self.name, self._world.clock.now_ms())
        body()
        self.busy = False

    def _look(self) -> Peering:
        return Peering(
            before=self._before,
            heard=self._world.heard - {self.name},
            known=2,
            holder_heard=self._world.holder_heard,
        )


@final
class LeaseWorld:
    """The gateways, the store and the platform."""

    def __init__(self) -> None:
        """Start three gateways that have been up for a while."""
        self.clock = ManualClock(start_ms=1_000_000)
        self.metrics = Metrics()
        self.store = FaultyStore(world=self)
        self.platform = JudgingPlatform(clock=self.clock)
        self.holder_heard = False
        # Gateways that the others hear.
        self.heard = {'g0', 'g1', 'g2'}
        # What happens to the next calls, and meanwhile.
        self.faults: list[str] = []
        self.meanwhile: list[Callable[[], None]] = []
        self.gateways = [
            GatewayModel(world=self, name=f'g{number}', before=number)
            for number in range(3)
        ]
        self.clock.advance(LEASE_MS + 1)

    def tell(self, but: tuple[int, ...]) -> None:
        """Let gateways tell each other how far reports are.

        :param but: those that are paused.
        """
        told = [
            gateway
            for number, gateway in enumerate(self.gateways)
            if number not in but
        ]
        for gateway in told:
            for other in told:
                gateway.counts.note_delivered(other.counts.delivered_window)

    def take_fault(self) -> str:
        """Take what happens to the next call.

        :returns: ``ok``, ``down``, ``lost`` or ``late``.
        """
        return self.faults.pop(0) if self.faults else 'ok'

    def pass_time(self) -> None:
        """Let happen what happens while a call is under way."""
        if self.meanwhile:
            self.meanwhile.pop(0)()
        else:
            self.clock.advance(2)


def _no_answer() -> Result[Any, PlatformError]:
    return Failure(PlatformError(status=0, message='no answer'))
