"""Whatever the store, a peer or another writer gives: sound objects hold."""

from __future__ import annotations

import contextlib
import zlib
from types import SimpleNamespace
from typing import Any

import msgpack
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from wingfall.clock import ManualClock
from wingfall.errors import WireError
from wingfall.gateway.configuration.object_applier import ObjectApplier
from wingfall.gateway.configuration.replica import (
    ENDPOINTS_KIND,
    ROUTES_KIND,
    ObjectReplica,
)
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.model.object_store import StoredObject, StoreReading
from wingfall.gateway.model.prompt import PromptPart
from wingfall.gateway.peers.objects.object_transfer import (
    decode_objects,
    pack_objects,
    unpack_objects,
)
from wingfall.metrics import Metrics
from wingfall.platform.binding import FjordgridBinding
from wingfall.platform.store_answers import (
    parse_answer,
    read_changes,
    read_page,
)

SOUND = {
    'service': 'plain',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
}
ROUTES = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'path_prefix': '/',
            'service': 'plain',
            'timeout_ms': 1000,
        },
    ],
    'services': [{'name': 'plain'}],
}

# Bytes that would end or escape a text of JSON.
UNQUOTED = bytes((*range(32), ord('"'), ord('\\')))
ANY = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def spoilt(sound: dict[str, Any]) -> st.SearchStrategy[Any]:
    """Give what is sound but for some fields, or anything at all."""
    fields = st.dictionaries(st.sampled_from(sorted(sound)), ANY, min_size=1)
    return ANY | fields.map(lambda changes: {**sound, **changes})


ENTRIES = st.lists(
    spoilt({'metadata': {'name': 'x', 'revision': 4}, 'spec': SOUND})
    | spoilt({'name': 'x', 'revision': 4}).map(
        lambda metadata: {'metadata': metadata, 'spec': SOUND}
    )
    | spoilt(SOUND).map(
        lambda spec: {'metadata': {'name': 'x', 'revision': 4}, 'spec': spec}
    ),
    max_size=4,
)


def wrapped(name: str) -> dict[str, Any]:
    """Write a sound object as the store does."""
    return {'metadata': {'name': name, 'revision': 5}, 'spec': SOUND}


def make_state() -> SimpleNamespace:
    """Make what the applier changes."""
    metrics = Metrics()
    return SimpleNamespace(
        binding=FjordgridBinding(settings=SimpleNamespace(), metrics=metrics),
        knowledge=EndpointKnowledge(clock=ManualClock(start_ms=1000)),
        metrics=metrics,
        routes=None,
    )


def usable(reading: StoreReading) -> list[str]:
    """Put objects in force as endpoints, and name those that are used."""
    state = make_state()
    applier = ObjectApplier(state=state)
    replica = ObjectReplica(
        kind=ENDPOINTS_KIND, listener=applier.apply_endpoint
    )
    replica.apply_list(reading)
    # What a peer would be given is the same.
    given_on = unpack_objects(pack_objects(replica.since(0)))
    assert [each.name for each in given_on] == [
        each.name for each in replica.since(0)
    ]
    return [each.name for each in state.knowledge.table.usable('plain')]


@given(before=ENTRIES, after=ENTRIES)
def test_list_keeps_the_sound_entries(before: list[Any], after: list[Any]):
    listed = [*before, wrapped('one'), *after, wrapped('two')]
    body = parse_answer(orjson.dumps({'items': listed, 'more': False, 'at': 9}))
    reading, more = body.bind(read_page).unwrap()
    assert not more
    assert {'one', 'two'} <= set(usable(reading))


@given(before=ENTRIES, after=ENTRIES)
def test_watch_keeps_the_sound_entries(before: list[Any], after: list[Any]):
    events = [
        *({'gone': False, 'object': each} for each in before),
        {'gone': False, 'object': wrapped('one')},
        *after,
    ]
    body = parse_answer(orjson.dumps({'events': events, 'at': 9}))
    assert 'one' in usable(body.bind(read_changes).unwrap())


@given(garbled=st.binary(max_size=30))
def test_bytes_inside_a_text_spoil_that_text_alone(garbled: bytes):
    bad = {**wrapped('bad'), 'spec': {**SOUND, 'service': '#mark#'}}
    sent = orjson.dumps({'items': [wrapped('one'), bad], 'at': 9})
    quoted = garbled.translate(None, UNQUOTED)
    body = parse_answer(sent.replace(b'#mark#', quoted))
    reading, _more = body.bind(read_page).unwrap()
    assert 'one' in usable(reading)


@given(answer=st.binary() | ANY.map(orjson.dumps))
def test_any_answer_is_a_reading_or_a_failure(answer: bytes):
    for read in (read_page, read_changes):
        outcome = parse_answer(answer).bind(read)
        assert isinstance(outcome, Success) or outcome.failure().status == 200


@given(
    spec=spoilt(ROUTES)
    | spoilt(ROUTES['routes'][0]).map(
        lambda route: {**ROUTES, 'version': 9, 'routes': [route]}
    )
)
def test_any_configuration_is_put_in_force_or_changes_nothing(spec: Any):
    state = make_state()
    applier = ObjectApplier(state=state)
    replica = ObjectReplica(kind=ROUTES_KIND, listener=applier.apply_routes)
    main = StoredObject(name='main', revision=1, spec=ROUTES)
    replica.apply_list(StoreReading(revision=1, objects=[main]))
    spoilt_main = StoredObject(name='main', revision=2, spec=spec)
    changes = StoreReading(revision=2, objects=[spoilt_main])
    replica.apply_changes(changes)
    assert state.routes.version >= ROUTES['version']
    state.routes.find_route('h', '/')
    state.routes.find_customer('key')


@given(
    packed=st.binary()
    | st.binary().map(zlib.compress)
    | ANY.map(lambda entries: zlib.compress(msgpack.packb(entries)))
)
def test_what_a_peer_packs_is_objects_or_a_broken_protocol(packed: bytes):
    with contextlib.suppress(WireError):
        unpack_objects(packed)


@given(entries=ANY | st.lists(st.tuples(st.text(), ANY, st.binary())))
def test_whole_objects_of_a_peer_are_read_or_a_broken_protocol(entries: Any):
    with contextlib.suppress(WireError):
        decode_objects(entries)


def test_entry_too_deep_to_be_passed_on_is_told_as_none():
    deep: list[Any] = []
    for _level in range(600):
        deep = [deep]
    stored = StoredObject(name='deep', revision=1, spec=deep)
    (read,) = unpack_objects(pack_objects([stored]))
    assert isinstance(read.spec, str)


def with_memory(version: int, tokens: int) -> StoredObject:
    """Write a configuration whose engines hold so many tokens."""
    engine = {'kv_capacity_tokens': tokens}
    spec = {
        **ROUTES,
        'version': version,
        'services': [{'name': 'plain', 'engine': engine}],
    }
    return StoredObject(name='main', revision=version, spec=spec)


@pytest.mark.parametrize('endpoint_first', [False, True])
def test_engines_memory_is_what_the_newest_configuration_says(
    endpoint_first: bool,
):
    state = make_state()
    applier = ObjectApplier(state=state)
    parts = [PromptPart(part_id=str(each), tokens=100) for each in range(9)]
    if endpoint_first:
        applier.apply_endpoint('one', SOUND)
        state.knowledge.caches.find('one').note(parts)
    applier.apply_routes('main', with_memory(3, 500).spec)
    applier.apply_endpoint('one', SOUND)
    cache = state.knowledge.caches.find('one')
    cache.note(parts)
    assert cache.tokens == 500
    applier.apply_routes('main', with_memory(4, 300).spec)
    assert cache.tokens == 300
    applier.apply_routes('main', with_memory(5, 800).spec)
    cache.note(parts)
    assert cache.tokens == 800
