"""Tests of retry times and tier order of deferred calls."""

from __future__ import annotations

from wingfall.gateway.rules.admission.held_calls import (
    AdmissionSlots,
    DeferredCalls,
)

POOL = 'engines'
SLOTS = AdmissionSlots(first_ms=300, interval_ms=500)


def test_each_deferred_call_gets_its_own_slot():
    deferred = DeferredCalls()
    delays_ms = [deferred.defer(POOL, 0, SLOTS, 1000) for _call in range(4)]
    assert delays_ms == [300, 800, 1300, 1800]
    # Half a second later the first two slots have passed.
    assert deferred.defer(POOL, 0, SLOTS, 1500) == 1800


def test_each_pool_has_its_own_slots():
    deferred = DeferredCalls()
    deferred.defer(POOL, 0, SLOTS, 1000)
    assert deferred.defer('plain', 0, SLOTS, 1000) == 300


def test_burst_does_not_defer_callers_for_long():
    deferred = DeferredCalls()
    delays_ms = [deferred.defer(POOL, 0, SLOTS, 1000) for _call in range(1000)]
    assert max(delays_ms) <= 10_300
    assert deferred.defer(POOL, 0, SLOTS, 30_000) == 300


def test_free_capacity_is_reserved_for_a_more_urgent_tier():
    deferred = DeferredCalls()
    deferred.defer(POOL, 1, SLOTS, 1000)
    assert deferred.must_yield(POOL, 2, 1001)
    assert not deferred.must_yield(POOL, 1, 1001)
    assert not deferred.must_yield(POOL, 0, 1001)
    assert not deferred.must_yield('plain', 2, 1001)
    # By then the deferred call was retried or is not retried any more.
    assert not deferred.must_yield(POOL, 2, 3000)
