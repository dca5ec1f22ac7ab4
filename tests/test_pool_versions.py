"""Versions that the endpoints of a pool had lately."""

from __future__ import annotations

import pytest

from tests.test_stream_origin import make_endpoint
from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.pool_versions import PoolVersions

LIFE_MS = 15_000


@pytest.fixture
def versions(clock: ManualClock) -> PoolVersions:
    """Return the versions of a gateway that has just started."""
    return PoolVersions(clock=clock)


def follow(
    versions: PoolVersions,
    clock: ManualClock,
    listed: dict[str, str | None],
    duration_ms: int,
    *,
    is_current: bool = True,
) -> None:
    """Let a gateway follow a list for some time."""
    endpoints = [make_endpoint(*each) for each in listed.items()]
    for _second in range(duration_ms // 1000 + 1):
        versions.update(endpoints, is_current=is_current)
        clock.advance(1000)


def test_only_version_is_known_after_the_life_of_a_stream(
    versions: PoolVersions, clock: ManualClock
):
    follow(versions, clock, {'one': 'v1'}, 10_000)
    assert not versions.has_only('engines', 'v1', LIFE_MS)
    follow(versions, clock, {'one': 'v1'}, 10_000)
    assert versions.has_only('engines', 'v1', LIFE_MS)
    assert not versions.has_only('engines', 'v2', LIFE_MS)


@pytest.mark.parametrize('other', ['v2', None])
def test_version_that_has_just_left_is_remembered(
    versions: PoolVersions, clock: ManualClock, other: str | None
):
    follow(versions, clock, {'one': 'v1', 'two': other}, 20_000)
    follow(versions, clock, {'one': 'v1'}, 10_000)
    assert not versions.has_only('engines', 'v1', LIFE_MS)
    follow(versions, clock, {'one': 'v1'}, 10_000)
    assert versions.has_only('engines', 'v1', LIFE_MS)


def test_version_that_has_just_come_is_known_at_once(
    versions: PoolVersions, clock: ManualClock
):
    follow(versions, clock, {'one': 'v1'}, 20_000)
    versions.note_listed(make_endpoint('two', 'v2'))
    assert not versions.has_only('engines', 'v1', LIFE_MS)


def test_gateway_that_was_cut_off_does_not_know(
    versions: PoolVersions, clock: ManualClock
):
    follow(versions, clock, {'one': 'v1'}, 20_000)
    follow(versions, clock, {'one': 'v1'}, 5000, is_current=False)
    follow(versions, clock, {'one': 'v1'}, 5000)
    assert not versions.has_only('engines', 'v1', LIFE_MS)


def test_gateway_that_starts_learns_from_a_peer(
    versions: PoolVersions, clock: ManualClock
):
    versions.merge([('engines', 'v1', 0), ('engines', 'v2', 60_000)], 90_000)
    follow(versions, clock, {'one': 'v1'}, 1000)
    assert versions.has_only('engines', 'v1', LIFE_MS)


def test_peer_names_a_version_that_has_just_left(
    versions: PoolVersions, clock: ManualClock
):
    versions.merge([('engines', 'v2', 3000)], 90_000)
    follow(versions, clock, {'one': 'v1'}, 1000)
    assert not versions.has_only('engines', 'v1', LIFE_MS)


def test_old_report_of_a_peer_does_not_cover_a_cut(
    versions: PoolVersions, clock: ManualClock
):
    versions.merge([('engines', 'v1', 0)], 90_000)
    follow(versions, clock, {}, 20_000, is_current=False)
    follow(versions, clock, {'one': 'v1'}, 1000)
    assert not versions.has_only('engines', 'v1', LIFE_MS)
