"""The origins of streams in the store, over the end of all gateways."""

from __future__ import annotations

import base64
import http
import itertools
from typing import TYPE_CHECKING, Any, Callable, final

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Result, Success

from tests.local_site import wait_until
from tests.test_pool_versions import follow, make_record
from wingfall.clock import ManualClock
from wingfall.errors import PlatformError
from wingfall.gateway.configuration.stored_streams import (
    FROM_STORE,
    decode_streams,
    encode_streams,
)
from wingfall.gateway.configuration.stream_history import StreamHistory
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.knowledge.stream_origins import (
    MAX_STREAM_LIFE_MS,
    StreamOrigins,
    StreamRecord,
    make_stream_key,
)
from wingfall.gateway.model.object_store import StoredObject, StoreResponse
from wingfall.gateway.model.stream_origin import StreamOrigin
from wingfall.metrics import Metrics

if TYPE_CHECKING:
    from wingfall.gateway.knowledge.stream_origins import StreamKey

LIFE_MS = 15_000
# Longer than a gateway of few waits between two writes.
WRITTEN_S = 1.2
SEVERAL = {'one': 'v1', 'two': 'v2'}


@final
class StoreStandIn:
    """Objects that are written and removed under conditions."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.status = 0
        self.list_status = 0
        self.loses_answers = False
        self.lists = 0
        self.writes = 0
        # Lists wait for it.
        self.answers = Event()
        self.answers.set()
        self._revisions = itertools.count(1)

    def put(self, name: str, spec: Any) -> StoredObject:
        """Leave any content in an object."""
        revision = next(self._revisions)
        stored = StoredObject(name=name, revision=revision, spec=spec)
        self.objects[name] = stored
        return stored

    def list_all(
        self, *, progress: Callable[[], None]
    ) -> Result[StoreResponse, PlatformError]:
        self.lists += 1
        self.answers.wait()
        if self.status or self.list_status:
            return self._fail(self.status or self.list_status)
        found = list(self.objects.values())
        return Success(StoreResponse(revision=0, objects=found))

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        if self.status:
            return self._fail(self.status)
        return Success(self.objects.get(name))

    def write(
        self, name: str, spec: Any, revision: int | None
    ) -> Result[StoredObject, PlatformError]:
        self.writes += 1
        if self.status:
            return self._fail(self.status)
        known = self.objects.get(name)
        if known is not None and revision != known.revision:
            return self._fail(http.HTTPStatus.CONFLICT)
        if known is None and revision is not None:
            return self._fail(http.HTTPStatus.CONFLICT)
        stored = self.put(name, spec)
        return self._fail(0) if self.loses_answers else Success(stored)

    def remove(self, name: str, revision: int) -> Result[None, PlatformError]:
        if self.objects[name].revision != revision:
            return self._fail(http.HTTPStatus.CONFLICT)
        self.objects.pop(name)
        return Success(None)

    def _fail(self, status: int) -> Failure[PlatformError]:
        return Failure(PlatformError(status=status, message='away'))


@final
class GatewayStandIn:
    """One process of a gateway, with what it knows of streams."""

    def __init__(
        self,
        *,
        store: StoreStandIn,
        clock: ManualClock,
        name: str = 'a',
        gateways: int = 1,
        store_scale: int = 1,
        listed: dict[str, str | None] | None = None,
    ) -> None:
        self.clock = clock
        self.origins = StreamOrigins(clock=clock)
        self.versions = PoolVersions(clock=clock)
        follow(self.versions, clock, listed or SEVERAL, 0)
        self.history = StreamHistory(
            name=name,
            clock=clock,
            store=store,
            origins=self.origins,
            versions=self.versions,
            writes_per_s=400 * store_scale,
            reads_per_s=2000 * store_scale,
            get_gateway_count=lambda: gateways,
            is_first=lambda: True,
            metrics=Metrics(),
        )

    def begin(self, call_id: str, version: str | None = 'v1') -> None:
        """Begin a stream."""
        now_ms = self.clock.now_ms()
        record = StreamRecord(
            origin=StreamOrigin(
                pool='engines', version=version, endpoint='one@1'
            ),
            began_ms=now_ms,
            expires_ms=now_ms + LIFE_MS,
        )
        self.history.note_begun(key_of(call_id), record)

    def run(self, until: Callable[[], Any] | None = None) -> None:
        """Let it read and write, then end it without notice."""
        running = gevent.spawn(self.history.run, Event())
        if until is None:
            gevent.sleep(WRITTEN_S)
        else:
            wait_until(until)
        running.kill()

    def read(self) -> None:
        """Let it read the objects, then end it without notice."""
        self.run(lambda: self.history._has_read)

    def version_of(self, call_id: str) -> str | None:
        """Return the version that began a stream, if it is known."""
        record = self.origins.find(key_of(call_id))
        return None if record is None else record.origin.version


def key_of(call_id: str) -> StreamKey:
    """Return the key of a stream."""
    return make_stream_key('oslo', call_id)


def stored_keys(store: StoreStandIn, name: str = 'a') -> set[StreamKey]:
    """Return the keys in an object."""
    return {key for key, _each in decode_streams(store.objects[name].spec, 0)}


def await_streams(store: StoreStandIn, *call_ids: str) -> None:
    """Wait until the object of a gateway holds these streams alone."""
    wanted = {key_of(each) for each in call_ids}
    wait_until(lambda: 'a' in store.objects and stored_keys(store) == wanted)


@pytest.fixture
def store() -> StoreStandIn:
    """Return a store without objects."""
    return StoreStandIn()


def test_streams_of_two_versions_are_known_after_the_end_of_all_gateways(
    store: StoreStandIn, clock: ManualClock
):
    before = GatewayStandIn(store=store, clock=clock)
    before.begin('old', 'v1')
    before.begin('new', 'v2')
    before.run(lambda: store.objects)
    after = GatewayStandIn(store=store, clock=clock, name='b')
    after.read()
    assert (after.version_of('old'), after.version_of('new')) == ('v1', 'v2')
    assert after.version_of('another') is None


def test_stream_of_an_engine_without_a_version_stays_at_its_start(
    store: StoreStandIn, clock: ManualClock
):
    before = GatewayStandIn(store=store, clock=clock)
    before.begin('s', None)
    before.run(lambda: store.objects)
    after = GatewayStandIn(store=store, clock=clock, name='b')
    after.read()
    record = after.origins.find(key_of('s'))
    assert record is not None
    assert (record.origin.version, record.origin.endpoint) == (None, 'one@1')
    assert not record.origin.is_only_version
    assert record.reported_by == FROM_STORE


def test_streams_of_a_pool_with_one_version_are_not_written(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock, listed={'one': 'v1'})
    gateway.versions.adopt(make_record(1, 'v1'))
    gateway.begin('s')
    gateway.run()
    assert not store.writes


@pytest.mark.parametrize(('since_ms', 'written'), [(60_000, 1), (130_000, 0)])
def test_streams_are_written_for_a_while_after_the_second_version_left(
    store: StoreStandIn, clock: ManualClock, since_ms: int, written: int
):
    gateway = GatewayStandIn(store=store, clock=clock)
    follow(gateway.versions, clock, {'one': 'v1'}, since_ms)
    # The history drops the second version before this gateway forgets it.
    gateway.versions.adopt(make_record(1, 'v1'))
    gateway.begin('s')
    gateway.run()
    assert store.writes == written


def test_streams_are_written_while_other_versions_may_have_been_missed(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock, listed={'one': 'v1'})
    gateway.begin('s')
    gateway.run(lambda: store.objects)
    assert stored_keys(store) == {key_of('s')}


def test_streams_that_began_before_the_second_version_came_are_written(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock, listed={'one': 'v1'})
    gateway.versions.adopt(make_record(1, 'v1'))
    gateway.begin('s')
    follow(gateway.versions, clock, SEVERAL, 0)
    gateway.run(lambda: store.objects)
    assert stored_keys(store) == {key_of('s')}


def test_gateway_that_starts_again_keeps_what_it_wrote_before(
    store: StoreStandIn, clock: ManualClock
):
    before = GatewayStandIn(store=store, clock=clock)
    before.begin('old')
    before.run(lambda: store.objects)
    again = GatewayStandIn(store=store, clock=clock)
    again.begin('new')
    again.run(lambda: store.writes == 2)
    assert stored_keys(store) == {key_of('old'), key_of('new')}


def test_object_is_not_replaced_before_it_was_read(
    store: StoreStandIn, clock: ManualClock
):
    store.status = http.HTTPStatus.SERVICE_UNAVAILABLE
    gateway = GatewayStandIn(store=store, clock=clock)
    gateway.begin('s')
    gateway.run()
    assert not store.writes


def test_streams_are_written_while_lists_of_all_gateways_fail(
    store: StoreStandIn, clock: ManualClock
):
    before = GatewayStandIn(store=store, clock=clock)
    before.begin('old')
    before.run(lambda: store.objects)
    store.list_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    again = GatewayStandIn(store=store, clock=clock)
    again.begin('new')
    again.run()
    assert stored_keys(store) == {key_of('old'), key_of('new')}


def test_list_that_failed_at_the_start_is_repeated_at_its_interval(
    store: StoreStandIn, clock: ManualClock
):
    before = GatewayStandIn(store=store, clock=clock, name='b')
    before.begin('s')
    before.run(lambda: store.objects)
    store.lists = 0
    store.list_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    after = GatewayStandIn(store=store, clock=clock)
    running = gevent.spawn(after.history.run, Event())
    gevent.sleep(WRITTEN_S)
    assert store.lists == 1
    clock.advance(1000)
    wait_until(lambda: store.lists == 2)
    store.list_status = 0
    clock.advance(1000)
    wait_until(lambda: after.version_of('s') == 'v1')
    running.kill()
    assert store.lists == 3


def test_stream_that_ended_is_dropped_with_the_next_write(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock)
    gateway.begin('ended')
    gateway.begin('running')
    running = gevent.spawn(gateway.history.run, Event())
    await_streams(store, 'ended', 'running')
    gateway.history.note_ended(key_of('ended'))
    gevent.sleep(WRITTEN_S)
    assert store.writes == 1
    gateway.begin('later')
    await_streams(store, 'running', 'later')
    running.kill()


def test_object_is_emptied_when_all_its_streams_have_ended(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock)
    gateway.begin('s')
    running = gevent.spawn(gateway.history.run, Event())
    await_streams(store, 's')
    gateway.history.note_ended(key_of('s'))
    await_streams(store)
    running.kill()


def test_stream_is_forgotten_after_its_life(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock)
    gateway.begin('s')
    gateway.run(lambda: store.objects)
    clock.advance(LIFE_MS - 1000)
    again = GatewayStandIn(store=store, clock=clock, name='b')
    again.read()
    assert again.version_of('s') == 'v1'
    clock.advance(LIFE_MS + 1000)
    assert again.version_of('s') is None


@pytest.mark.parametrize(('gateways', 'most'), [(4, 4), (298, 0)])
def test_writes_stay_under_the_share_of_all_gateways(
    store: StoreStandIn, clock: ManualClock, gateways: int, most: int
):
    gateway = GatewayStandIn(store=store, clock=clock, gateways=gateways)
    running = gevent.spawn(gateway.history.run, Event())
    until = gevent.spawn_later(0.9, running.kill)
    for number in itertools.count():
        gateway.begin(f's{number}')
        gevent.sleep(0.02)
        if until.ready():
            break
    assert store.writes <= most


def test_streams_of_298_gateways_are_written_within_two_seconds(
    store: StoreStandIn, clock: ManualClock
):
    # The store of such a site takes eight times the calls of a small one.
    gateway = GatewayStandIn(
        store=store, clock=clock, gateways=298, store_scale=8
    )
    gateway.begin('s')
    running = gevent.spawn(gateway.history.run, Event())
    gevent.sleep(2)
    running.kill()
    assert stored_keys(store) == {key_of('s')}


def test_object_of_298_busy_gateways_is_bounded(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock, gateways=298)
    for number in range(5000):
        gateway.begin(f's{number}')
    gateway.history._has_read = True
    gateway.history._write()
    assert len(stored_keys(store)) * 298 <= 65_536
    assert key_of('s4999') in stored_keys(store)


@pytest.mark.parametrize('status', [0, 429, 503])
def test_store_that_refuses_is_written_to_again(
    store: StoreStandIn, clock: ManualClock, status: int
):
    gateway = GatewayStandIn(store=store, clock=clock)
    running = gevent.spawn(gateway.history.run, Event())
    gevent.sleep(0)
    store.status = status
    store.loses_answers = not status
    gateway.begin('s')
    gevent.sleep(WRITTEN_S)
    store.status = 0
    store.loses_answers = False
    gateway.begin('later')
    await_streams(store, 's', 'later')
    running.kill()


def test_one_list_serves_all_calls_that_wait(
    store: StoreStandIn, clock: ManualClock
):
    before = GatewayStandIn(store=store, clock=clock)
    for number in range(20):
        before.begin(f's{number}')
    before.run(lambda: store.objects)
    after = GatewayStandIn(store=store, clock=clock, name='b')
    store.lists = 0
    store.answers.clear()
    calls = [
        gevent.spawn(after.history.ask, key_of(f's{number}'), 5000)
        for number in range(20)
    ]
    gevent.sleep(0.05)
    store.answers.set()
    gevent.joinall(calls, timeout=5, raise_error=True)
    assert store.lists == 1
    assert all(after.version_of(f's{number}') for number in range(20))


def test_lists_for_invented_ids_stay_under_the_share_of_all_gateways(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock, gateways=4)
    for number in range(50):
        gateway.history.ask(key_of(f'invented-{number}'), 0)
        gevent.sleep(0)
        clock.advance(100)
    assert store.lists <= 5


def test_silent_store_holds_a_call_no_longer_than_it_may_wait(
    store: StoreStandIn, clock: ManualClock
):
    store.answers.clear()
    gateway = GatewayStandIn(store=store, clock=clock)
    with gevent.Timeout(5):
        gateway.history.ask(key_of('s'), 50)
    assert gateway.version_of('s') is None


def test_objects_of_gateways_that_never_come_back_are_removed(
    store: StoreStandIn, clock: ManualClock
):
    for name in ('gone', 'used', 'a'):
        store.put(name, {'streams': []})
    gateway = GatewayStandIn(store=store, clock=clock)
    gateway.history.remove_unused()
    assert set(store.objects) == {'gone', 'used', 'a'}
    clock.advance(MAX_STREAM_LIFE_MS)
    store.put('used', {'streams': []})
    gateway.history.remove_unused()
    assert set(store.objects) == {'used', 'a'}


def test_object_that_another_gateway_removed_is_written_again(
    store: StoreStandIn, clock: ManualClock
):
    gateway = GatewayStandIn(store=store, clock=clock)
    running = gevent.spawn(gateway.history.run, Event())
    gateway.begin('s')
    await_streams(store, 's')
    store.objects.clear()
    gateway.begin('later')
    await_streams(store, 's', 'later')
    running.kill()


GOOD = {'pool': 'engines', 'version': 'v1', 'endpoint': '', 'keys': ''}


@pytest.mark.parametrize(
    'spec',
    [
        None,
        'text',
        {},
        {'streams': 'text'},
        {'streams': {'pool': 'engines'}},
        {'streams': [None, 5, 'text', []]},
        {'streams': [{**GOOD, 'pool': 5, 'keys': 'AAAAAAAAAAAAAA=='}]},
        {'streams': [{**GOOD, 'version': 5, 'keys': 'AAAAAAAAAAAAAA=='}]},
        {'streams': [{**GOOD, 'endpoint': None, 'keys': 'AAAAAAAAAAAAAA=='}]},
        {'streams': [{**GOOD, 'keys': None}]},
        {'streams': [{**GOOD, 'keys': 'not base64 \u2026'}]},
        {'streams': [{**GOOD, 'keys': 'AAAA'}]},
    ],
)
def test_content_of_another_writer_tells_nothing(
    store: StoreStandIn, clock: ManualClock, spec: Any
):
    store.put('a', spec)
    store.put('b', encode_streams([], 0))
    gateway = GatewayStandIn(store=store, clock=clock)
    gateway.begin('s')
    running = gevent.spawn(gateway.history.run, Event())
    await_streams(store, 's')
    running.kill()
    assert not len(gateway.origins)


def test_stored_life_is_at_most_that_of_a_stream():
    # Eight bytes of a key and the highest number of seconds.
    keys = base64.b64encode(b'\xff' * 10).decode()
    spec = {'streams': [{**GOOD, 'keys': keys}]}
    ((_key, record),) = decode_streams(spec, 0)
    assert record.expires_ms == MAX_STREAM_LIFE_MS
