"""The history of versions in the store, over the end of all gateways."""

from __future__ import annotations

from typing import Any, final

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Result, Success

from tests.test_pool_versions import follow
from wingfall.clock import ManualClock
from wingfall.errors import PlatformError
from wingfall.gateway.configuration.version_history import (
    KEPT_MS,
    MIN_COMPLETE_MS,
    VersionHistory,
)
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.object_store import StoredObject

LIFE_MS = 15_000


@final
class StoreStandIn:
    """One object that is written under conditions."""

    def __init__(self) -> None:
        self.stored: StoredObject | None = None
        self.writes = 0
        self.is_away = False

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        if self.is_away:
            return Failure(PlatformError(status=503, message='away'))
        return Success(self.stored)

    def write(
        self, name: str, spec: Any, revision: int | None
    ) -> Result[StoredObject, PlatformError]:
        known = self.stored.revision if self.stored else None
        if revision != known:
            return Failure(PlatformError(status=409, message='conflict'))
        self.writes += 1
        self.stored = StoredObject(name=name, revision=self.writes, spec=spec)
        return Success(self.stored)


@pytest.fixture
def store() -> StoreStandIn:
    """Return a store without the object."""
    return StoreStandIn()


def make_history(
    store: StoreStandIn, versions: PoolVersions, rank: int = 0
) -> VersionHistory:
    """Make the history of a gateway that may write."""
    return VersionHistory(
        store=store,
        versions=versions,
        may_write=lambda: True,
        get_rank=lambda: rank,
    )


def start(history: VersionHistory) -> None:
    """Let a gateway read the history and write what has changed."""
    stop = Event()
    running = gevent.spawn(history.run, stop)
    gevent.sleep(0.05)
    stop.set()
    running.kill()


def test_only_version_is_known_after_the_end_of_all_gateways(
    store: StoreStandIn, clock: ManualClock
):
    before = PoolVersions(clock=clock)
    follow(before, clock, {'one': 'v1'}, MIN_COMPLETE_MS)
    start(make_history(store, before))
    after = PoolVersions(clock=clock)
    start(make_history(store, after))
    follow(after, clock, {'one': 'v1'}, 0)
    assert after.has_only('engines', 'v1', LIFE_MS)


def test_version_that_has_just_left_is_known_after_the_end_of_all_gateways(
    store: StoreStandIn, clock: ManualClock
):
    before = PoolVersions(clock=clock)
    follow(before, clock, {'one': 'v1', 'two': 'v2'}, MIN_COMPLETE_MS)
    follow(before, clock, {'one': 'v1'}, 5000)
    start(make_history(store, before))
    after = PoolVersions(clock=clock)
    start(make_history(store, after))
    follow(after, clock, {'one': 'v1'}, 0)
    assert not after.has_only('engines', 'v1', LIFE_MS)


def test_new_version_is_written_at_once(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, MIN_COMPLETE_MS)
    start(make_history(store, versions))
    follow(versions, clock, {'one': 'v1', 'two': None}, 0)
    start(make_history(store, versions))
    assert store.stored is not None
    assert store.stored.spec['pools'] == {'engines': [None, 'v1']}


def test_version_is_removed_long_after_it_left(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, MIN_COMPLETE_MS)
    running = gevent.spawn(make_history(store, versions).run, Event())
    gevent.sleep(0.05)
    follow(versions, clock, {'one': 'v1'}, KEPT_MS + 2000)
    versions.has_new.set()
    gevent.sleep(0.05)
    running.kill()
    assert store.stored is not None
    assert store.stored.spec == {
        'complete_ms': KEPT_MS,
        'pools': {'engines': ['v1']},
    }


def test_version_that_another_gateway_has_just_written_is_kept(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, MIN_COMPLETE_MS)
    running = gevent.spawn(make_history(store, versions).run, Event())
    gevent.sleep(0.05)
    follow(versions, clock, {'one': 'v1'}, KEPT_MS + 2000)
    # This gateway has not heard of v3 when it removes v2.
    written = {'complete_ms': KEPT_MS, 'pools': {'engines': ['v1', 'v2', 'v3']}}
    store.write('pools', written, store.writes)
    versions.has_new.set()
    gevent.sleep(0.05)
    running.kill()
    assert store.stored is not None
    assert store.stored.spec['pools'] == {'engines': ['v1', 'v3']}


def test_gateway_that_has_just_started_writes_no_history(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, 5000)
    start(make_history(store, versions))
    assert not store.writes


def test_unchanged_history_is_not_written_again(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, MIN_COMPLETE_MS)
    for rank in (0, 0, 1):
        start(make_history(store, versions, rank))
        follow(versions, clock, {'one': 'v1'}, 1000)
    assert store.writes == 1


@pytest.mark.parametrize(
    'spec',
    [
        None,
        'text',
        {},
        {'complete_ms': 'long', 'pools': {}},
        {'complete_ms': 60_000, 'pools': []},
        {'complete_ms': 60_000, 'pools': {'engines': 'v1'}},
    ],
)
def test_history_that_can_not_be_read_tells_nothing(
    store: StoreStandIn, clock: ManualClock, spec: Any
):
    store.stored = StoredObject(name='pools', revision=1, spec=spec)
    versions = PoolVersions(clock=clock)
    start(make_history(store, versions))
    follow(versions, clock, {'one': 'v1'}, 0)
    assert not versions.has_only('engines', 'v1', LIFE_MS)


def test_store_that_is_away_at_a_start_is_asked_again(
    store: StoreStandIn, clock: ManualClock
):
    store.is_away = True
    versions = PoolVersions(clock=clock)
    start(make_history(store, versions))
    assert versions.is_loading
