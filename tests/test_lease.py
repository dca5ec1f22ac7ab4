"""Tests that at most one gateway acts at a time, also if calls fail."""

from __future__ import annotations

import functools

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from tests.lease_world import (
    LATE_MS,
    LEASE_MS,
    WINDOW_MS,
    GatewayModel,
    LeaseWorld,
)
from wingfall.gateway.model.duty import LeaseRecord, read_lease_record

GATEWAY_NUMBERS = st.integers(min_value=0, max_value=2)
DELAYS_MS = st.sampled_from([1, 50, 200, 700, 1000, 1400, 2000, 3100, 6000])
FAULTS = st.sampled_from(['ok', 'down', 'lost', 'late'])


@pytest.fixture
def world() -> LeaseWorld:
    """Return a simulation of three gateways."""
    return LeaseWorld()


def run_for(
    world: LeaseWorld, ms: int, *, paused: tuple[int, ...] = ()
) -> None:
    """Run a step of each gateway that is not paused every 200 ms."""
    for _step in range(ms // 200):
        world.clock.advance(200)
        for number, gateway in enumerate(world.gateways):
            if number not in paused:
                gateway.step()
        world.share_delivered(paused)


def test_each_window_is_reported_once_by_one_gateway(world: LeaseWorld):
    run_for(world, 6 * WINDOW_MS)
    assert not world.platform.violations
    assert len(world.platform.reports) == len(world.platform.acts)
    assert len(world.platform.reports) >= 4
    assert len({machine for _ms, machine, _token in world.platform.acts}) == 1


def test_window_costs_one_store_call(world: LeaseWorld):
    run_for(world, 2 * WINDOW_MS)
    holder = next(each for each in world.gateways if each.lease.held)
    before, reported = world.store.calls, len(world.platform.reports)
    for _step in range(2 * WINDOW_MS // 200):
        world.clock.advance(200)
        holder.step()
    calls = world.store.calls - before
    assert calls == len(world.platform.reports) - reported == 2


def test_paused_holder_is_replaced_before_deadline(world: LeaseWorld):
    run_for(world, 2 * WINDOW_MS)
    holder = next(
        number for number, each in enumerate(world.gateways) if each.lease.held
    )
    run_for(world, 4 * WINDOW_MS, paused=(holder,))
    windows = sorted(world.platform.reports)
    assert windows == list(range(windows[0], windows[-1] + 1))
    for at_ms, _machine, _token in world.platform.acts:
        assert at_ms - (windows[-1] + 1) * WINDOW_MS <= LATE_MS
    assert not world.platform.violations
    # The paused gateway detects the loss by its next write.
    world.gateways[holder].step()
    run_for(world, 2 * WINDOW_MS)
    assert not world.platform.violations


def test_next_holder_after_release_waits_only_for_counts(world: LeaseWorld):
    run_for(world, 2 * WINDOW_MS)
    holder = next(each for each in world.gateways if each.lease.held)
    holder.stop()
    assert not holder.lease.held
    follower = next(each for each in world.gateways if each is not holder)
    world.clock.advance(WINDOW_MS)
    follower.step()
    assert follower.lease.can_act
    assert world.platform.acts[-1][1] == holder.name
    # Counts that a peer sends once it knows the new holder.
    follower.counts.merge_reported(
        'peer/1', [(follower.counts.window - 1, 'x', 7)]
    )
    world.clock.advance(1500)
    follower.step()
    assert world.platform.acts[-1][1] == follower.name
    reported = list(world.platform.reports.values())[-1]
    assert reported['x'] == 7
    assert not world.platform.violations


def test_token_increases_when_lease_is_recreated(world: LeaseWorld):
    run_for(world, 2 * WINDOW_MS)
    before = world.platform.acts[-1][2]
    world.store.delete()
    run_for(world, 3 * WINDOW_MS)
    assert world.platform.acts[-1][2] > before
    assert not world.platform.violations


def test_delayed_lease_write_is_detected(world: LeaseWorld):
    world.faults = ['ok', 'late']
    first = world.gateways[0]
    world.clock.advance(WINDOW_MS + 2500)
    first.step()
    assert not first.lease.held
    world.store.apply_late()
    world.clock.advance(500)
    first.step()
    assert first.lease.held
    assert first.lease.fence.token == world.store.revision


def make_window_overdue(world: LeaseWorld) -> tuple[GatewayModel, GatewayModel]:
    """Make a window overdue and return the holder and another gateway."""
    run_for(world, 2 * WINDOW_MS)
    holder = next(each for each in world.gateways if each.lease.held)
    other = next(each for each in world.gateways if each is not holder)
    world.clock.advance(WINDOW_MS + 6000)
    world.connected.remove(holder.name)
    return holder, other


def test_next_holder_waits_for_reports_in_flight(world: LeaseWorld):
    holder, other = make_window_overdue(world)
    # During the write, its answer, and then the sending of the report.
    world.during_calls = [do_nothing, do_nothing, other.step]
    holder.step()
    assert other.lease.held
    assert not other.lease.can_act
    run_for(world, WINDOW_MS)
    assert world.platform.acts[-1][1] == other.name
    assert not world.platform.violations


def test_waiting_holder_is_not_replaced(world: LeaseWorld):
    run_for(world, 2 * WINDOW_MS)
    (holder,) = [
        number for number, each in enumerate(world.gateways) if each.lease.held
    ]
    world.connected.remove(world.gateways[holder].name)
    before = len(world.platform.acts)
    holders = set()
    for _step in range(2 * WINDOW_MS // 200):
        run_for(world, 200, paused=(holder,))
        holders |= {each.name for each in world.gateways if each.lease.held}
    assert len(holders - {world.gateways[holder].name}) == 1
    assert len(world.platform.acts) > before


def test_report_in_flight_for_too_long_is_reset(world: LeaseWorld):
    holder, other = make_window_overdue(world)

    def take_over() -> None:
        other.step()
        world.clock.advance(LEASE_MS)
        other.step()

    world.during_calls = [do_nothing, do_nothing, take_over]
    holder.step()
    assert world.platform.acts[-1][1] == other.name
    assert not world.platform.violations


def test_returning_holder_waits_for_whole_lease(world: LeaseWorld):
    holder, other = make_window_overdue(world)
    holder.step()
    acted_ms = world.platform.acts[-1][0]
    other.lease.refresh()
    assert other.lease.acquire(decided=0)
    world.clock.advance(LEASE_MS * 2 // 3)
    other.step()
    assert world.platform.acts[-1][1] == other.name
    other.lease.release()
    holder.lease.refresh()
    assert holder.lease.acquire(decided=0)
    assert holder.lease.act_ms == 0
    world.clock.advance(acted_ms + LEASE_MS - world.clock.now_ms() + 10)
    assert holder.lease.can_act


def test_started_process_polls_lease_after_whole_lease(
    world: LeaseWorld,
):
    holder, _other = make_window_overdue(world)
    holder.step()
    holder.stop()
    holder.restart()
    world.clock.advance(LEASE_MS - 10)
    calls = world.store.calls
    holder.step()
    assert world.store.calls == calls
    assert not holder.lease.held


def do_nothing() -> None:
    """Run nothing during a call."""


@pytest.mark.parametrize('spec', [None, 7, {}, {'holder': 'x'}, 'text'])
def test_invalid_lease_record_has_no_reports(spec: object):
    record = read_lease_record(spec)
    assert not record.is_released
    assert not record.reports


def test_lease_record_round_trip():
    record = LeaseRecord(
        holder='g/1', name='g', token=4, decided=8, reports={8: {'a': 2}}
    )
    read = read_lease_record(record.to_spec())
    assert read.to_spec() == record.to_spec()
    assert read.reports == {8: {'a': 2}}


def has_late_writes(machine: LeaseMachine) -> bool:
    """Check if delayed writes are pending."""
    return bool(machine.world.store.late_writes)


class LeaseMachine(RuleBasedStateMachine):
    """Any order of steps, pauses, restarts, and failing or late calls."""

    def __init__(self) -> None:
        """Create the simulation."""
        super().__init__()
        self.world = LeaseWorld()

    @rule(gateway=GATEWAY_NUMBERS)
    def step(self, gateway: int) -> None:
        """Run a step of a gateway."""
        self.world.gateways[gateway].step()

    @rule(delay_ms=DELAYS_MS)
    def wait(self, delay_ms: int) -> None:
        """Advance the clock while all gateways are paused."""
        self.world.clock.advance(delay_ms)

    @rule(
        windows=st.integers(1, 2), paused=st.sets(GATEWAY_NUMBERS, max_size=2)
    )
    def run_others(self, windows: int, paused: set[int]) -> None:
        """Run some gateways while others are paused."""
        run_for(self.world, windows * WINDOW_MS // 2, paused=tuple(paused))

    @rule(faults=st.lists(FAULTS, max_size=4))
    def set_faults(self, faults: list[str]) -> None:
        """Set the faults of the next calls."""
        self.world.faults = faults

    @rule(
        steps=st.lists(
            st.tuples(GATEWAY_NUMBERS, DELAYS_MS, DELAYS_MS), max_size=4
        )
    )
    def run_meanwhile(self, steps: list[tuple[int, int, int]]) -> None:
        """Set the gateways that run during the next calls."""
        self.world.during_calls = [
            functools.partial(self._interrupt, *step) for step in steps
        ]

    @rule(gateway=GATEWAY_NUMBERS)
    def restart(self, gateway: int) -> None:
        """Kill a gateway and restart it at once."""
        if not self.world.gateways[gateway].is_busy:
            self.world.gateways[gateway].restart()

    @rule(gateway=GATEWAY_NUMBERS)
    def stop(self, gateway: int) -> None:
        """Stop a gateway as planned and restart it."""
        self.world.gateways[gateway].stop()
        self.world.gateways[gateway].restart()

    @rule(heard=st.booleans())
    def set_holder_heard(self, heard: bool) -> None:
        """Set whether a peer reports that it holds the lease."""
        self.world.holder_heard = heard

    @rule(gateways=st.sets(st.sampled_from(['g0', 'g1', 'g2'])))
    def set_connected(self, gateways: set[str]) -> None:
        """Set which gateways are connected to the others."""
        self.world.connected = set(gateways)

    @precondition(has_late_writes)
    @rule()
    def apply_late(self) -> None:
        """Apply the delayed writes."""
        self.world.store.apply_late()

    @rule()
    def delete(self) -> None:
        """Delete the lease."""
        self.world.store.delete()

    @invariant()
    def check_no_violations(self) -> None:
        """Check that no report violated a guarantee."""
        assert not self.world.platform.violations

    def _interrupt(self, gateway: int, before_ms: int, after_ms: int) -> None:
        self.world.clock.advance(before_ms)
        self.world.gateways[gateway].step()
        self.world.clock.advance(after_ms)


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
