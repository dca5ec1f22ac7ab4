"""What endpoints do, and how long it counts."""

from __future__ import annotations

import math

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.endpoint_health import EndpointHealth, Outcomes


def test_unreachable_endpoint_is_out_for_a_time_that_doubles(
    clock: ManualClock,
):
    health = EndpointHealth(clock=clock)
    health.note_unreachable('one')
    assert health.is_out('one')
    clock.advance(500)
    assert not health.is_out('one')
    health.note_unreachable('one')
    clock.advance(500)
    assert health.is_out('one')
    clock.advance(500)
    assert not health.is_out('one')


def test_success_ends_it(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.note_unreachable('one')
    health.note_success('one')
    assert not health.is_out('one')


def test_failures_add_up_and_fade(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    for _failure in range(5):
        health.note_failure('one')
    failing = health.failing('one')
    assert round(failing * 10) == 7
    clock.advance(5000)
    assert math.isclose(health.failing('one'), failing / 2)
    assert not health.failing('two')


def test_endpoints_that_left_are_forgotten(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.note_unreachable('one')
    health.forget(set())
    assert not health.is_out('one')


def test_success_long_after_does_not_revive_failures(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    for _failure in range(5):
        health.note_failure('one')
    clock.advance(60_000)
    health.note_success('one')
    assert not round(health.failing('one') * 100)


def test_peers_tell_of_failures(clock: ManualClock):
    told, hearing = (EndpointHealth(clock=clock) for _router in range(2))
    told.note_success('one')
    for _failure in range(6):
        told.note_failure('one')
    told.note_success('one')
    unsent = told.take_unsent()
    assert (unsent['one'].failed, unsent['one'].served) == (6, 1)
    assert not told.take_unsent()
    hearing.take_from_peer('one', unsent['one'])
    assert told.failing('one') > hearing.failing('one')
    assert round(hearing.failing('one') * 10) == 4


def test_what_peers_are_served_ends_failures(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.take_from_peer('one', Outcomes(failed=10))
    failing = health.failing('one')
    health.take_from_peer('one', Outcomes(served=10))
    assert health.failing('one') < failing / 2
    health.take_from_peer('two', Outcomes(served=10))
    assert not health.failing('two')


def test_what_is_heard_is_not_told_again(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.take_from_peer('one', Outcomes(failed=3))
    assert not health.take_unsent()
