"""Tests for the detection of requests that crash endpoints."""

from __future__ import annotations

import itertools
import random

import pytest

from wingfall.gateway.model.endpoint_crash import EndpointCrash
from wingfall.gateway.rules.crashes.crash_evidence import find_causes

CAUSE = b'cause'
OTHER = b'other'
# Fingerprints of prompt parts have eight bytes.
PART = b'the part'
SHARED = b'is share'
POPULAR = b'populous'


def crash(
    number: int,
    *silent: bytes,
    at_ms: int | None = None,
    streaming: tuple[bytes, ...] = (),
) -> EndpointCrash:
    """Return a crash, by default one second after the previous number."""
    return EndpointCrash(
        endpoint=f'e{number}',
        crashed_ms=number * 1000 if at_ms is None else at_ms,
        reported_by='g',
        silent=silent,
        streaming=streaming,
    )


def test_request_at_three_crashes_is_a_cause():
    crashes = [crash(number, CAUSE) for number in range(2)]
    assert not find_causes(crashes, {})
    crashes.append(crash(2, CAUSE))
    (blame,) = find_causes(crashes, {}).values()
    assert len(blame.crashes) == 3
    assert blame.late_crashes == 0
    assert blame.last_crash_ms == 2000


def test_request_at_only_some_crashes_is_not_a_cause():
    crashes = [crash(number, CAUSE, OTHER) for number in range(3)]
    crashes.append(crash(3, CAUSE))
    assert set(find_causes(crashes, {})) == {CAUSE}


def test_request_without_output_is_preferred_as_cause():
    crashes = [crash(number, CAUSE, OTHER) for number in range(2)]
    crashes.append(crash(2, CAUSE, streaming=(OTHER,)))
    assert set(find_causes(crashes, {})) == {CAUSE}


def test_cause_is_only_suspect_unless_tied_with_another():
    tied = [crash(number, CAUSE, OTHER) for number in range(3)]
    assert not any(
        each.is_only_suspect for each in find_causes(tied, {}).values()
    )
    apart = [crash(number, CAUSE) for number in range(3)]
    apart += [crash(3 + number, OTHER) for number in range(3)]
    assert all(each.is_only_suspect for each in find_causes(apart, {}).values())


def test_two_simultaneous_causes_are_both_found():
    first = [crash(number, CAUSE) for number in range(4)]
    second = [
        crash(9 + number, OTHER, at_ms=number * 1000) for number in range(3)
    ]
    assert set(find_causes([*first, *second], {})) == {CAUSE, OTHER}


def test_output_reduces_weight_beside_silent_requests():
    crashes = [crash(0, OTHER), crash(1, OTHER)]
    crashes += [
        crash(2 + number, b'n%d' % number, streaming=(OTHER,))
        for number in range(3)
    ]
    assert not find_causes(crashes, {})


def test_output_keeps_full_weight_without_silent_requests():
    crashes = [crash(number, streaming=(CAUSE,)) for number in range(3)]
    assert set(find_causes(crashes, {})) == {CAUSE}


def test_successful_answer_clears_earlier_crashes():
    crashes = [crash(number, OTHER) for number in range(5)]
    assert set(find_causes(crashes, {})) == {OTHER}
    assert not find_causes(crashes, {OTHER: 3500})


def test_served_request_needs_more_crashes():
    served_ms = {OTHER: -1}
    crashes = [crash(number, OTHER) for number in range(4)]
    assert not find_causes(crashes, served_ms)
    crashes.append(crash(4, OTHER))
    (blame,) = find_causes(crashes, served_ms).values()
    assert blame.late_crashes == 0


def test_served_request_does_not_hide_the_cause():
    crashes = [crash(number, CAUSE, OTHER) for number in range(5)]
    crashes.append(crash(5, OTHER))
    assert set(find_causes(crashes, {OTHER: -1})) == {CAUSE}


def test_popular_request_is_no_cause_when_half_a_pool_fails():
    crashes = [crash(number, OTHER, at_ms=number * 10) for number in range(6)]
    assert not find_causes(crashes, {OTHER: -1})


def test_rack_failure_yields_no_cause():
    crashes = [crash(number, at_ms=number * 10) for number in range(15)]
    for each in crashes[:3]:
        each.silent.add(OTHER)
    assert not find_causes(crashes, {})


def test_cause_is_found_despite_a_rack_failure():
    crashes = [crash(number, at_ms=number * 10) for number in range(15)]
    crashes += [crash(20 + number, CAUSE) for number in range(3)]
    assert set(find_causes(crashes, {})) == {CAUSE}


def test_one_request_can_crash_a_whole_pool_at_once():
    crashes = [crash(number, CAUSE, at_ms=number * 10) for number in range(5)]
    assert set(find_causes(crashes, {})) == {CAUSE}


def test_part_of_unlike_requests_is_a_cause():
    crashes = [crash(number, b'%d' % number, PART) for number in range(4)]
    assert not find_causes(crashes[:3], {})
    (blame,) = find_causes(crashes, {}).values()
    assert blame.is_only_suspect
    assert blame.tied_parts == {PART}


def test_part_is_a_cause_whether_or_not_output_had_begun():
    crashes = [
        crash(number, b'w%d' % number, streaming=(b'%d' % number, PART))
        for number in range(4)
    ]
    assert PART in find_causes(crashes, {})


def test_part_of_one_retried_request_is_no_cause():
    crashes = [crash(number, CAUSE, PART, SHARED) for number in range(5)]
    assert set(find_causes(crashes, {})) == {CAUSE}


def test_part_of_two_retried_requests_is_the_cause_at_the_fifth_crash():
    crashes = [crash(number, CAUSE, PART) for number in range(4)]
    crashes.append(crash(4, OTHER, PART))
    assert set(find_causes(crashes, {})) == {PART}


def test_retried_neighbour_of_a_part_that_crashes_is_no_cause():
    # A sound request and its retry were at four of five crashes.
    crashes = [crash(number, b'%d' % number, PART) for number in range(5)]
    for each in crashes[:4]:
        each.streaming.add(OTHER)
        each.silent.add(CAUSE)
    assert set(find_causes(crashes, {})) == {PART}


def test_part_that_was_served_does_not_hide_the_part_that_crashes():
    crashes = [
        crash(number, b'%d' % number, PART, POPULAR) for number in range(6)
    ]
    assert set(find_causes(crashes, {POPULAR: -1})) == {PART}


def test_part_that_turned_bad_is_a_cause_after_five_crashes():
    served_ms = {PART: 2500, POPULAR: 7500}
    crashes = [
        crash(number, b'%d' % number, PART, POPULAR) for number in range(8)
    ]
    assert not find_causes(crashes[:7], served_ms)
    assert set(find_causes(crashes, served_ms)) == {PART}


def test_popular_part_is_no_cause_when_half_a_pool_fails():
    crashes = [
        crash(number, b'%d' % number, POPULAR, at_ms=number * 10)
        for number in range(6)
    ]
    assert not find_causes(crashes, {POPULAR: -1})


def test_parts_that_came_together_are_tied():
    crashes = [
        crash(number, b'%d' % number, PART, SHARED) for number in range(4)
    ]
    causes = find_causes(crashes, {})
    assert set(causes) == {PART, SHARED}
    assert all(each.tied_parts == {PART, SHARED} for each in causes.values())
    crashes.append(crash(4, b'more', PART))
    assert set(find_causes(crashes, {})) == {PART}


def test_two_parts_that_crash_are_both_found():
    crashes = [
        crash(number, b'%d' % number, (PART, SHARED)[number % 2], POPULAR)
        for number in range(9)
    ]
    assert set(find_causes(crashes, {POPULAR: -1})) == {PART, SHARED}


def test_request_and_part_that_crash_are_both_found():
    crashes = [
        crash(number, CAUSE, SHARED, at_ms=number * 1000) for number in range(3)
    ]
    crashes += [crash(9 + number, b'%d' % number, PART) for number in range(4)]
    assert set(find_causes(crashes, {})) == {CAUSE, PART}


def _draw_crash_offsets(rng: random.Random) -> set[int]:
    """Return random offsets of the crashes at which a neighbour is present.

    A call goes to two endpoints and its caller retries it once; each time, one
    of four remaining endpoints is the next to crash.
    """
    offsets = (0, 1, 2, 3)
    present = {offsets[0]}
    present.update(each for each in offsets[1:] if rng.random() < 1 / 4)
    return present


def _crash_repeatedly(rng: random.Random, crashes: int) -> list[EndpointCrash]:
    """Return crashes by one request, with ten new neighbours at each."""
    series = [crash(number, CAUSE) for number in range(crashes)]
    for first, neighbour in itertools.product(range(crashes), range(10)):
        for present in _draw_crash_offsets(rng):
            if first + present < crashes:
                series[first + present].silent.add(
                    b'%d-%d' % (first, neighbour)
                )
    return series


@pytest.mark.parametrize(
    ('crashes', 'max_innocent'), [(3, 140), (4, 40), (5, 0), (8, 0)]
)
def test_few_retried_neighbours_are_reported_as_causes(
    crashes: int, max_innocent: int
):
    # Of 10 neighbours at each crash, in 200 series of crashes. A neighbour at
    # all crashes can't be distinguished from the cause until its next crash.
    innocent = 0
    for seed in range(200):
        series = _crash_repeatedly(random.Random(seed), crashes)
        causes = find_causes(series, {})
        assert CAUSE in causes
        innocent += len(causes) - 1
    assert innocent <= max_innocent
