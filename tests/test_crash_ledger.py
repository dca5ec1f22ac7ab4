"""Tests for the crash ledger and its limits."""

from __future__ import annotations

import time

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.crash_ledger import (
    MAX_REPORTED_PARTS,
    MAX_REPORTED_SUSPECTS,
    MAX_SUSPECT_PARTS,
    MAX_SUSPECTS,
    CrashLedger,
)
from wingfall.gateway.model.endpoint_crash import EndpointCrash

DAY_MS = 86_400_000
MAX_CRASHES = 256


@pytest.fixture
def ledger(clock: ManualClock) -> CrashLedger:
    """Return an empty ledger."""
    return CrashLedger(clock=clock)


def record_crash(
    ledger: CrashLedger,
    clock: ManualClock,
    endpoint: str,
    *silent: bytes,
    streaming: tuple[bytes, ...] = (),
) -> None:
    """Record a crash at the current time."""
    ledger.note_crash(
        EndpointCrash(
            endpoint=endpoint,
            crashed_ms=clock.now_ms(),
            reported_by='g1',
            silent=silent,
            streaming=streaming,
        )
    )


def test_suspects_of_one_crash_are_merged(
    ledger: CrashLedger, clock: ManualClock
):
    record_crash(ledger, clock, 'e1', b'a')
    record_crash(ledger, clock, 'e1', b'b', streaming=(b'c',))
    (crash,) = ledger.crashes
    assert crash.silent == {b'a', b'b'}
    assert crash.streaming == {b'c'}


def test_crash_updates_are_reported_once(
    ledger: CrashLedger, clock: ManualClock
):
    record_crash(ledger, clock, 'e1', b'a')
    record_crash(ledger, clock, 'e1', b'b')
    (reported,) = ledger.take_unreported_crashes()
    assert reported.suspects == {b'a', b'b'}
    assert not ledger.take_unreported_crashes()
    record_crash(ledger, clock, 'e1', b'b', b'c')
    (reported,) = ledger.take_unreported_crashes()
    assert reported.suspects == {b'c'}


def test_crash_reported_by_a_peer_is_not_forwarded(
    ledger: CrashLedger, clock: ManualClock
):
    crash = EndpointCrash(
        endpoint='e1',
        crashed_ms=clock.now_ms(),
        reported_by='g2',
        silent=[b'a'],
    )
    assert ledger.merge_crash(crash) is not None
    assert ledger.merge_crash(crash) is None
    assert not ledger.take_unreported_crashes()


def test_ledgers_with_equal_crashes_have_equal_digests(clock: ManualClock):
    first, second = CrashLedger(clock=clock), CrashLedger(clock=clock)
    record_crash(first, clock, 'e1', b'a', b'b')
    assert first.recent_digest != second.recent_digest
    record_crash(second, clock, 'e1', b'b')
    record_crash(second, clock, 'e1', b'a')
    assert first.recent_digest == second.recent_digest


def test_flood_of_requests_does_not_hide_a_retried_request(
    ledger: CrashLedger, clock: ManualClock
):
    record_crash(ledger, clock, 'e1', b'again')
    flood = [b'%03d' % number for number in range(MAX_REPORTED_SUSPECTS * 3)]
    record_crash(ledger, clock, 'e2', b'again', *flood)
    crash = ledger.crashes[1]
    assert b'again' in crash.suspects
    assert len(crash.suspects) == MAX_REPORTED_SUSPECTS


def test_flood_at_one_gateway_leaves_capacity_for_others(
    ledger: CrashLedger, clock: ManualClock
):
    flood = [b'%03d' % number for number in range(MAX_REPORTED_SUSPECTS * 3)]
    record_crash(ledger, clock, 'e1', *flood)
    ledger.merge_crash(
        EndpointCrash(
            endpoint='e1',
            crashed_ms=clock.now_ms(),
            reported_by='g2',
            silent=[b'seen by another'],
        )
    )
    assert b'seen by another' in ledger.crashes[0].suspects


def test_suspects_of_one_crash_are_bounded(
    ledger: CrashLedger, clock: ManualClock
):
    for number in range(MAX_SUSPECTS * 2):
        record_crash(ledger, clock, 'e1', b'%03d' % number)
    assert len(ledger.crashes[0].suspects) == MAX_SUSPECTS


def test_number_of_crashes_is_bounded(ledger: CrashLedger, clock: ManualClock):
    for number in range(MAX_CRASHES + 10):
        record_crash(ledger, clock, f'e{number}', b'r%d' % number)
        clock.advance(1)
    ledger.trim({'e0'})
    remaining = {crash.endpoint for crash in ledger.crashes}
    assert len(remaining) == MAX_CRASHES
    # Crashes that block a request are removed last.
    assert 'e0' in remaining
    assert 'e1' not in remaining


def test_crash_expires_after_a_day(ledger: CrashLedger, clock: ManualClock):
    record_crash(ledger, clock, 'e1', b'a')
    clock.advance(DAY_MS)
    ledger.forget_old()
    assert not ledger.crashes
    assert not ledger.served_ms


def test_successful_answer_clears_a_suspect_and_is_reported(
    ledger: CrashLedger, clock: ManualClock
):
    record_crash(ledger, clock, 'e1', b'a')
    clock.advance(5)
    ledger.note_served(b'a')
    assert ledger.served_ms == {b'a': clock.now_ms()}
    assert ledger.take_unreported_served() == {b'a': clock.now_ms()}
    clock.advance(5)
    ledger.note_served(b'a')
    assert not ledger.take_unreported_served()


def test_successful_answer_before_a_crash_is_reported(
    ledger: CrashLedger, clock: ManualClock
):
    ledger.note_served(b'a')
    served_ms = clock.now_ms()
    clock.advance(1000)
    record_crash(ledger, clock, 'e1', b'a')
    assert ledger.take_unreported_served() == {b'a': served_ms}


def test_old_successful_answer_is_ignored(
    ledger: CrashLedger, clock: ManualClock
):
    ledger.note_served(b'a')
    clock.advance(60_000)
    record_crash(ledger, clock, 'e1', b'a')
    assert not ledger.served_ms


def test_recent_successful_answers_are_bounded(ledger: CrashLedger):
    for number in range(5000):
        ledger.note_served(b'%d' % number)
    assert not ledger.served_ms
    assert len(ledger._recently_served) == 2048


@pytest.mark.parametrize(
    ('lost_after_ms', 'incomplete'),
    [(300, True), (301, False), (-300, True), (-301, False)],
)
def test_crash_near_a_gateway_loss_is_incomplete(
    clock: ManualClock, lost_after_ms: int, *, incomplete: bool
):
    ledger = CrashLedger(clock=clock)
    if lost_after_ms < 0:
        ledger.note_gateway_lost('g2')
        clock.advance(-lost_after_ms)
        record_crash(ledger, clock, 'e1', b'a')
    else:
        record_crash(ledger, clock, 'e1', b'a')
        clock.advance(lost_after_ms)
        ledger.note_gateway_lost('g2')
    assert ledger.crashes[0].incomplete == incomplete


def test_loss_of_a_whole_fleet_is_processed_quickly(
    ledger: CrashLedger, clock: ManualClock
):
    # This runs in the event loop of a gateway: some tens of milliseconds, 0.8 s
    # if each loss compares every crash with all losses again.
    for number in range(MAX_CRASHES):
        record_crash(ledger, clock, f'e{number}', b'r%d' % number)
    clock.advance(1000)
    began_ns = time.process_time_ns()
    for number in range(297):
        ledger.note_gateway_lost(f'g{number}')
    assert time.process_time_ns() - began_ns < 300_000_000


def test_crash_reported_by_the_lost_gateway_is_complete(
    ledger: CrashLedger, clock: ManualClock
):
    record_crash(ledger, clock, 'e1', b'a')
    ledger.note_gateway_lost('g1')
    assert not ledger.crashes[0].incomplete


def parts(count: int, letter: bytes = b'p') -> list[bytes]:
    """Return the fingerprints of some prompt parts."""
    return [letter + b'%07d' % number for number in range(count)]


def test_flood_of_parts_does_not_hide_a_part_of_other_crashes(
    ledger: CrashLedger, clock: ManualClock
):
    again = b'is again'
    record_crash(ledger, clock, 'e1', b'r1', again)
    record_crash(
        ledger, clock, 'e2', b'r2', again, *parts(MAX_REPORTED_PARTS * 9)
    )
    crash = ledger.crashes[1]
    assert {b'r2', again} <= crash.suspects
    assert len(crash.suspects) == MAX_REPORTED_PARTS + 1


def test_parts_served_lately_give_way_to_others(
    ledger: CrashLedger, clock: ManualClock
):
    popular = parts(30)
    ledger.note_served(b'r0', popular)
    unserved = parts(MAX_REPORTED_PARTS, b'q')
    record_crash(ledger, clock, 'e1', b'r1', *popular, *unserved)
    assert ledger.crashes[0].suspects == {b'r1', *unserved}


def test_parts_of_one_crash_are_bounded(
    ledger: CrashLedger, clock: ManualClock
):
    for part in parts(MAX_SUSPECT_PARTS * 2):
        record_crash(ledger, clock, 'e1', b'r1', part)
    assert len(ledger.crashes[0].suspects) == MAX_SUSPECT_PARTS + 1


def test_answers_to_prompts_of_many_parts_do_not_replace_others(
    ledger: CrashLedger, clock: ManualClock
):
    popular = b'populous'
    ledger.note_served(b'r0', [popular])
    for letter in (b'a', b'b', b'c'):
        ledger.note_served(b'r1', parts(1000, letter))
    record_crash(ledger, clock, 'e1', b'r2', popular)
    assert popular in ledger.served_ms


def test_digest_of_requests_is_independent_of_parts(clock: ManualClock):
    # A gateway of an earlier version knows the requests only.
    first, second = CrashLedger(clock=clock), CrashLedger(clock=clock)
    record_crash(first, clock, 'e1', b'a', b'the part')
    record_crash(second, clock, 'e1', b'a')
    assert first.recent_digest == second.recent_digest
    assert first.recent_part_digest != second.recent_part_digest
