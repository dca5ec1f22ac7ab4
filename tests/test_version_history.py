"""The history of versions in the store, over the end of all gateways."""

from __future__ import annotations

from typing import Any, Callable, final

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Result, Success

from tests.local_site import wait_until
from tests.test_pool_versions import follow
from tests.test_stream_origin import make_endpoint
from wingfall.clock import Clock, ManualClock
from wingfall.errors import PlatformError
from wingfall.gateway.configuration.version_history import (
    KEPT_MS,
    MIN_COMPLETE_MS,
    VersionHistory,
)
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.object_store import StoredObject
from wingfall.gateway.model.version_record import VersionRecord
from wingfall.metrics import Metrics

LIFE_MS = 15_000
# Long after a version left, and a gateway began to follow the store.
LONG_MS = 2 * KEPT_MS


@final
class StoreStandIn:
    """One object that is written under conditions."""

    def __init__(self) -> None:
        self.stored: StoredObject | None = None
        self.writes = 0
        self.is_away = False
        self.refuses_writes = False
        self.loses_answers = False
        # Called before a write, as another gateway writes.
        self.before_write: Callable[[], None] = lambda: None

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        if self.is_away:
            return Failure(PlatformError(status=503, message='away'))
        return Success(self.stored)

    def write(
        self, name: str, spec: Any, revision: int | None
    ) -> Result[StoredObject, PlatformError]:
        self.before_write()
        if self.refuses_writes:
            return Failure(PlatformError(status=429, message='too many'))
        known = self.stored.revision if self.stored else None
        if revision != known:
            return Failure(PlatformError(status=409, message='conflict'))
        self.writes += 1
        self.stored = StoredObject(name=name, revision=self.writes, spec=spec)
        if self.loses_answers:
            return Failure(PlatformError(status=0, message='timed out'))
        return Success(self.stored)


@pytest.fixture
def store() -> StoreStandIn:
    """Return a store without the object."""
    return StoreStandIn()


def make_history(
    store: StoreStandIn,
    versions: PoolVersions,
    rank: int = 0,
    followed_ms: int = LONG_MS,
    *,
    may_write: bool = True,
    announced: list[VersionRecord] | None = None,
) -> VersionHistory:
    """Make the history of a gateway that may write."""
    announced = [] if announced is None else announced
    return VersionHistory(
        store=store,
        clock=Clock(),
        metrics=Metrics(),
        versions=versions,
        announce=announced.append,
        may_write=lambda: may_write,
        get_followed_ms=lambda: followed_ms,
        get_rank=lambda: rank,
    )


def start(history: VersionHistory) -> None:
    """Let a gateway read the history and write what has changed."""
    stop = Event()
    running = gevent.spawn(history.run, stop)
    gevent.sleep(0.05)
    stop.set()
    running.kill()


def read(store: StoreStandIn) -> dict[str, Any]:
    """Return what the history says."""
    assert store.stored is not None
    return store.stored.spec


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
    assert read(store)['pools'] == {'engines': ['v1', 'v2']}
    assert after.list_known('engines', LIFE_MS) == {'v1', 'v2'}


def test_new_version_is_written_at_once(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, MIN_COMPLETE_MS)
    start(make_history(store, versions))
    follow(versions, clock, {'one': 'v1', 'two': None}, 0)
    start(make_history(store, versions))
    assert read(store)['pools'] == {'engines': [None, 'v1']}


def test_version_that_left_at_once_is_named_all_the_same(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    versions.note_listed(make_endpoint('two', 'v2'))
    follow(versions, clock, {'one': 'v1'}, 5000)
    start(make_history(store, versions))
    assert read(store)['pools'] == {'engines': ['v1', 'v2']}


def test_version_is_removed_long_after_it_left(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, MIN_COMPLETE_MS)
    running = gevent.spawn(make_history(store, versions).run, Event())
    gevent.sleep(0.05)
    follow(versions, clock, {'one': 'v1'}, LONG_MS)
    versions.has_new.set()
    gevent.sleep(0.05)
    running.kill()
    assert read(store) == {
        'complete_ms': KEPT_MS,
        'pools': {'engines': ['v1']},
    }


def test_version_is_named_until_the_last_read_for_its_streams(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    start(make_history(store, versions))
    # It left just before the next look at the list; a call that arrives at the
    # end of its streams' life reads the object half a second later.
    clock.advance(KEPT_MS + 1000)
    follow(versions, clock, {'one': 'v1'}, 0)
    start(make_history(store, versions))
    assert read(store)['pools'] == {'engines': ['v1', 'v2']}


def test_version_that_another_gateway_has_just_written_is_kept(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, MIN_COMPLETE_MS)
    running = gevent.spawn(make_history(store, versions).run, Event())
    gevent.sleep(0.05)
    follow(versions, clock, {'one': 'v1'}, LONG_MS)
    # This gateway has not heard of v3 when it removes v2.
    written = {'complete_ms': KEPT_MS, 'pools': {'engines': ['v1', 'v2', 'v3']}}
    store.write('pools', written, store.writes)
    versions.has_new.set()
    gevent.sleep(0.05)
    running.kill()
    assert read(store)['pools'] == {'engines': ['v1', 'v3']}


def test_gateway_that_has_not_followed_the_store_removes_no_version(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    start(make_history(store, versions))
    # It was cut off and has not heard that v2 came back.
    follow(versions, clock, {'one': 'v1'}, LONG_MS)
    start(make_history(store, versions, followed_ms=KEPT_MS))
    assert read(store)['pools'] == {'engines': ['v1', 'v2']}


@pytest.mark.parametrize(
    ('followed_ms', 'complete_ms'),
    [
        (0, 0),
        (MIN_COMPLETE_MS - 1, 0),
        (MIN_COMPLETE_MS, MIN_COMPLETE_MS),
        (KEPT_MS, KEPT_MS),
        (10 * KEPT_MS, KEPT_MS),
    ],
)
def test_history_claims_no_time_that_its_writer_has_not_followed(
    store: StoreStandIn,
    clock: ManualClock,
    followed_ms: int,
    complete_ms: int,
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, 0)
    start(make_history(store, versions, followed_ms=followed_ms))
    assert read(store) == {
        'complete_ms': complete_ms,
        'pools': {'engines': ['v1']},
    }


def test_claim_of_the_history_stays_after_the_end_of_all_gateways(
    store: StoreStandIn, clock: ManualClock
):
    before = PoolVersions(clock=clock)
    follow(before, clock, {'one': 'v1'}, 0)
    start(make_history(store, before))
    after = PoolVersions(clock=clock)
    follow(after, clock, {'one': 'v1', 'two': 'v2'}, 0)
    start(make_history(store, after, followed_ms=0))
    assert read(store) == {
        'complete_ms': KEPT_MS,
        'pools': {'engines': ['v1', 'v2']},
    }


def test_unchanged_history_is_not_written_again(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, MIN_COMPLETE_MS)
    for rank in (0, 0, 1):
        start(make_history(store, versions, rank))
        follow(versions, clock, {'one': 'v1'}, 1000)
    assert store.writes == 1


def test_version_of_no_name_and_an_empty_one_are_not_written_in_turns(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': '', 'two': None}, 0)
    for _start in range(3):
        start(make_history(store, versions))
    assert store.writes == 1
    assert read(store)['pools'] == {'engines': [None, '']}


def test_store_that_is_away_at_a_start_is_asked_again(
    store: StoreStandIn, clock: ManualClock
):
    store.is_away = True
    versions = PoolVersions(clock=clock)
    running = gevent.spawn(make_history(store, versions).run, Event())
    gevent.sleep(0.05)
    assert versions.record is None
    store.is_away = False
    wait_until(lambda: versions.record is not None)
    running.kill()


def test_other_gateways_are_told_what_was_written(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, 0)
    announced: list[VersionRecord] = []
    start(make_history(store, versions, announced=announced))
    assert [each.names for each in announced] == [{('engines', 'v1')}]
    assert not versions.unnamed


def test_version_of_which_no_gateway_tells_is_looked_for_in_the_store(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    history = make_history(store, versions, may_write=False)
    running = gevent.spawn(history.run, Event())
    gevent.sleep(0.05)
    # Another gateway has written it, and its message was lost.
    spec = {'complete_ms': KEPT_MS, 'pools': {'engines': ['v1']}}
    store.write('pools', spec, None)
    follow(versions, clock, {'one': 'v1'}, 0)
    assert versions.unnamed
    wait_until(lambda: not versions.unnamed)
    running.kill()


def test_new_version_is_written_at_once_beside_another_writer(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, 0)

    def write_first() -> None:
        spec = {'complete_ms': 0, 'pools': {'engines': ['v2']}}
        store.before_write = lambda: None
        store.write('pools', spec, None)

    store.before_write = write_first
    start(make_history(store, versions))
    assert read(store)['pools'] == {'engines': ['v1', 'v2']}


def test_version_that_another_writer_dropped_is_named_again(
    store: StoreStandIn, clock: ManualClock
):
    # As a gateway of an earlier release does, which tells nobody.
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    running = gevent.spawn(make_history(store, versions).run, Event())
    wait_until(lambda: store.writes == 1)
    spec = {'complete_ms': 0, 'pools': {'engines': ['v1']}}
    store.write('pools', spec, 1)
    wait_until(lambda: read(store)['pools'] == {'engines': ['v1', 'v2']})
    running.kill()


def test_version_is_not_named_while_the_store_refuses_writes(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, 0)
    start(make_history(store, versions))
    store.refuses_writes = True
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    start(make_history(store, versions))
    assert versions.unnamed == {('engines', 'v2')}
    store.refuses_writes = False
    start(make_history(store, versions))
    assert not versions.unnamed


def test_version_is_named_though_the_answer_of_its_write_was_lost(
    store: StoreStandIn, clock: ManualClock
):
    versions = PoolVersions(clock=clock)
    follow(versions, clock, {'one': 'v1'}, 0)
    store.loses_answers = True
    running = gevent.spawn(make_history(store, versions).run, Event())
    gevent.sleep(0.05)
    assert store.writes == 1
    assert versions.unnamed
    wait_until(lambda: not versions.unnamed)
    running.kill()
    assert store.writes == 1
