"""Valid objects apply, whatever else the store, a peer or a writer sends."""

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
from wingfall.gateway.model.object_store import StoredObject, StoreResponse
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

VALID_ENDPOINT = {
    'service': 'plain',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
}
VALID_ROUTES = {
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

# Bytes that would end or escape a JSON string.
JSON_SPECIAL_BYTES = bytes((*range(32), ord('"'), ord('\\')))
ANY_VALUE = st.recursive(
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


def altered(valid: dict[str, Any]) -> st.SearchStrategy[Any]:
    """Return a strategy for an object with changed fields, or any value."""
    fields = st.dictionaries(
        st.sampled_from(sorted(valid)), ANY_VALUE, min_size=1
    )
    return ANY_VALUE | fields.map(lambda changes: {**valid, **changes})


MIXED_ENTRIES = st.lists(
    altered({'metadata': {'name': 'x', 'revision': 4}, 'spec': VALID_ENDPOINT})
    | altered({'name': 'x', 'revision': 4}).map(
        lambda metadata: {'metadata': metadata, 'spec': VALID_ENDPOINT}
    )
    | altered(VALID_ENDPOINT).map(
        lambda spec: {'metadata': {'name': 'x', 'revision': 4}, 'spec': spec}
    ),
    max_size=4,
)


def stored_endpoint(name: str) -> dict[str, Any]:
    """Return a valid object in the form of the store."""
    return {'metadata': {'name': name, 'revision': 5}, 'spec': VALID_ENDPOINT}


def make_state() -> SimpleNamespace:
    """Return the gateway state that the applier changes."""
    metrics = Metrics()
    return SimpleNamespace(
        binding=FjordgridBinding(settings=SimpleNamespace(), metrics=metrics),
        knowledge=EndpointKnowledge(clock=ManualClock(start_ms=1000)),
        metrics=metrics,
        routes=None,
    )


def usable_endpoints(reading: StoreResponse) -> list[str]:
    """Put objects in force as endpoints and return the usable names."""
    state = make_state()
    applier = ObjectApplier(state=state)
    replica = ObjectReplica(
        kind=ENDPOINTS_KIND, listener=applier.apply_endpoint
    )
    replica.apply_list(reading)
    # A peer would be sent the same objects.
    received = unpack_objects(pack_objects(replica.objects_since(0)))
    assert [each.name for each in received] == [
        each.name for each in replica.objects_since(0)
    ]
    return [each.name for each in state.knowledge.table.usable('plain')]


@given(before=MIXED_ENTRIES, after=MIXED_ENTRIES)
def test_list_applies_the_valid_entries(before: list[Any], after: list[Any]):
    listed = [*before, stored_endpoint('one'), *after, stored_endpoint('two')]
    body = parse_answer(orjson.dumps({'items': listed, 'more': False, 'at': 9}))
    reading, more = body.bind(read_page).unwrap()
    assert not more
    assert {'one', 'two'} <= set(usable_endpoints(reading))


@given(before=MIXED_ENTRIES, after=MIXED_ENTRIES)
def test_watch_applies_the_valid_entries(before: list[Any], after: list[Any]):
    events = [
        *({'gone': False, 'object': each} for each in before),
        {'gone': False, 'object': stored_endpoint('one')},
        *after,
    ]
    body = parse_answer(orjson.dumps({'events': events, 'at': 9}))
    assert 'one' in usable_endpoints(body.bind(read_changes).unwrap())


@given(random_bytes=st.binary(max_size=30))
def test_invalid_bytes_in_a_string_affect_one_entry(random_bytes: bytes):
    corrupt = {
        **stored_endpoint('bad'),
        'spec': {**VALID_ENDPOINT, 'service': '#mark#'},
    }
    sent = orjson.dumps({'items': [stored_endpoint('one'), corrupt], 'at': 9})
    allowed_bytes = random_bytes.translate(None, JSON_SPECIAL_BYTES)
    body = parse_answer(sent.replace(b'#mark#', allowed_bytes))
    reading, _more = body.bind(read_page).unwrap()
    assert 'one' in usable_endpoints(reading)


@given(answer=st.binary() | ANY_VALUE.map(orjson.dumps))
def test_any_answer_is_parsed_or_a_failure(answer: bytes):
    for read in (read_page, read_changes):
        outcome = parse_answer(answer).bind(read)
        assert isinstance(outcome, Success) or outcome.failure().status == 200


@given(
    spec=altered(VALID_ROUTES)
    | altered(VALID_ROUTES['routes'][0]).map(
        lambda route: {**VALID_ROUTES, 'version': 9, 'routes': [route]}
    )
)
def test_any_configuration_is_applied_or_changes_nothing(spec: Any):
    state = make_state()
    applier = ObjectApplier(state=state)
    replica = ObjectReplica(kind=ROUTES_KIND, listener=applier.apply_routes)
    main = StoredObject(name='main', revision=1, spec=VALID_ROUTES)
    replica.apply_list(StoreResponse(revision=1, objects=[main]))
    altered_main = StoredObject(name='main', revision=2, spec=spec)
    changes = StoreResponse(revision=2, objects=[altered_main])
    replica.apply_changes(changes)
    assert state.routes.version >= VALID_ROUTES['version']
    state.routes.find_route('h', '/')
    state.routes.find_customer('key')


@given(
    packed=st.binary()
    | st.binary().map(zlib.compress)
    | ANY_VALUE.map(lambda entries: zlib.compress(msgpack.packb(entries)))
)
def test_packed_objects_are_decoded_or_a_wire_error(packed: bytes):
    with contextlib.suppress(WireError):
        unpack_objects(packed)


@given(
    entries=ANY_VALUE | st.lists(st.tuples(st.text(), ANY_VALUE, st.binary()))
)
def test_whole_objects_are_decoded_or_a_wire_error(entries: Any):
    with contextlib.suppress(WireError):
        decode_objects(entries)


def test_too_deeply_nested_object_is_sent_as_text():
    nested: list[Any] = []
    for _level in range(600):
        nested = [nested]
    stored = StoredObject(name='deep', revision=1, spec=nested)
    (read,) = unpack_objects(pack_objects([stored]))
    assert isinstance(read.spec, str)


def with_cache_size(version: int, tokens: int) -> StoredObject:
    """Return a configuration whose engines have a cache of some tokens."""
    engine = {'kv_capacity_tokens': tokens}
    spec = {
        **VALID_ROUTES,
        'version': version,
        'services': [{'name': 'plain', 'engine': engine}],
    }
    return StoredObject(name='main', revision=version, spec=spec)


@pytest.mark.parametrize('endpoint_first', [False, True])
def test_cache_capacity_follows_the_newest_configuration(
    endpoint_first: bool,
):
    state = make_state()
    applier = ObjectApplier(state=state)
    parts = [PromptPart(part_id=str(each), tokens=100) for each in range(9)]
    if endpoint_first:
        applier.apply_endpoint('one', VALID_ENDPOINT)
        state.knowledge.caches.find('one').note(parts)
    applier.apply_routes('main', with_cache_size(3, 500).spec)
    applier.apply_endpoint('one', VALID_ENDPOINT)
    cache = state.knowledge.caches.find('one')
    cache.note(parts)
    assert cache.tokens == 500
    applier.apply_routes('main', with_cache_size(4, 300).spec)
    assert cache.tokens == 300
    applier.apply_routes('main', with_cache_size(5, 800).spec)
    cache.note(parts)
    assert cache.tokens == 800
