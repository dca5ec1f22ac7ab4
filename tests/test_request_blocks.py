"""Tests for the blocking and the trials of requests that crash endpoints."""

from __future__ import annotations

import pytest

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.crash_ledger import CrashLedger
from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.rules.crashes.request_blocks import RequestBlocks

REQUEST = b'r'
POPULAR = b'popular'
# Fingerprints of prompt parts have eight bytes.
PART = b'the part'
SHARED = b'is share'
SYSTEM = b'a system'
FIRST_TRIAL_MS = 60_000
SECOND_TRIAL_MS = 600_000


def record_crashes(
    ledger: CrashLedger, clock: ManualClock, *names: str
) -> None:
    """Record that the request crashes some endpoints."""
    for name in names:
        ledger.note_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=clock.now_ms(),
                reported_by='g1',
                silent=[REQUEST],
            )
        )


@pytest.fixture
def ledger(clock: ManualClock) -> CrashLedger:
    """Return an empty ledger."""
    return CrashLedger(clock=clock)


@pytest.fixture
def blocks(clock: ManualClock, ledger: CrashLedger) -> RequestBlocks:
    """Return the request blocks of a single gateway."""
    return RequestBlocks(name='g1', clock=clock, ledger=ledger)


def test_request_is_refused_after_three_crashes(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_crashes(ledger, clock, 'e1', 'e2')
    assert blocks.find_block(REQUEST) is None
    record_crashes(ledger, clock, 'e3')
    block = blocks.find_block(REQUEST)
    assert block is not None
    assert block.retry_after_ms == FIRST_TRIAL_MS
    assert blocks.find_block(b'other') is None
    assert blocks.count == 1


def test_tied_requests_are_sent_for_one_second(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    other = b'was there too'
    for name in ('e1', 'e2', 'e3'):
        ledger.note_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=clock.now_ms(),
                reported_by='g1',
                silent=[REQUEST, other],
            )
        )
    assert blocks.find_block(REQUEST) is None
    assert blocks.find_block(other) is None
    # A successful answer clears one of the two.
    ledger.note_served(other)
    assert blocks.find_block(REQUEST)
    assert blocks.find_block(other) is None


def test_tied_requests_are_refused_after_one_second(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        ledger.note_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=clock.now_ms(),
                reported_by='g1',
                silent=[REQUEST, b'was there too'],
            )
        )
    clock.advance(999)
    assert blocks.find_block(REQUEST) is None
    clock.advance(1)
    assert blocks.find_block(REQUEST)
    assert blocks.find_block(b'was there too')


def record_crash(
    ledger: CrashLedger, clock: ManualClock, name: str, *requests: bytes
) -> None:
    """Record a crash of an endpoint with some requests."""
    ledger.note_crash(
        EndpointCrash(
            endpoint=name,
            crashed_ms=clock.now_ms(),
            reported_by='g1',
            silent=requests,
        )
    )


def record_incomplete_crash(ledger: CrashLedger, clock: ManualClock) -> None:
    """Record three crashes; at the third only a popular request is known.

    The gateway that sent the crashing request there is lost before it reports
    that. No endpoint has answered the popular request yet.
    """
    for name in ('e1', 'e2'):
        record_crash(ledger, clock, name, REQUEST, POPULAR)
        clock.advance(200)
    record_crash(ledger, clock, 'e3', POPULAR)
    clock.advance(40)
    ledger.note_gateway_lost('g2')


def test_incomplete_crash_does_not_block_popular_request(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_incomplete_crash(ledger, clock)
    assert blocks.find_block(POPULAR) is None
    clock.advance(370)
    assert blocks.find_block(POPULAR) is None
    ledger.note_served(POPULAR)
    clock.advance(1000)
    assert blocks.find_block(POPULAR) is None


def test_cause_is_found_after_an_incomplete_crash(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_incomplete_crash(ledger, clock)
    clock.advance(500)
    record_crash(ledger, clock, 'e4', REQUEST, POPULAR)
    clock.advance(150)
    assert blocks.find_block(REQUEST) is None
    record_crash(ledger, clock, 'e5', REQUEST)
    assert blocks.find_block(REQUEST)
    assert blocks.find_block(POPULAR) is None


def test_repeated_gateway_losses_do_not_postpone_refusal(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        record_crash(ledger, clock, name, REQUEST)
        ledger.note_gateway_lost('g2')
        clock.advance(250)
    assert blocks.find_block(REQUEST) is None
    # Further incomplete crashes do not postpone the refusal.
    record_crash(ledger, clock, 'e4', REQUEST)
    ledger.note_gateway_lost('g2')
    clock.advance(750)
    assert blocks.find_block(REQUEST)


def test_tied_requests_are_refused_despite_gateway_losses(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        record_crash(ledger, clock, name, REQUEST, POPULAR)
    for number in range(4):
        assert blocks.find_block(REQUEST) is None
        record_crash(ledger, clock, f'l{number}', REQUEST)
        ledger.note_gateway_lost('g2')
        clock.advance(250)
    assert blocks.find_block(REQUEST)


def test_gateway_started_after_crashes_delays_refusal(
    ledger: CrashLedger, clock: ManualClock
):
    # The gateway does not know which gateways were lost before its start.
    crashed_ms = clock.now_ms()
    clock.advance(400)
    started = RequestBlocks(name='g2', clock=clock, ledger=ledger)
    for name in ('e1', 'e2', 'e3'):
        ledger.merge_crash(
            EndpointCrash(
                endpoint=name,
                crashed_ms=crashed_ms,
                reported_by='g1',
                silent=[REQUEST],
            )
        )
    assert started.find_block(REQUEST) is None
    clock.advance(600)
    assert started.find_block(REQUEST)


def test_blocked_request_gets_one_trial_after_a_minute(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_crashes(ledger, clock, 'e1', 'e2', 'e3')
    assert blocks.find_block(REQUEST)
    clock.advance(FIRST_TRIAL_MS)
    assert blocks.find_block(REQUEST) is None
    blocks.note_sent(REQUEST)
    assert blocks.find_block(REQUEST)


def test_blocked_request_gets_two_trials_at_most(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_crashes(ledger, clock, 'e1', 'e2', 'e3')
    trials = 0
    for _second in range(3600):
        clock.advance(1000)
        if blocks.find_block(REQUEST) is None:
            blocks.note_sent(REQUEST)
            trials += 1
            record_crashes(ledger, clock, f'tried-{trials}')
    assert trials == 2


def test_request_served_in_its_trial_is_unblocked(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_crashes(ledger, clock, 'e1', 'e2', 'e3')
    clock.advance(FIRST_TRIAL_MS)
    blocks.note_sent(REQUEST)
    ledger.note_served(REQUEST)
    assert blocks.find_block(REQUEST) is None
    assert blocks.count == 0


def test_only_one_connected_gateway_makes_the_trial(
    ledger: CrashLedger, clock: ManualClock
):
    names = [f'g{number}' for number in range(5)]
    gateways = [
        RequestBlocks(name=name, clock=clock, ledger=ledger) for name in names
    ]
    for gateway in gateways:
        gateway.set_peers(names)
    record_crashes(ledger, clock, 'e1', 'e2', 'e3')
    clock.advance(FIRST_TRIAL_MS)
    allowing = [each for each in gateways if each.find_block(REQUEST) is None]
    assert len(allowing) == 1


def test_call_without_a_fingerprint_is_never_refused(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for name in ('e1', 'e2', 'e3'):
        ledger.note_crash(
            EndpointCrash(
                endpoint=name, crashed_ms=0, reported_by='g1', silent=[b'']
            )
        )
    assert blocks.find_block(b'') is None


def record_part_crashes(
    ledger: CrashLedger, clock: ManualClock, count: int, *parts: bytes
) -> None:
    """Record crashes by unlike requests that share some parts."""
    for _crash in range(count):
        number = len(ledger.crashes)
        request = b'r%d' % number
        record_crash(ledger, clock, f'e{number}', request, *parts)
        clock.advance(100)


def test_unlike_requests_with_a_part_that_crashes_are_refused(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    ledger.note_served(b'before', [SYSTEM])
    record_part_crashes(ledger, clock, 3, SYSTEM, PART)
    assert blocks.find_block(b'new', [SYSTEM, PART]) is None
    record_part_crashes(ledger, clock, 1, SYSTEM, PART)
    block = blocks.find_block(b'new', [SYSTEM, PART])
    assert block is not None
    assert block.cause == PART
    assert blocks.find_block(b'sound', [SYSTEM, SHARED]) is None
    assert (blocks.count, blocks.part_count) == (0, 1)


def test_prompts_with_one_of_two_tied_parts_are_sent(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_part_crashes(ledger, clock, 4, SHARED, PART)
    clock.advance(3000)
    assert blocks.find_block(b'new', [SHARED, PART])
    assert blocks.find_block(b'sound', [SHARED]) is None
    assert blocks.find_block(b'bad', [PART]) is None
    # A good answer to one of them shows that the other is the cause.
    ledger.note_served(b'sound', [SHARED])
    assert blocks.find_block(b'bad', [PART])
    assert blocks.find_block(b'sound', [SHARED]) is None


def test_crash_with_one_of_two_tied_parts_shows_the_cause(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_part_crashes(ledger, clock, 4, SHARED, PART)
    clock.advance(1000)
    record_part_crashes(ledger, clock, 1, PART)
    assert blocks.find_block(b'bad', [PART])
    assert blocks.find_block(b'sound', [SHARED]) is None


def test_blocked_part_gets_two_trials_of_all_requests_in_a_day(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    # More engines than needed crashed before all gateways knew.
    record_part_crashes(ledger, clock, 12, PART)
    trials = 0
    for second in range(20_000):
        clock.advance(4000)
        request = b'n%d' % second
        if blocks.find_block(request, [PART]) is None:
            blocks.note_sent(request, [PART])
            assert blocks.find_block(b'beside it', [PART])
            trials += 1
            record_crash(ledger, clock, f'tried-{trials}', request, PART)
    assert trials == 2


def test_part_served_in_its_trial_is_unblocked(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_part_crashes(ledger, clock, 12, PART)
    clock.advance(FIRST_TRIAL_MS)
    assert blocks.find_block(b'trial', [PART]) is None
    blocks.note_sent(b'trial', [PART])
    ledger.note_served(b'trial', [PART])
    assert blocks.find_block(b'next', [PART]) is None
    assert blocks.part_count == 0


def test_popular_part_blocked_for_two_other_causes_is_soon_tried(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    # No prompt was served yet, so all prompts were refused for a minute.
    for number, cause in enumerate((REQUEST, PART) * 2):
        record_crash(ledger, clock, f'e{number}', cause, SYSTEM)
        clock.advance(50)
    sound = [SYSTEM]
    assert blocks.find_block(b'sound', sound)
    clock.advance(1000)
    # A prompt with another suspect part would tell nothing.
    assert blocks.find_block(b'bad', [SYSTEM, PART])
    assert blocks.find_block(b'sound', sound) is None
    blocks.note_sent(b'sound', sound)
    assert blocks.find_block(b'sound', sound)
    ledger.note_served(b'sound', sound)
    assert blocks.find_block(b'sound', sound) is None


def test_early_trial_ends_before_all_gateways_must_know(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_part_crashes(ledger, clock, 4, PART)
    clock.advance(1000)
    assert blocks.find_block(b'new', [PART]) is None
    clock.advance(1500)
    assert blocks.find_block(b'new', [PART])


def test_part_that_crashes_is_tried_three_times_in_a_day(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    # Once before all gateways must know, and twice after.
    record_part_crashes(ledger, clock, 4, PART)
    crashed_ms, tried_ms = clock.now_ms(), []
    for number in range(80_000):
        clock.advance(20 if number < 2000 else 1000)
        if blocks.find_block(b'n%d' % number, [PART]) is None:
            blocks.note_sent(b'n%d' % number, [PART])
            record_crash(ledger, clock, f'tried-{number}', PART)
            tried_ms.append(clock.now_ms() - crashed_ms)
    early, *late = tried_ms
    assert early < 2500
    assert len(late) == 2


def test_part_of_a_pool_without_endpoints_is_tried_after_ten_seconds(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    record_part_crashes(ledger, clock, 4, SYSTEM)
    clock.advance(9800)
    assert blocks.find_block(b'sound', [SYSTEM])
    clock.advance(200)
    assert blocks.find_block(b'sound', [SYSTEM]) is None


def test_request_tied_with_a_part_that_it_lacks_is_refused(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    for number in range(4):
        record_crash(ledger, clock, f'e{number}', REQUEST, b'r%d' % number)
        ledger.merge_crash(
            EndpointCrash(
                endpoint=f'e{number}',
                crashed_ms=clock.now_ms(),
                reported_by='g2',
                silent=[PART],
            )
        )
        clock.advance(100)
    record_crash(ledger, clock, 'e4', REQUEST, b'r4')
    record_crash(ledger, clock, 'e5', b'r5', PART)
    clock.advance(1000)
    assert blocks.find_block(REQUEST)


def test_part_that_a_third_of_the_prompts_share_is_not_blocked(
    blocks: RequestBlocks, ledger: CrashLedger, clock: ManualClock
):
    # All prompts were refused for seconds after crashes of two other causes.
    for number in range(30):
        blocks.note_prompt([SYSTEM if number % 3 else SHARED, b'%08d' % number])
    blocks.note_prompt([PART])
    record_part_crashes(ledger, clock, 9, SYSTEM, SHARED, PART)
    record_part_crashes(ledger, clock, 1, SYSTEM)
    record_part_crashes(ledger, clock, 8, PART)
    assert blocks.find_block(b'sound', [SYSTEM]) is None
    assert blocks.find_block(b'bad', [SYSTEM, PART])
