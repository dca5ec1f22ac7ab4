"""``make slopes``: what one more of each thing costs.

Prints microseconds, wire bytes and bytes of memory for one heartbeat,
configuration change, endpoint, customer, key and so on, and how they grow.
docs/CAPACITY.md does its arithmetic with these figures.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import gc
import logging
import pathlib
import sys
import time
from types import SimpleNamespace
from typing import Any, Final

import orjson
from gevent.queue import SimpleQueue

from tools.slopes.figures import (
    US_PER_S,
    figures,
    memory,
    note,
    resident_kb,
    time_us,
)
from tools.slopes.forwarding import measure_forwarding
from tools.slopes.gateway import measure_gateway
from tools.slopes.samples import (
    CLASSES,
    make_class,
    make_customer,
    make_endpoint,
    make_request,
    make_ticket,
)
from wingfall.clock import Clock, ManualClock, WallClock
from wingfall.config.copy import ConfigCopy
from wingfall.config.fetcher import answer_fetch
from wingfall.decision.choice import choices
from wingfall.decision.customer_limits import CustomerLimits
from wingfall.decision.keys import KeyTable
from wingfall.decision.order import orders
from wingfall.object_api.readings import ObjectList, WatchEvent
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

_ENDPOINTS: Final = 12_000
_CUSTOMERS: Final = 15_000
_CUSTOMERS_SEEN: Final = 20
_STEPS: Final = (10, 100, 1000, 12_000)


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
        note(name, len(frame), 'bytes')
        cost = time_us(lambda message=message: encode(message), 5000)
        note(f'{name}: encode', cost, 'us')
        decoder = FrameDecoder()
        cost = time_us(
            lambda frame=frame, decoder=decoder: list(decoder.feed(frame)),
            5000,
        )
        note(f'{name}: decode', cost, 'us')


def _measure_config() -> None:
    for name, make, count in (
        ('endpoint', make_endpoint, _ENDPOINTS),
        ('customer', make_customer, _CUSTOMERS),
        ('class', make_class, CLASSES),
    ):
        objects = [make(number) for number in range(count)]
        # What the caller holds of the list is let go in a router.
        started = time.perf_counter()
        size, _copy = memory(
            lambda objects=objects: _fill(ConfigCopy(), objects),
        )
        elapsed = time.perf_counter() - started
        note(f'{name} in the configuration', size / count, 'bytes of memory')
        encoded = sum(len(orjson.dumps(raw)) for raw in objects) / count
        note(f'{name} as JSON', encoded, 'bytes')
        note(f'{name}: apply, traced', elapsed / count * US_PER_S, 'us')


def _full_copy() -> ConfigCopy:
    objects = [make_endpoint(number) for number in range(_ENDPOINTS)]
    objects += [make_customer(number) for number in range(_CUSTOMERS)]
    objects += [make_class(number) for number in range(CLASSES)]
    copy = ConfigCopy()
    started = time.perf_counter()
    _fill(copy, objects)
    elapsed = time.perf_counter() - started
    note('first list at full size: apply', elapsed * 1000, 'ms')
    return copy


def _measure_changes(copy: ConfigCopy) -> None:
    versions = iter(range(2, 10_000_000))

    def change_customer() -> None:
        version = next(versions)
        copy.apply_event(
            WatchEvent(version=version, raw=make_customer(version % 99))
        )

    note('change of a customer: apply', time_us(change_customer, 500), 'us')
    pages: list[Any] = []
    since = copy.version - 1
    cost = time_us(
        lambda: answer_fetch(copy, ConfigFetch(since=since), pages.append),
        200,
    )
    note('peer fetch of one change: answer', cost, 'us')
    note('peer fetch of one change', len(encode(pages[0])), 'bytes')
    pages.clear()
    started = time.perf_counter()
    answer_fetch(copy, ConfigFetch(since=0), pages.append)
    elapsed = time.perf_counter() - started
    note('peer fetch of a snapshot: answer', elapsed * 1000, 'ms')
    size = sum(len(encode(page)) for page in pages)
    note('peer fetch of a snapshot', size, 'bytes')


def _measure_links(copy: ConfigCopy) -> None:
    identity = Identity(name='router', secret=b'0123456789abcdef')
    supervisor = Supervisor(name='slopes', clock=Clock())
    for count in _STEPS:
        part = _fill(
            ConfigCopy(),
            [make_endpoint(number) for number in range(count)]
            + [make_class(number) for number in range(CLASSES)],
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
        change = WatchEvent(version=2, raw=make_endpoint(0))
        size, _applied = memory(lambda part=part: part.apply_event(change))
        if count == _STEPS[-1]:
            note('link to an agent', size / count, 'bytes of memory')
        versions = iter(range(3, 10_000_000))
        cost = time_us(
            lambda part=part, versions=versions: part.apply_event(
                WatchEvent(version=next(versions), raw=make_endpoint(0)),
            ),
            5,
        )
        note(f'change of an endpoint with {count} links: apply', cost, 'us')
        request = make_request(part)
        choice = choices.find('expected_delay').unwrap()(seed=1)

        def decide(
            directory: Directory = directory,
            request: Request = request,
            choice: Any = choice,
        ) -> None:
            links = directory.usable(request, set())
            choice.rank([link.candidate(1) for link in links], 2)

        cost = time_us(decide, max(1, 20_000 // count))
        note(f'routing decision among {count} links', cost, 'us')
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


def _measure_agent() -> None:
    clock = ManualClock()
    for waiting in (8, 64):
        order = orders.find('tiered').unwrap()(capacity=waiting)
        for number in range(waiting):
            order.push(make_ticket(number, clock))
        numbers = iter(range(waiting, 10_000_000))

        def turn(order: Any = order, numbers: Any = numbers) -> None:
            order.push(make_ticket(next(numbers), clock))
            order.pop(top_only=False)

        note(
            f'offer and start with {waiting} waiting', time_us(turn, 500), 'us'
        )
    count = 1000
    size, _made = memory(
        lambda: [make_ticket(number, clock) for number in range(count)],
    )
    note('waiting offer at an agent', size / count, 'bytes of memory')
    size, _made = memory(lambda: _keys(clock, count))
    note('idempotency key with 1 KB held', size / count, 'bytes of memory')
    limits = CustomerLimits(clock=clock)
    customer = Customer(
        name='c',
        labels={},
        key_hashes=(),
        worth=1,
        requests_per_s=1e9,
        concurrent=None,
    )
    cost = time_us(lambda: limits.admit(customer), 5000)
    note("customer's limits: admit", cost, 'us')
    size, _made = memory(
        lambda: [
            (_request_like(number), SimpleQueue()) for number in range(count)
        ],
    )
    note(
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
    note('this process with all imports', resident_kb() / 1024, 'MB resident')
    _measure_messages()
    _measure_agent()
    _measure_config()
    before_kb = resident_kb()
    copy = _full_copy()
    gc.collect()
    grown = (resident_kb() - before_kb) / 1024
    note('configuration at full size', grown, 'MB resident, with its list')
    _measure_changes(copy)
    _measure_links(copy)
    measure_gateway()
    measure_forwarding()
    out = pathlib.Path('out')
    out.mkdir(exist_ok=True)
    (out / 'slopes.json').write_bytes(
        orjson.dumps(figures, option=orjson.OPT_INDENT_2),
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
