"""Tests of ejections, failure rates and their decay."""

from __future__ import annotations

import math

from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.endpoint_health import EndpointHealth, Outcomes


def test_ejection_time_of_unreachable_endpoint_doubles(
    clock: ManualClock,
):
    health = EndpointHealth(clock=clock)
    health.note_unreachable('one')
    assert health.is_ejected('one')
    clock.advance(500)
    assert not health.is_ejected('one')
    health.note_unreachable('one')
    clock.advance(500)
    assert health.is_ejected('one')
    clock.advance(500)
    assert not health.is_ejected('one')


def test_success_ends_an_ejection(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.note_unreachable('one')
    health.note_success('one')
    assert not health.is_ejected('one')


def test_failure_rate_rises_and_decays(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    for _failure in range(5):
        health.note_failure('one')
    failure_rate = health.failure_rate('one')
    assert round(failure_rate * 10) == 7
    clock.advance(5000)
    assert math.isclose(health.failure_rate('one'), failure_rate / 2)
    assert not health.failure_rate('two')


def test_removed_endpoints_are_dropped(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.note_unreachable('one')
    health.retain_only(set())
    assert not health.is_ejected('one')


def test_success_long_after_does_not_revive_failures(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    for _failure in range(5):
        health.note_failure('one')
    clock.advance(60_000)
    health.note_success('one')
    assert not round(health.failure_rate('one') * 100)


def test_failures_are_reported_to_peers(clock: ManualClock):
    reporter, receiver = (EndpointHealth(clock=clock) for _gateway in range(2))
    reporter.note_success('one')
    for _failure in range(6):
        reporter.note_failure('one')
    reporter.note_success('one')
    unreported = reporter.take_unreported()
    assert (unreported['one'].failed, unreported['one'].served) == (6, 1)
    assert not reporter.take_unreported()
    receiver.merge_from_peer('one', unreported['one'])
    assert reporter.failure_rate('one') > receiver.failure_rate('one')
    assert round(receiver.failure_rate('one') * 10) == 4


def test_successes_of_peers_reduce_the_failure_rate(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.merge_from_peer('one', Outcomes(failed=10))
    failure_rate = health.failure_rate('one')
    health.merge_from_peer('one', Outcomes(served=10))
    assert health.failure_rate('one') < failure_rate / 2
    health.merge_from_peer('two', Outcomes(served=10))
    assert not health.failure_rate('two')


def test_outcomes_from_peers_are_not_reported_again(clock: ManualClock):
    health = EndpointHealth(clock=clock)
    health.merge_from_peer('one', Outcomes(failed=3))
    assert not health.take_unreported()
