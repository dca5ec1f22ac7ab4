"""What runs where, and the copy of the platform's objects."""

from __future__ import annotations

from wingfall.clock import ManualClock
from wingfall.gateway.binding import StoredObject, StoreReading
from wingfall.gateway.endpoints import EndpointTable, PoolEndpoint
from wingfall.gateway.event_stream import EventCutter
from wingfall.gateway.load import EndpointLoad, LoadTable
from wingfall.gateway.replica import ObjectReplica


def stored(name: str, revision: int, *, gone: bool = False) -> StoredObject:
    """Make an object."""
    spec = None if gone else {'revision': revision}
    return StoredObject(name=name, revision=revision, spec=spec)


def make_endpoint(name: str, *, draining: bool = False) -> PoolEndpoint:
    """Make an endpoint of one pool."""
    return PoolEndpoint(
        name=name,
        pool='pool',
        host='127.0.0.1',
        port=1,
        zone='a',
        slots=1,
        draining=draining,
    )


def test_load_counts_from_sending_to_end(clock: ManualClock):
    table = LoadTable(clock=clock)
    brought = EndpointLoad(running=1, reading_tokens=500, memory_used=600)
    entry = table.start('one', brought)
    assert table.total('one').reading_tokens == 500
    entry.begin_output()
    entry.begin_output()
    assert table.total('one').reading_tokens == 0
    assert table.total('one').running == 1
    entry.end()
    entry.end()
    assert table.total('one').running == 0
    assert not table.own


def test_load_adds_up_over_peers(clock: ManualClock):
    table = LoadTable(clock=clock)
    table.start('one', EndpointLoad(running=1))
    table.hear('peer', [('one', EndpointLoad(running=2))])
    assert table.total('one').running == 3
    table.forget('peer')
    assert table.total('one').running == 1


def test_reads_fade(clock: ManualClock):
    table = LoadTable(clock=clock)
    table.note_read('one', 5024)
    table.note_read('one', 100)
    assert table.recent_reads('one') == 4000
    clock.advance(1000)
    assert table.recent_reads('one') == 2000


def test_replica_only_moves_up():
    told = []
    replica = ObjectReplica(
        kind='k',
        listener=lambda name, spec: told.append((name, spec)),
    )
    assert replica.apply(stored('a', 5))
    assert not replica.apply(stored('a', 5))
    assert not replica.apply(stored('a', 4))
    assert replica.apply(stored('a', 6, gone=True))
    assert not replica.apply(stored('a', 6))
    assert told == [('a', {'revision': 5}), ('a', None)]


def test_list_removes_what_it_lacks_but_not_what_is_newer():
    replica = ObjectReplica(kind='k', listener=lambda name, spec: None)
    replica.apply(stored('old', 5))
    replica.apply(stored('new', 20))
    listed = StoreReading(revision=10, objects=[stored('a', 9)])
    replica.apply_list(listed)
    assert [each.name for each in replica.since(0)] == ['a', 'old', 'new']
    assert [each.spec is None for each in replica.since(0)] == [
        False,
        True,
        False,
    ]


def test_gone_event_with_the_last_revision_counts():
    replica = ObjectReplica(kind='k', listener=lambda name, spec: None)
    replica.apply(stored('a', 5))
    change = StoreReading(revision=8, objects=[stored('a', 5, gone=True)])
    replica.apply_changes(change)
    assert replica.revision == 8
    assert replica.since(5)[0].spec is None


def test_lapsed_endpoint_is_the_last_resort(clock: ManualClock):
    table = EndpointTable(clock=clock)
    table.put(make_endpoint('one'))
    table.put(make_endpoint('two'))
    table.remove('one')
    assert [each.name for each in table.usable('pool')] == ['two']
    table.remove('two')
    assert len(table.usable('pool')) == 2
    clock.advance(1500)
    assert not table.usable('pool')


def test_endpoint_that_drained_is_gone_at_once(clock: ManualClock):
    table = EndpointTable(clock=clock)
    table.put(make_endpoint('one', draining=True))
    table.remove('one')
    assert not table.usable('pool')


def test_events_are_cut_at_their_ends():
    cutter = EventCutter()
    assert cutter.feed(b'id: 1\nda') == b''
    assert cutter.torn
    assert cutter.feed(b'ta: x\n\nid: 2') == b'id: 1\ndata: x\n\n'
    assert cutter.last_event_id == '1'
    assert cutter.feed(b'\ndata: y\n\n') == b'id: 2\ndata: y\n\n'
    assert not cutter.torn
    assert cutter.last_event_id == '2'
