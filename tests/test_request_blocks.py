"""When a request that ends endpoints is refused, and when it is tried."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.crash_ledger import CrashLedger
from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.rules.crashes.request_blocks import RequestBlocks

REQUEST = b'r'
POPULAR = b'popular'
FIRST_TRY_MS = 60_000
SECOND_TRY_MS = 600_000


def crash(ledger: CrashLedger, clock: ManualClock, *names: str) -> None:
    """Let the request end some endpoints."""
    for name in names:
        ledger.note_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=clock.now_ms(),
                told_by='g1',
                silent=[REQUEST],
            )
        )


@pytest.fixture
def ledger(clock: ManualClock) -> CrashLedger:
    """Give an empty ledger."""
    return CrashLedger(clock=clock)


@pytest.fixture
def blocks(clock: ManualClock, ledger: CrashLedger) -> RequestBlocks:
    """Give the blocks of the only gateway."""
    return RequestBlocks(name='g1', clock=clock, ledger=ledger)


def test_request_is_refused_after_three_crashes(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    crash(ledger, clock, 'e1', 'e2')
    assert blocks.find(REQUEST) is None
    crash(ledger, clock, 'e3')
    block = blocks.find(REQUEST)
    assert block is not None
    assert block.retry_after_ms == FIRST_TRY_MS
    assert blocks.find(b'other') is None
    assert blocks.count == 1


def test_requests_at_the_same_crashes_get_a_second(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    other = b'was there too'
    for name in ('e1', 'e2', 'e3'):
        ledger.note_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=clock.now_ms(),
                told_by='g1',
                silent=[REQUEST, other],
            )
        )
    assert blocks.find(REQUEST) is None
    assert blocks.find(other) is None
    # A good answer leaves one.
    ledger.note_served(other)
    assert blocks.find(REQUEST)
    assert blocks.find(other) is None


def test_requests_that_nothing_tells_apart_are_refused_after_a_second(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        ledger.note_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=clock.now_ms(),
                told_by='g1',
                silent=[REQUEST, b'was there too'],
            )
        )
    clock.advance(999)
    assert blocks.find(REQUEST) is None
    clock.advance(1)
    assert blocks.find(REQUEST)
    assert blocks.find(b'was there too')


def crash_with(
    ledger: CrashLedger, clock: ManualClock, name: str, *requests: bytes
) -> None:
    """Let an endpoint crash while some requests are there."""
    ledger.note_crash(
        EndpointCrash(
            endpoint=name,
            crashed_ms=clock.now_ms(),
            told_by='g1',
            silent=requests,
        )
    )


def crash_beside_a_lost_gateway(
    ledger: CrashLedger, clock: ManualClock
) -> None:
    """Let three endpoints crash; at the third only a popular request is known.

    The gateway that had sent the crashing request there is lost before it
    tells. No endpoint has answered the popular request yet.
    """
    for name in ('e1', 'e2'):
        crash_with(ledger, clock, name, REQUEST, POPULAR)
        clock.advance(200)
    crash_with(ledger, clock, 'e3', POPULAR)
    clock.advance(40)
    ledger.note_gateway_lost('g2')


def test_crash_beside_a_lost_gateway_blames_nobody_before_a_good_answer(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    crash_beside_a_lost_gateway(ledger, clock)
    assert blocks.find(POPULAR) is None
    clock.advance(370)
    assert blocks.find(POPULAR) is None
    ledger.note_served(POPULAR)
    clock.advance(1000)
    assert blocks.find(POPULAR) is None


def test_cause_is_found_at_the_next_crash_after_one_beside_a_lost_gateway(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    crash_beside_a_lost_gateway(ledger, clock)
    clock.advance(500)
    crash_with(ledger, clock, 'e4', REQUEST, POPULAR)
    clock.advance(150)
    assert blocks.find(REQUEST) is None
    crash_with(ledger, clock, 'e5', REQUEST)
    assert blocks.find(REQUEST)
    assert blocks.find(POPULAR) is None


def test_cause_is_refused_though_its_gateways_are_lost_again_and_again(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        crash_with(ledger, clock, name, REQUEST)
        ledger.note_gateway_lost('g2')
        clock.advance(250)
    assert blocks.find(REQUEST) is None
    # Further such crashes do not put it off.
    crash_with(ledger, clock, 'e4', REQUEST)
    ledger.note_gateway_lost('g2')
    clock.advance(750)
    assert blocks.find(REQUEST)


def test_requests_at_the_same_crashes_are_refused_though_gateways_are_lost(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        crash_with(ledger, clock, name, REQUEST, POPULAR)
    for number in range(4):
        assert blocks.find(REQUEST) is None
        crash_with(ledger, clock, f'l{number}', REQUEST)
        ledger.note_gateway_lost('g2')
        clock.advance(250)
    assert blocks.find(REQUEST)


def test_gateway_that_started_after_the_crashes_waits_for_a_good_answer(
    ledger: CrashLedger, clock: ManualClock
):
    # It can't tell which gateways were lost before its start.
    crashed_ms = clock.now_ms()
    clock.advance(400)
    started = RequestBlocks(name='g2', clock=clock, ledger=ledger)
    for name in ('e1', 'e2', 'e3'):
        ledger.take_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=crashed_ms,
                told_by='g1',
                silent=[REQUEST],
            )
        )
    assert started.find(REQUEST) is None
    clock.advance(600)
    assert started.find(REQUEST)


def test_request_is_tried_once_after_a_minute(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    crash(ledger, clock, 'e1', 'e2', 'e3')
    assert blocks.find(REQUEST)
    clock.advance(FIRST_TRY_MS)
    assert blocks.find(REQUEST) is None
    blocks.note_sent(REQUEST)
    assert blocks.find(REQUEST)


def test_requests_beyond_the_bound_are_two_in_all(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    crash(ledger, clock, 'e1', 'e2', 'e3')
    tries = 0
    for _second in range(3600):
        clock.advance(1000)
        if blocks.find(REQUEST) is None:
            blocks.note_sent(REQUEST)
            tries += 1
            crash(ledger, clock, f'tried-{tries}')
    assert tries == 2


def test_request_that_was_served_in_its_try_is_free_again(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    crash(ledger, clock, 'e1', 'e2', 'e3')
    clock.advance(FIRST_TRY_MS)
    blocks.note_sent(REQUEST)
    ledger.note_served(REQUEST)
    assert blocks.find(REQUEST) is None
    assert blocks.count == 0


def test_one_gateway_tries_of_all_that_hear_each_other(
    ledger: CrashLedger, clock: ManualClock
):
    names = [f'g{number}' for number in range(5)]
    gateways = [
        RequestBlocks(name=name, clock=clock, ledger=ledger) for name in names
    ]
    for gateway in gateways:
        gateway.set_peers(names)
    crash(ledger, clock, 'e1', 'e2', 'e3')
    clock.advance(FIRST_TRY_MS)
    trying = [each for each in gateways if each.find(REQUEST) is None]
    assert len(trying) == 1


def test_call_without_a_fingerprint_is_never_refused(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        ledger.note_crash(
            EndpointCrash(
                endpoint=name, crashed_ms=0, told_by='g1', silent=[b'']
            )
        )
    assert blocks.find(b'') is None
