"""Answers that end only when the gateway closes, in a head or a body."""

from __future__ import annotations

import time
from typing import Any

import gevent
import pytest

from tests.gateway_site import GatewaySite
from tests.local_site import wait_until
from tests.test_answer_end import find_running
from tests.test_compatibility import collected_lines
from tests.test_gateway_streams import PROMPT, parse_event_ids

GIVEN_UP = 'dispatch: An answer exceeded a bound and was given up.'
STREAM_KINDS = (
    'endless_event',
    'endless_lines',
    'endless_blank',
    'endless_comments',
)
HEAD_KINDS = (
    ('endless_status', 'head'),
    ('endless_headers', 'head'),
    ('endless_interim', 'interim'),
    ('endless_extension', 'head'),
    ('endless_trailers', 'head'),
)
# A call may take 3 s; an answer is given up by its bytes long before.
FAST_S = 1.5
# Calls after which an endpoint that fails each of them gets few.
KNOWN_AFTER = 20


@pytest.fixture
def engine_site(gateway_site: GatewaySite) -> GatewaySite:
    """Return a site of one gateway and two engines."""
    for name in ('one', 'two'):
        gateway_site.add_server(name, 'engines')
    gateway_site.add_gateway()
    return gateway_site


def inject_once(site: GatewaySite, fault: str) -> None:
    """Inject the fault into the next answer, whichever endpoint gives it."""
    faults = [fault]
    for server in site.servers.values():
        server.faults = faults


def given_up(
    lines: list[tuple[str, dict[str, Any]]],
) -> list[tuple[str, str, bool]]:
    """Return call, part and size of the answers that were given up."""
    wait_until(lambda: any(text == GIVEN_UP for text, _ in lines))
    return [
        (fields['call'], fields['what'], fields['bytes'] > 0)
        for text, fields in lines
        if text == GIVEN_UP
    ]


def count_given_up(site: GatewaySite) -> dict[str, int]:
    """Return how many answers were given up, by the part without end."""
    counted = site.gateways[0]._state.metrics.decisions.get_all()
    return {
        labels['reason']: count
        for labels, count in counted
        if labels['part'] == 'endless_answer'
    }


@pytest.mark.parametrize('kind', STREAM_KINDS)
def test_stream_without_an_event_begins_elsewhere(
    engine_site: GatewaySite, kind: str
):
    inject_once(engine_site, kind)
    started_s = time.monotonic()
    with collected_lines() as lines:
        answer = engine_site.ask('/stream/x', method='POST', **PROMPT)
        assert given_up(lines) == [('a1', 'stream', True)]
    assert time.monotonic() - started_s < FAST_S
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3]
    assert answer.body.startswith(b'id: 1\n')
    assert count_given_up(engine_site) == {'stream': 1}


@pytest.mark.parametrize(('kind', 'part'), HEAD_KINDS)
def test_head_without_end_is_given_up(
    engine_site: GatewaySite, kind: str, part: str
):
    inject_once(engine_site, kind)
    started_s = time.monotonic()
    answer = engine_site.ask('/stream/x', method='POST', **PROMPT)
    assert time.monotonic() - started_s < FAST_S
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3]
    assert count_given_up(engine_site) == {part: 1}


@pytest.mark.parametrize(
    ('kind', 'most_bytes'),
    [('endless_body', 8_500_000), ('endless_chunks', 135_000)],
)
def test_body_without_end_is_given_up(
    gateway_site: GatewaySite, kind: str, most_bytes: int
):
    for name in ('one', 'two'):
        gateway_site.add_server(name, pause_ms=0)
    gateway_site.add_gateway()
    inject_once(gateway_site, kind)
    with collected_lines() as lines:
        answer = gateway_site.ask('/safe/x')
        assert given_up(lines) == [('a1', 'body', True)]
    assert answer.status == 200
    assert answer.whole
    (received,) = [
        fields['bytes'] for text, fields in lines if text == GIVEN_UP
    ]
    assert received <= most_bytes
    endless = gateway_site.gateways[0]._state.ends.endless
    assert endless.memory.reserved_bytes == 0


@pytest.mark.parametrize(
    ('target', 'events'), [('/stream/x', [1, 2, 3]), ('/oneway/x', [1, 2])]
)
def test_no_part_of_an_event_without_end_reaches_the_caller(
    engine_site: GatewaySite, target: str, events: list[int]
):
    inject_once(engine_site, 'endless_third')
    answer = engine_site.ask(target, method='POST', **PROMPT)
    assert parse_event_ids(answer.body) == events
    assert answer.whole is (target == '/stream/x')
    assert answer.body.endswith(b' v1\n\n')


def test_endpoint_whose_answers_do_not_end_gets_few_requests(
    engine_site: GatewaySite,
):
    endless = engine_site.servers['one']
    endless.faults = ['endless_event' for _request in range(1000)]
    runs = []
    for number in range(2 * KNOWN_AFTER):
        prompt = {**PROMPT, 'X_Prompt_Prefix': f'p{number}:200,q{number}:100'}
        answer = engine_site.ask('/stream/x', method='POST', **prompt)
        assert answer.whole
        runs.append(len(endless.runs))
    health = engine_site.gateways[0]._state.knowledge.health
    assert health.failure_rate('one') > 0
    assert runs[-1] - runs[KNOWN_AFTER] < KNOWN_AFTER / 4


def test_answer_without_end_is_no_crash_and_blames_no_request(
    engine_site: GatewaySite,
):
    # The endpoint stops listening, as one that has crashed does.
    inject_once(engine_site, 'endless_event')
    caller = engine_site.caller()
    caller.send('/stream/x', method='POST', **PROMPT)
    find_running(engine_site).stop()
    assert caller.receive().whole
    assert count_given_up(engine_site) == {'stream': 1}
    # A crash is found within a few probes of the endpoint.
    gevent.sleep(0.5)
    state = engine_site.gateways[0]._state
    assert not state.knowledge.crashes.crashes
    assert not state.ends.crashes._recently_abandoned()
