"""Reads of the history of versions for calls that wait."""

from __future__ import annotations

from typing import Any, Callable, Final, final

import gevent
import pytest
from returns.result import Failure, Result, Success

from wingfall.clock import Clock
from wingfall.errors import PlatformError
from wingfall.gateway.configuration.version_reader import VersionReader
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.object_store import StoredObject
from wingfall.gateway.model.version_record import VersionReading, parse_record

_TIMEOUT_MS: Final = 10_000
# For how long a call that takes a stream up waits for the store.
_CALL_WAIT_MS: Final = 500


@final
class SlowStore:
    """A store that answers a read some time after it has looked."""

    def __init__(self, *, delay_s: float = 0) -> None:
        self.versions = ['v1']
        self.reads = 0
        self.is_away = False
        self.delay_s = delay_s

    def read(self, name: str) -> Result[StoredObject | None, PlatformError]:
        self.reads += 1
        spec = {'complete_ms': 60_000, 'pools': {'engines': self.versions}}
        stored = StoredObject(name=name, revision=self.reads, spec=spec)
        gevent.sleep(self.delay_s)
        if self.is_away:
            return Failure(PlatformError(status=503, message='away'))
        return Success(stored)

    def write(
        self, name: str, spec: Any, revision: int | None
    ) -> Result[StoredObject, PlatformError]:
        raise AssertionError('a read for calls writes nothing')


def make_reader(
    store: SlowStore,
    gateways: int = 4,
    reads_per_s: float = 2000,
    note_changes: Callable[[], bool] | None = None,
) -> VersionReader:
    """Make the reader of one of some gateways."""
    clock = Clock()
    return VersionReader(
        store=store,
        clock=clock,
        versions=PoolVersions(clock=clock),
        note_changes=note_changes or (lambda: True),
        reads_per_s=reads_per_s,
        get_gateway_count=lambda: gateways,
    )


def versions_of(reading: VersionReading | None) -> list[str | None]:
    """Return the versions that a call learns."""
    assert reading is not None
    return reading.record.pools['engines']


def test_call_is_not_served_by_a_read_that_began_before_it_arrived():
    store = SlowStore(delay_s=0.2)
    reader = make_reader(store)
    early = gevent.spawn(reader.read, _TIMEOUT_MS)
    gevent.sleep(0.05)
    store.versions = ['v1', 'v2']
    assert versions_of(reader.read(_TIMEOUT_MS)) == ['v1', 'v2']
    assert versions_of(early.get()) == ['v1']


def test_reading_of_before_serves_no_later_call():
    store = SlowStore()
    reader = make_reader(store)
    reader.read(_TIMEOUT_MS)
    store.versions = ['v1', 'v2']
    assert versions_of(reader.read(_TIMEOUT_MS)) == ['v1', 'v2']


def test_calls_that_wait_share_a_read():
    store = SlowStore(delay_s=0.2)
    reader = make_reader(store)
    waiting = [gevent.spawn(reader.read, _TIMEOUT_MS) for _ in range(100)]
    gevent.joinall(waiting)
    assert all(each.get() for each in waiting)
    assert store.reads <= 2


def test_reads_of_many_gateways_stay_within_a_share_of_the_store():
    store = SlowStore()
    reader = make_reader(store, gateways=100)
    clock = Clock()
    began_ms = clock.now_ms()
    for _call in range(4):
        assert reader.read(_TIMEOUT_MS) is not None
    # The first one goes at once, the others each half a second.
    assert clock.now_ms() - began_ms > 1400


def test_call_at_one_of_many_gateways_is_served_within_its_wait():
    # The rate that the platform names for a site of that size.
    reader = make_reader(SlowStore(), gateways=298, reads_per_s=16_000)
    readings = [reader.read(_CALL_WAIT_MS) for _call in range(4)]
    assert all(readings)


def test_store_that_is_away_is_not_asked_by_each_call():
    store = SlowStore()
    store.is_away = True
    reader = make_reader(store)
    waiting = [gevent.spawn(reader.read, 500) for _ in range(50)]
    gevent.joinall(waiting)
    assert not any(each.get() for each in waiting)
    assert store.reads <= 4


def test_lost_answer_holds_up_no_other_read():
    store = SlowStore(delay_s=1.5)
    reader = make_reader(store)
    lost = gevent.spawn(reader.read, _CALL_WAIT_MS)
    gevent.sleep(0.05)
    store.delay_s = 0
    served = [gevent.spawn(reader.read, _CALL_WAIT_MS) for _ in range(5)]
    assert all(each.get() for each in (lost, *served))


def test_lost_answer_about_missed_changes_holds_up_no_other_read():
    delays_s = [1.5]

    def note_changes() -> bool:
        gevent.sleep(delays_s.pop() if delays_s else 0)
        return True

    reader = make_reader(SlowStore(), note_changes=note_changes)
    lost = gevent.spawn(reader.read, _CALL_WAIT_MS)
    gevent.sleep(0.05)
    served = [gevent.spawn(reader.read, _CALL_WAIT_MS) for _ in range(5)]
    assert all(each.get() for each in (lost, *served))


def test_history_without_the_missed_changes_serves_no_call():
    store = SlowStore()
    reader = make_reader(store, note_changes=bool)
    assert reader.read(_CALL_WAIT_MS) is None
    assert store.reads <= 4


def test_late_answer_replaces_no_later_one():
    store = SlowStore(delay_s=0.3)
    reader = make_reader(store)
    early = gevent.spawn(reader.read, _TIMEOUT_MS)
    gevent.sleep(0.05)
    store.versions = ['v1', 'v2']
    store.delay_s = 0
    assert versions_of(early.get()) == ['v1', 'v2']
    gevent.sleep(0.3)
    assert reader._latest.record.pools['engines'] == ['v1', 'v2']


def test_silent_store_has_few_reads_at_a_time():
    store = SlowStore(delay_s=5)
    reader = make_reader(store)
    waiting = [gevent.spawn(reader.read, 1000) for _ in range(50)]
    gevent.joinall(waiting)
    assert not any(each.get() for each in waiting)
    assert store.reads <= 3


def test_call_waits_for_a_store_that_is_back():
    store = SlowStore()
    store.is_away = True
    reader = make_reader(store)
    waiting = gevent.spawn(reader.read, _TIMEOUT_MS)
    gevent.sleep(0.05)
    store.is_away = False
    assert versions_of(waiting.get()) == ['v1']


@pytest.mark.parametrize(
    'spec',
    [
        None,
        'text',
        {},
        {'complete_ms': 'long', 'pools': {}},
        {'complete_ms': 60_000, 'pools': []},
        {'complete_ms': 60_000, 'pools': {'engines': 'v1'}},
        {'complete_ms': 60_000, 'pools': {'engines': [{}, []]}},
    ],
)
def test_history_that_can_not_be_read_tells_nothing(spec: Any):
    record = parse_record(StoredObject(name='pools', revision=3, spec=spec))
    assert (record.revision, record.complete_ms) == (3, 0)
    assert not record.pools
