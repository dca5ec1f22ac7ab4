"""Order of the events of streams that a second endpoint continues."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

import gevent
import h11
import pytest

from tests.gateway_site import GatewaySite, route
from tests.local_site import wait_until
from tests.test_answer_end import find_running
from tests.test_gateway_streams import PROMPT, inject_fault, parse_event_ids
from wingfall.gateway.rules.streams.event_order import (
    EventOrder,
    OrderVerdict,
)

if TYPE_CHECKING:
    from standins.received_answer import ReceivedAnswer

EVENTS: Final = 6
ALL_EVENTS: Final = list(range(1, EVENTS + 1))
# Events of an engine that cuts its stream.
SENT_BEFORE_CUT: Final = [1, 2]
EVENT_MS: Final = 30
WATCH_S: Final = 0.3


@pytest.fixture
def engine_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of one gateway and three engines."""
    for name in ('one', 'two', 'three'):
        server = gateway_site.add_server(name, 'engines')
        server.events = EVENTS
        server.event_ms = EVENT_MS
    gateway_site.config['routes'].append(
        route('again', 'engines', kind='stream', resumable=True, max_attempts=3)
    )
    gateway_site.write_config()
    gateway_site.add_gateway()
    return gateway_site


def set_resume_offset(site: GatewaySite, offset: int) -> None:
    """Have all engines take up streams at another event than the next."""
    for server in site.servers.values():
        server.naming.resume_offset = offset


def name_events(site: GatewaySite, ids: list[str]) -> None:
    """Have all engines name their events."""
    for server in site.servers.values():
        server.naming.ids = ids


def ask_cut_stream(site: GatewaySite, target: str) -> ReceivedAnswer:
    """Ask for a stream that its first engine cuts."""
    cut_once = ['cut']
    for server in site.servers.values():
        server.faults = cut_once
    return site.ask(target, method='POST', **PROMPT)


def count_verdicts(site: GatewaySite, verdict: OrderVerdict) -> float:
    """Count the attempts whose events had a verdict."""
    decisions = site.gateways[0]._state.metrics.decisions
    return decisions.get({'part': 'event_order', 'reason': verdict}) or 0


@pytest.mark.parametrize(
    ('offset', 'verdict'),
    [
        (-1, OrderVerdict.not_rising),
        (0, OrderVerdict.not_rising),
        (2, OrderVerdict.missing),
    ],
)
def test_event_that_does_not_follow_is_not_passed_on(
    engine_site: GatewaySite, offset: int, verdict: OrderVerdict
):
    set_resume_offset(engine_site, offset)
    answer = ask_cut_stream(engine_site, '/stream/x')
    assert parse_event_ids(answer.body) == SENT_BEFORE_CUT
    assert not answer.whole
    assert count_verdicts(engine_site, verdict) == 1


@pytest.mark.parametrize('offset', [0, 2])
def test_stream_goes_on_at_an_engine_whose_events_follow(
    engine_site: GatewaySite, offset: int
):
    caller = engine_site.caller()
    inject_fault(engine_site, 'cut')
    caller.send('/again/x', method='POST', **PROMPT)
    first = find_running(engine_site)
    second, third = set(engine_site.servers.values()) - {first}
    for server in (second, third):
        server.faults = []
        server.naming.resume_offset = offset
    while not (second.runs or third.runs):
        gevent.sleep(0.01)
    # The third engine takes up streams at the next event.
    for server in (second, third):
        if not server.runs:
            server.naming.resume_offset = 1
    answer = caller.receive()
    assert answer.whole
    assert parse_event_ids(answer.body) == ALL_EVENTS


def test_event_before_the_one_that_the_caller_named_is_not_passed_on(
    engine_site: GatewaySite,
):
    engine_site.ask('/stream/x', method='POST', X_Attempt_Id='a0', **PROMPT)
    set_resume_offset(engine_site, 0)
    answer = engine_site.ask(
        '/stream/x', method='POST', Last_Event_Id='3', Resumes='a0', **PROMPT
    )
    assert answer.status == 502
    assert not parse_event_ids(answer.body)


@pytest.mark.parametrize('target', ['/oneway/x', '/stream/x'])
def test_stream_whose_ids_go_back_is_not_complete(
    engine_site: GatewaySite, target: str
):
    name_events(engine_site, ['1', '2', '3', '3', '5', '6'])
    answer = engine_site.ask(target, method='POST', **PROMPT)
    received = parse_event_ids(answer.body)
    assert received == ALL_EVENTS[: len(received)]
    assert not answer.whole


@pytest.mark.parametrize(
    'ids',
    [
        ['a', 'b', 'c', 'd', 'e', 'f'],
        ['x', '4', 'y', 'z', '8', '9'],
        ['4', '8', '12', '15', '16', '23'],
        ['0.9', '0.8', '0.7', '0.6', '0.5', '0.4'],
    ],
)
def test_ids_that_prove_nothing_are_passed_on(
    engine_site: GatewaySite, ids: list[str]
):
    name_events(engine_site, ids)
    answer = ask_cut_stream(engine_site, '/stream/x')
    assert answer.whole
    for event_id in ids:
        assert answer.body.count(f'id: {event_id}\n'.encode()) == 1


def test_engine_whose_events_do_not_follow_has_not_crashed(
    engine_site: GatewaySite,
):
    name_events(engine_site, ['1', '2', '2', '4', '5', '6'])
    caller = engine_site.caller()
    caller.send('/oneway/x', method='POST', **PROMPT)
    find_running(engine_site).stop()
    assert not caller.receive().whole
    gevent.sleep(WATCH_S)
    assert not engine_site.gateways[0]._state.knowledge.crashes.crashes


def test_gap_is_no_proof_where_ids_rise_by_more_than_one():
    order = EventOrder()
    order.begin_attempt(None)
    assert order.admits(['1', '2', '4'])
    order.begin_attempt('4')
    assert order.admits(['9'])
    assert order.verdict is OrderVerdict.later


def test_gap_is_no_proof_where_one_id_is_known():
    order = EventOrder()
    order.begin_attempt('4')
    assert order.admits(['9'])
    assert order.verdict is OrderVerdict.later


def test_gap_within_the_events_of_one_engine_is_passed_on():
    order = EventOrder()
    order.begin_attempt(None)
    assert order.admits(['1', '2', '4', '5'])
    assert order.verdict is None


def test_long_id_is_no_number():
    order = EventOrder()
    order.begin_attempt('9' * 5000)
    assert order.admits(['1', '8' * 5000])


def test_check_of_many_events_takes_little_time():
    order = EventOrder()
    order.begin_attempt(None)
    started_s = time.process_time()
    assert order.admits(map(str, range(100_000)))
    assert time.process_time() - started_s < 2


def list_numbers(answer: ReceivedAnswer) -> list[int]:
    """Return the numbers of the events in the body of a stream."""
    return [
        int(line.split(b' ')[2])
        for line in answer.body.split(b'\n')
        if line.startswith(b'data: ')
    ]


def test_stream_is_not_begun_anew_after_an_event_with_an_empty_id(
    engine_site: GatewaySite,
):
    name_events(engine_site, ['1', '', '3', '4', '5', '6'])
    received = list_numbers(ask_cut_stream(engine_site, '/stream/x'))
    assert received == ALL_EVENTS[: len(received)]


def test_event_without_an_id_is_not_repeated_where_a_stream_goes_on(
    engine_site: GatewaySite, monkeypatch: pytest.MonkeyPatch
):
    name_events(engine_site, ['1', 'none', '3', '4', '5', '6'])
    encode = h11.Data.__init__

    def leave_out_id(event: h11.Data, **fields: Any) -> None:
        fields['data'] = bytes(fields['data']).replace(b'id: none\n', b'')
        encode(event, **fields)

    monkeypatch.setattr(h11.Data, '__init__', leave_out_id)
    received = list_numbers(ask_cut_stream(engine_site, '/stream/x'))
    assert received == ALL_EVENTS[: len(received)]


def test_stream_of_a_route_without_resumption_is_not_joined(
    engine_site: GatewaySite,
):
    engine_site.config['routes'].append(
        route('plain', 'engines', kind='safe', max_attempts=3)
    )
    engine_site.write_config()
    gateway = engine_site.gateways[0]
    version = engine_site.config['version']
    wait_until(lambda: gateway.status()['config'] == version)
    answer = ask_cut_stream(engine_site, '/plain/x')
    assert not answer.whole
    assert list_numbers(answer) == SENT_BEFORE_CUT
