"""What one more endpoint, peer or part costs a gateway."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Final

from tools.slopes.figures import memory, note, time_us
from wingfall.clock import ManualClock
from wingfall.gateway.calls.destination import choose_destination
from wingfall.gateway.configuration.replica import ObjectReplica
from wingfall.gateway.knowledge.endpoint_knowledge import EndpointKnowledge
from wingfall.gateway.knowledge.endpoint_table import EndpointTable
from wingfall.gateway.knowledge.prefix_cache import PrefixCache
from wingfall.gateway.model.object_store import StoredObject, StoreResponse
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.prompt import Prompt, PromptPart
from wingfall.gateway.rules.placement.candidate import Candidate, Demand
from wingfall.gateway.rules.placement.endpoint_choice import place_by_cost
from wingfall.wire.codec import FrameDecoder, encode
from wingfall.wire.gateway_messages import GatewayHeartbeat

_ENDPOINTS: Final = (10, 100, 1000)
_POOLS: Final = (1000, 12_000)
_KEEPERS: Final = 5
_PARTS: Final = 1000
_BUSY: Final = (1, 10, 100)


def measure_gateway() -> None:
    """Measure heartbeats, placement, endpoints and prompt parts."""
    for busy in _BUSY:
        heartbeat = _make_heartbeat(busy)
        frame = encode(heartbeat)
        note(f'heartbeat with {busy} endpoints changed', len(frame), 'bytes')
        note(
            f'heartbeat with {busy} endpoints changed: encode',
            time_us(lambda heartbeat=heartbeat: encode(heartbeat), 500),
            'us',
        )
        note(
            f'heartbeat with {busy} endpoints changed: decode',
            time_us(lambda frame=frame: _decode(frame), 500),
            'us',
        )
    for count in _ENDPOINTS:
        candidates = [
            Candidate(name=f'i-{number:010}', slots=64, running=number % 7)
            for number in range(count)
        ]
        demand = Demand(is_prompt=True, tokens=17_000, shared_tokens=13_000)
        cost = time_us(
            lambda candidates=candidates: place_by_cost(demand, candidates),
            max(1, 2000 // count),
        )
        note(f'placement among {count} endpoints', cost, 'us')
    for count in (64, *_POOLS):
        state, call = _busy_state(count)
        cost = time_us(
            lambda state=state, call=call: choose_destination(
                state,
                call,
                'p',
                set(),
            ),
            100,
        )
        note(f'choice in a pool of {count} endpoints', cost, 'us')
    size, _made = memory(lambda: _table(1000))
    note('endpoint at a gateway', size / 1000, 'bytes of memory')
    size, _made = memory(_cache)
    note('prompt part at a gateway', size / _PARTS, 'bytes of memory')


def _make_heartbeat(busy: int) -> GatewayHeartbeat:
    return GatewayHeartbeat(
        revisions={'routes': 1000, 'endpoints': 2000},
        loads=[
            [f'i-{number:010}', 5, 20_000, 40_000, 200, 4, 300, 1]
            for number in range(busy)
        ],
        sent=[['i-0000000001', 3000, ['5c1e07a2', 13_300]]],
        leaving=False,
        whole=False,
        watching=True,
    )


def _decode(frame: bytes) -> None:
    decoder = FrameDecoder()
    decoder.max_bytes = len(frame)
    list(decoder.feed(frame))


def _table(count: int) -> tuple[EndpointTable, ObjectReplica]:
    table = EndpointTable(clock=ManualClock())
    replica = ObjectReplica(kind='endpoints', listener=lambda name, spec: None)
    objects = [
        StoredObject(
            name=f'i-{number:010}',
            revision=number + 1,
            spec={'service': 'p', 'address': f'10.0.0.1:{number}', 'slots': 64},
        )
        for number in range(count)
    ]
    replica.apply_list(StoreResponse(revision=count, objects=objects))
    for each in objects:
        table.put(
            PoolEndpoint(
                name=each.name,
                pool='p',
                host='10.0.0.1',
                port=each.revision,
                zone='a',
                slots=64,
                draining=False,
            ),
        )
    return table, replica


def _busy_state(count: int) -> tuple[SimpleNamespace, SimpleNamespace]:
    # As much of a gateway and a call as a choice looks at.
    clock = ManualClock()
    table, _replica = _table(count)
    knowledge = EndpointKnowledge(clock=clock)
    knowledge.table = table
    state = SimpleNamespace(
        knowledge=knowledge,
        policies=SimpleNamespace(placement=place_by_cost),
        routes=None,
        zone='a',
    )
    prompt = Prompt(
        parts=(
            PromptPart(part_id='a', tokens=13_000),
            PromptPart(part_id='own', tokens=4000),
        ),
        output_tokens=100,
    )
    for number in range(count):
        cache = knowledge.caches.find(f'i-{number:010}')
        kept = 'a' if number < _KEEPERS else f'b{number}'
        cache.note([PromptPart(part_id=kept, tokens=13_000)])
    call = SimpleNamespace(
        head=SimpleNamespace(prompt=prompt),
        body=b'',
        route=SimpleNamespace(
            target=SimpleNamespace(first_token_ms=500, token_gap_ms=500),
        ),
    )
    return state, call


def _cache() -> PrefixCache:
    cache = PrefixCache(capacity=_PARTS * 100)
    cache.note(
        [
            PromptPart(part_id=f'{number:08x}', tokens=100)
            for number in range(_PARTS)
        ],
    )
    return cache
