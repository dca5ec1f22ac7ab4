"""Calls that a pool holds off: who goes first, and when they come back."""

from __future__ import annotations

from wingfall.gateway.rules.admission.held_calls import HeldCalls, Opening

POOL = 'engines'
OPENING = Opening(first_ms=300, every_ms=500)


def test_each_is_told_a_time_of_its_own():
    held = HeldCalls()
    told = [held.hold(POOL, 0, OPENING, 1000) for _call in range(4)]
    assert told == [300, 800, 1300, 1800]
    # Half a second later the first two have passed.
    assert held.hold(POOL, 0, OPENING, 1500) == 1800


def test_pools_are_told_apart():
    held = HeldCalls()
    held.hold(POOL, 0, OPENING, 1000)
    assert held.hold('plain', 0, OPENING, 1000) == 300


def test_crowd_does_not_turn_callers_away_for_long():
    held = HeldCalls()
    told = [held.hold(POOL, 0, OPENING, 1000) for _call in range(1000)]
    assert max(told) <= 10_300
    assert held.hold(POOL, 0, OPENING, 30_000) == 300


def test_what_is_free_is_kept_for_a_more_urgent_tier():
    held = HeldCalls()
    held.hold(POOL, 1, OPENING, 1000)
    assert held.gives_way(POOL, 2, 1001)
    assert not held.gives_way(POOL, 1, 1001)
    assert not held.gives_way(POOL, 0, 1001)
    assert not held.gives_way('plain', 2, 1001)
    # It has come back by then, or doesn't come any more.
    assert not held.gives_way(POOL, 2, 3000)
