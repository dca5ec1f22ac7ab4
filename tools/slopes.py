"""``make slopes``: what one more of each thing costs.

Prints microseconds, wire bytes and bytes of memory for one heartbeat,
configuration change, endpoint, customer, key and so on, and how they grow.
docs/CAPACITY.md does its arithmetic with these figures.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import gc
import hashlib
import logging
import pathlib
import statistics
import sys
import time
import tracemalloc
from types import SimpleNamespace
from typing import Any, Callable, Final

import orjson
from gevent.queue import SimpleQueue

from wingfall.clock import Clock, ManualClock, WallClock
from wingfall.config.copy import ConfigCopy
from wingfall.config.fetcher import answer_fetch
from wingfall.decision.choice import choices
from wingfall.decision.customer_limits import CustomerLimits
from wingfall.decision.keys import KeyTable
from wingfall.decision.order import orders
from wingfall.decision.ticket import Ticket
from wingfall.object_api.client import ObjectList, WatchEvent
from wingfall.objects.customer import Customer
from wingfall.router.directory import Directory
from wingfall.router.link import AgentLink
from wingfall.router.request import Request
from wingfall.supervisor import Supervisor
from wingfall.wire.call_messages import Chunk, Run
from wingfall.wire.codec import FrameDecoder, encode
from wingfall.wire.handshake import Identity
from wingfall.wire.offer_messages import Grant, Offer, Report
from wingfall.wire.peer_messages import ConfigFetch, PeerState

_US: Final = 1_000_000
_REPEATS: Final = 5
_ENDPOINTS: Final = 12_000
_CUSTOMERS: Final = 15_000
_CLASSES: Final = 40
_MODELS: Final = 25
_CUSTOMERS_SEEN: Final = 20
_STEPS: Final = (10, 100, 1000, 12_000)

_figures: dict[str, float] = {}


def _note(name: str, figure: float, unit: str) -> None:
    _figures[f'{name}, {unit}'] = round(figure, 2)
    print(f'{name:<58} {figure:>12,.2f} {unit}', flush=True)


def _time_us(work: Callable[[], Any], times: int) -> float:
    costs = []
    for _repeat in range(_REPEATS):
        started = time.perf_counter()
        for _time in range(times):
            work()
        costs.append((time.perf_counter() - started) / times * _US)
    return statistics.median(costs)


def _memory(make: Callable[[], Any]) -> tuple[int, Any]:
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def _resident_kb() -> int:
    status = pathlib.Path('/proc/self/status').read_text()
    line = next(row for row in status.splitlines() if row.startswith('VmRSS'))
    return int(line.split()[1])


def _endpoint(number: int) -> dict[str, Any]:
    return {
        'kind': 'Endpoint',
        'metadata': {
            'name': f'engine-{number:05}',
            'labels': {'pool': f'pool-{number % _CLASSES}', 'size': 'large'},
            'resourceVersion': '1',
        },
        'spec': {
            'address': f'10.{number // 62_500}.{number // 250 % 250}'
            f'.{number % 250}:7000',
            'zone': f'zone-{number % 34}',
            'type': 'engine',
            'models': [f'model-{number % _MODELS}'],
        },
    }


def _customer(number: int) -> dict[str, Any]:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return {
        'kind': 'Customer',
        'metadata': {
            'name': f'customer-{number:05}',
            'labels': {'plan': 'gold'},
            'resourceVersion': '1',
        },
        'spec': {
            'key_hashes': [digest],
            'limits': {'requests_per_s': 10, 'concurrent': 20},
        },
    }


def _class(number: int) -> dict[str, Any]:
    return {
        'kind': 'RequestClass',
        'metadata': {'name': f'class-{number}', 'resourceVersion': '1'},
        'spec': {
            'tier': number % 4,
            'requests': f'use=use-{number}',
            'endpoints': f'pool=pool-{number}',
            'timeout_ms': 10_000,
        },
    }


def _fill(copy: ConfigCopy, objects: list[dict[str, Any]]) -> ConfigCopy:
    copy.apply_list(ObjectList(version=1, objects=objects))
    return copy


def _measure_messages() -> None:
    report = Report(
        limit=64,
        running=40,
        waiting=12,
        mean_run_ms=4000,
        config_version=6_000_000,
        leaving=False,
        headroom=1,
        token_gap_us=20_000,
    )
    offer = Offer(
        call_id='router-042-0123456789abcdef-12345.1',
        class_name='class-12',
        tier=1,
        customer='customer-01234',
        worth=1,
        share=0.02,
        private=2,
        first_left_ms=500,
        complete_left_ms=0,
        expires_ms=10_000,
    )
    run = Run(
        call_id=offer.call_id,
        method='POST',
        path='/v1/chat/completions',
        headers={'Content-Type': 'application/json'},
        body=b'',
        timeout_ms=10_000,
        priority=1,
    )
    chunk = Chunk(call_id=offer.call_id, offset=1000, body=b'')
    state = PeerState(
        zone='zone-12',
        config_version=6_000_000,
        leaving=False,
        demands=[
            [f'customer-{number:05}', 1000] for number in range(_CUSTOMERS_SEEN)
        ],
    )
    for name, message in (
        ('report (the heartbeat of an agent)', report),
        ('offer', offer),
        ('grant', Grant(call_id=offer.call_id)),
        ('run without its body', run),
        ('chunk without its body', chunk),
        ('peer state with 20 customers', state),
    ):
        frame = encode(message)
        _note(name, len(frame), 'bytes')
        cost = _time_us(lambda message=message: encode(message), 5000)
        _note(f'{name}: encode', cost, 'us')
        decoder = FrameDecoder()
        cost = _time_us(
            lambda frame=frame, decoder=decoder: list(decoder.feed(frame)),
            5000,
        )
        _note(f'{name}: decode', cost, 'us')


def _measure_config() -> None:
    for name, make, count in (
        ('endpoint', _endpoint, _ENDPOINTS),
        ('customer', _customer, _CUSTOMERS),
        ('class', _class, _CLASSES),
    ):
        objects = [make(number) for number in range(count)]
        # What the caller holds of the list is let go in a router.
        started = time.perf_counter()
        size, _copy = _memory(
            lambda objects=objects: _fill(ConfigCopy(), objects),
        )
        elapsed = time.perf_counter() - started
        _note(f'{name} in the configuration', size / count, 'bytes of memory')
        encoded = sum(len(orjson.dumps(raw)) for raw in objects) / count
        _note(f'{name} as JSON', encoded, 'bytes')
        _note(f'{name}: apply, traced', elapsed / count * _US, 'us')


def _full_copy() -> ConfigCopy:
    objects = [_endpoint(number) for number in range(_ENDPOINTS)]
    objects += [_customer(number) for number in range(_CUSTOMERS)]
    objects += [_class(number) for number in range(_CLASSES)]
    copy = ConfigCopy()
    started = time.perf_counter()
    _fill(copy, objects)
    elapsed = time.perf_counter() - started
    _note('first list at full size: apply', elapsed * 1000, 'ms')
    return copy


def _measure_changes(copy: ConfigCopy) -> None:
    versions = iter(range(2, 10_000_000))

    def change_customer() -> None:
        version = next(versions)
        copy.apply_event(
            WatchEvent(version=version, raw=_customer(version % 99))
        )

    _note('change of a customer: apply', _time_us(change_customer, 500), 'us')
    pages: list[Any] = []
    since = copy.version - 1
    cost = _time_us(
        lambda: answer_fetch(copy, ConfigFetch(since=since), pages.append),
        200,
    )
    _note('peer fetch of one change: answer', cost, 'us')
    _note('peer fetch of one change', len(encode(pages[0])), 'bytes')
    pages.clear()
    started = time.perf_counter()
    answer_fetch(copy, ConfigFetch(since=0), pages.append)
    elapsed = time.perf_counter() - started
    _note('peer fetch of a snapshot: answer', elapsed * 1000, 'ms')
    size = sum(len(encode(page)) for page in pages)
    _note('peer fetch of a snapshot', size, 'bytes')


def _measure_links(copy: ConfigCopy) -> None:
    identity = Identity(name='router', secret=b'0123456789abcdef')
    supervisor = Supervisor(name='slopes', clock=Clock())
    for count in _STEPS:
        part = _fill(
            ConfigCopy(),
            [_endpoint(number) for number in range(count)]
            + [_class(number) for number in range(_CLASSES)],
        )
        directory = Directory(
            copy=part,
            supervisor=SimpleNamespace(start=lambda *_child: None),
            make_link=lambda endpoint, part=part: _up_link(
                endpoint,
                identity,
                part,
            ),
        )
        change = WatchEvent(version=2, raw=_endpoint(0))
        size, _applied = _memory(lambda part=part: part.apply_event(change))
        if count == _STEPS[-1]:
            _note('link to an agent', size / count, 'bytes of memory')
        versions = iter(range(3, 10_000_000))
        cost = _time_us(
            lambda part=part, versions=versions: part.apply_event(
                WatchEvent(version=next(versions), raw=_endpoint(0)),
            ),
            5,
        )
        _note(f'change of an endpoint with {count} links: apply', cost, 'us')
        request = _request(part)
        choice = choices.find('expected_delay').unwrap()(seed=1)

        def decide(
            directory: Directory = directory,
            request: Request = request,
            choice: Any = choice,
        ) -> None:
            links = directory.usable(request, set())
            choice.rank([link.candidate(1) for link in links], 2)

        cost = _time_us(decide, max(1, 20_000 // count))
        _note(f'routing decision among {count} links', cost, 'us')
    supervisor.stop()


def _up_link(endpoint: Any, identity: Identity, copy: ConfigCopy) -> AgentLink:
    link = AgentLink(
        endpoint=endpoint,
        zone='zone-1',
        identity=identity,
        copy=copy,
    )
    link.take_report(
        Report(
            limit=8,
            running=4,
            waiting=0,
            mean_run_ms=1000,
            config_version=1,
            leaving=False,
        ),
    )
    return link


def _request(copy: ConfigCopy) -> Request:
    customer = Customer(
        name='c',
        labels={},
        key_hashes=(),
        worth=1,
        requests_per_s=None,
        concurrent=None,
    )
    return Request(
        request_id='router-1',
        customer=customer,
        request_class=next(iter(copy.classes)),
        arrived_ms=0,
        timeout_ms=10_000,
        repeatable=True,
        method='POST',
        path='/v1/chat/completions',
        headers={},
        body=b'',
        model='model-0',
    )


def _ticket(number: int, clock: Clock) -> Ticket:
    now_ms = clock.now_ms()
    return Ticket(
        call_id=f'router-042-0123456789abcdef-{number}.1',
        class_name=f'class-{number % 8}',
        tier=number % 4,
        customer=f'customer-{number % 50}',
        worth=1,
        share=0.02,
        private=2,
        queued_ms=now_ms,
        start_by_ms=now_ms + number,
        expires_ms=now_ms + 10_000,
        owner='router-042',
    )


def _measure_agent() -> None:
    clock = ManualClock()
    for waiting in (8, 64):
        order = orders.find('tiered').unwrap()(capacity=waiting)
        for number in range(waiting):
            order.push(_ticket(number, clock))
        numbers = iter(range(waiting, 10_000_000))

        def turn(order: Any = order, numbers: Any = numbers) -> None:
            order.push(_ticket(next(numbers), clock))
            order.pop(top_only=False)

        _note(
            f'offer and start with {waiting} waiting', _time_us(turn, 500), 'us'
        )
    count = 1000
    size, _made = _memory(
        lambda: [_ticket(number, clock) for number in range(count)],
    )
    _note('waiting offer at an agent', size / count, 'bytes of memory')
    size, _made = _memory(lambda: _keys(clock, count))
    _note('idempotency key with 1 KB held', size / count, 'bytes of memory')
    limits = CustomerLimits(clock=clock)
    customer = Customer(
        name='c',
        labels={},
        key_hashes=(),
        worth=1,
        requests_per_s=1e9,
        concurrent=None,
    )
    cost = _time_us(lambda: limits.admit(customer), 5000)
    _note("customer's limits: admit", cost, 'us')
    size, _made = _memory(
        lambda: [
            (_request_like(number), SimpleQueue()) for number in range(count)
        ],
    )
    _note(
        'waiting request at a router, 2 KB body',
        size / count,
        'bytes of memory',
    )


def _request_like(number: int) -> tuple[dict[str, str], bytes]:
    return {'Content-Type': 'application/json', 'X': str(number)}, bytes(2048)


def _keys(clock: Clock, count: int) -> KeyTable:
    table = KeyTable(clock=clock, wall=WallClock(), window_ms=60_000)
    for number in range(count):
        key = f'customer/{number:036}'
        table.begin(key, b'0' * 32).append(bytes(1024))
        table.end(key, whole=True, ran=True)
    return table


def main() -> int:
    """Run the program.

    :returns: the exit code.
    """
    logging.disable(logging.CRITICAL)
    _note('this process with all imports', _resident_kb() / 1024, 'MB resident')
    _measure_messages()
    _measure_agent()
    _measure_config()
    before_kb = _resident_kb()
    copy = _full_copy()
    gc.collect()
    grown = (_resident_kb() - before_kb) / 1024
    _note('configuration at full size', grown, 'MB resident, with its list')
    _measure_changes(copy)
    _measure_links(copy)
    out = pathlib.Path('out')
    out.mkdir(exist_ok=True)
    (out / 'slopes.json').write_bytes(
        orjson.dumps(_figures, option=orjson.OPT_INDENT_2),
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
