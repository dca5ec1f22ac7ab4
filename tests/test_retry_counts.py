"""Tests of the counts of retries by arrivals at endpoints."""

from __future__ import annotations

import itertools

from tools.soak.retry_bound import RetryBound, find_repeats, find_worst_window

TEN_REQUESTS = tuple(itertools.repeat(5, 10))
BOUND = RetryBound(ratio=0.2, slack=2, window_s=10)


def test_first_arrival_of_a_request_is_no_retry():
    arrivals = [(3, 'b'), (1, 'a'), (2, 'a'), (4, 'a')]
    assert find_repeats(arrivals) == [2, 4]


def test_window_with_the_greatest_excess_is_found():
    worst = find_worst_window(TEN_REQUESTS, [4, 4, 4, 30, 30, 30, 30], BOUND)
    assert worst is not None
    assert (worst.retries, worst.requests, worst.allowed) == (4, 0, 2)
    assert worst.excess == 2


def test_requests_of_the_window_before_count():
    worst = find_worst_window(TEN_REQUESTS, [14.5, 14.5, 14.5, 14.5], BOUND)
    assert worst is not None
    assert worst.allowed == 4


def test_window_does_not_include_its_end():
    worst = find_worst_window([], [10, 20], BOUND)
    assert worst is not None
    assert worst.retries == 1


def test_pool_without_retries_has_no_worst_window():
    assert find_worst_window([1, 2], [], BOUND) is None
