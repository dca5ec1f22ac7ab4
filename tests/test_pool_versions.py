"""Versions that the endpoints of a pool had lately."""

from __future__ import annotations

import pytest

from tests.test_stream_origin import make_endpoint
from wingfall.clock import ManualClock
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.version_record import KEPT_MS, VersionRecord

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
) -> None:
    """Let a gateway follow a list for some time."""
    endpoints = [make_endpoint(*each) for each in listed.items()]
    for _second in range(duration_ms // 1000 + 1):
        versions.update(endpoints)
        clock.advance(1000)


def make_record(revision: int, *versions: str | None) -> VersionRecord:
    """Make the history of a pool."""
    return VersionRecord(
        revision=revision, complete_ms=60_000, pools={'engines': list(versions)}
    )


@pytest.mark.parametrize('other', ['v2', None])
def test_version_that_has_just_left_is_remembered(
    versions: PoolVersions, clock: ManualClock, other: str | None
):
    follow(versions, clock, {'one': 'v1', 'two': other}, 20_000)
    follow(versions, clock, {'one': 'v1'}, 10_000)
    assert versions.list_known('engines', LIFE_MS) == {'v1', other}
    follow(versions, clock, {'one': 'v1'}, 10_000)
    assert versions.list_known('engines', LIFE_MS) == {'v1'}


def test_version_that_has_just_come_is_known_at_once(
    versions: PoolVersions, clock: ManualClock
):
    follow(versions, clock, {'one': 'v1'}, 20_000)
    versions.note_listed(make_endpoint('two', 'v2'))
    assert versions.list_known('engines', LIFE_MS) == {'v1', 'v2'}


def test_peer_names_a_version_that_has_just_left(
    versions: PoolVersions, clock: ManualClock
):
    versions.merge([('engines', 'v2', 3000), ('engines', 'v3', 60_000)])
    follow(versions, clock, {'one': 'v1'}, 1000)
    assert versions.list_known('engines', LIFE_MS) == {'v1', 'v2'}


def test_version_that_appears_in_the_history_counts_as_listed_then(
    versions: PoolVersions, clock: ManualClock
):
    versions.adopt(make_record(1, 'v1'))
    clock.advance(LIFE_MS)
    versions.adopt(make_record(2, 'v1', 'v2'))
    clock.advance(1)
    assert versions.list_known('engines', LIFE_MS) == {'v2'}
    assert versions.unlisted_ms('engines', 'v2') == 1


def test_earlier_history_that_is_read_late_changes_nothing(
    versions: PoolVersions,
):
    versions.adopt(make_record(2, 'v1', 'v2'))
    versions.adopt(make_record(1, 'v1'))
    assert versions.record is not None
    assert versions.record.pools == {'engines': ['v1', 'v2']}


def usable_of(versions: PoolVersions, **listed: str | None) -> set[str]:
    """Return the endpoints at which a new stream may begin."""
    endpoints = [make_endpoint(*each) for each in listed.items()]
    for endpoint in endpoints:
        versions.note_listed(endpoint)
    usable = versions.prefer_named('engines', endpoints)
    return {each.instance for each in usable}


def test_no_stream_begins_at_a_version_before_the_history_names_it(
    versions: PoolVersions,
):
    versions.adopt(make_record(1, 'v1'))
    assert usable_of(versions, one='v1', two='v2') == {'one'}
    versions.adopt(make_record(2, 'v1', 'v2'))
    assert usable_of(versions, one='v1', two='v2') == {'one', 'two'}


@pytest.mark.parametrize('named', [(), ('v1',)])
def test_streams_begin_at_once_where_no_usable_version_is_named(
    versions: PoolVersions, named: tuple[str, ...]
):
    versions.adopt(make_record(1, *named))
    assert usable_of(versions, two='v2') == {'two'}
    assert not versions.is_named('engines', 'v2')


def test_streams_begin_at_once_before_the_history_was_read(
    versions: PoolVersions,
):
    assert usable_of(versions, one='v1', two='v2') == {'one', 'two'}
    assert versions.awaits_history
    versions.adopt(VersionRecord())
    assert not versions.awaits_history


def test_version_that_comes_back_late_has_to_be_named_again(
    versions: PoolVersions, clock: ManualClock
):
    versions.adopt(make_record(1, 'v1', 'v2'))
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    # The history drops it later, which this gateway may not hear.
    follow(versions, clock, {'one': 'v1'}, KEPT_MS // 2 + 1000)
    assert usable_of(versions, one='v1', two='v2') == {'one'}
    versions.adopt(make_record(1, 'v1', 'v2'))
    assert usable_of(versions, one='v1', two='v2') == {'one', 'two'}


def test_gateway_that_stood_still_does_not_take_a_new_version_for_named(
    versions: PoolVersions, clock: ManualClock
):
    versions.adopt(make_record(1, 'v1'))
    follow(versions, clock, {'one': 'v1'}, 0)
    clock.advance(2 * KEPT_MS)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    assert usable_of(versions, one='v1', two='v2') == {'one'}


def test_unnamed_version_is_avoided_while_its_endpoint_may_still_serve(
    versions: PoolVersions, clock: ManualClock
):
    versions.adopt(make_record(1, 'v1'))
    endpoints = [make_endpoint('one', 'v1'), make_endpoint('two', 'v2')]
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    follow(versions, clock, {'one': 'v1'}, KEPT_MS // 2 - 2000)
    assert versions.prefer_named('engines', endpoints) == endpoints[:1]
    assert versions.unnamed == {('engines', 'v2')}
    follow(versions, clock, {'one': 'v1'}, 3000)
    assert not versions.unnamed
