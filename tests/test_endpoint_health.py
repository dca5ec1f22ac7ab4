"""What endpoints do, and how long it counts."""

from __future__ import annotations

import math

from wingfall.clock import ManualClock
from wingfall.decision.endpoint_health import EndpointHealth


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
