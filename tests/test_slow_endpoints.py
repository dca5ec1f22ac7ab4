"""Tests of long requests to endpoints that read slowly or answer early.

They guard against bodies that are cut off by a time limit although they move,
and against requests that are written where the rest of a body is due.
"""

from __future__ import annotations

import gc
import re

import gevent
import pytest
import urllib3

from standins.body_reading import EarlyAnswer, body_of
from standins.pool_server import PoolServerStandIn
from standins.received_answer import ReceivedAnswer
from tests.gateway_site import HOST, GatewaySite
from tests.local_site import wait_until
from tests.test_compatibility import collected_lines
from wingfall.gateway.endpoints.request_writer import RequestWriter

LONG_BYTES = 4_000_000
# The slowest link of a deployment, 5 Mbit/s.
SLOWEST_BYTES_PER_S = 640_000
DEADLINE_MS = 12_000
# Another request is sent at this interval while long ones are written.
SHORT_INTERVAL_S = 0.1


@pytest.fixture
def site(gateway_site: GatewaySite) -> GatewaySite:
    """Create a site with one endpoint that takes long bodies."""
    gateway_site.config['limits']['max_body_bytes'] = 4_194_304
    for route in gateway_site.config['routes']:
        route['timeout_ms'] = DEADLINE_MS
    gateway_site.write_config()
    gateway_site.add_server('one')
    gateway_site.add_server('engine', 'engines')
    gateway_site.add_gateway()
    return gateway_site


def send_long(
    site: GatewaySite,
    call_id: str,
    target: str = '/unsafe/x',
    **headers: str,
) -> ReceivedAnswer:
    """Send a long request and wait for its answer."""
    return site.ask(
        target,
        method='POST',
        body=body_of(call_id, LONG_BYTES),
        X_Attempt_Id=call_id,
        X_Deadline_Ms=str(DEADLINE_MS),
        **headers,
    )


def send_short_requests(
    site: GatewaySite, prefix: str, seconds: float
) -> list[int]:
    """Send short requests one after the other and return their statuses."""
    statuses = []
    for number in range(int(seconds / SHORT_INTERVAL_S)):
        answer = site.ask('/safe/x', X_Attempt_Id=f'{prefix}-{number}')
        statuses.append(answer.status)
        gevent.sleep(SHORT_INTERVAL_S)
    return statuses


def assert_bodies_unmixed(server: PoolServerStandIn):
    """Check that each body holds only bytes of its own request."""
    for request in server.reading.requests:
        sent = body_of(request.call_id, request.length)
        assert request.body == sent[: len(request.body)], request.call_id


@pytest.mark.parametrize(
    ('early', 'status'),
    [
        (EarlyAnswer.error, 409),
        (EarlyAnswer.whole, 200),
        (EarlyAnswer.shed, 503),
        (EarlyAnswer.foreign, 503),
    ],
)
def test_early_answer_is_not_followed_by_another_request_in_the_body(
    site: GatewaySite, early: EarlyAnswer, status: int
):
    # Guards against a request in the place of the rest of an earlier body.
    server = site.servers['one']
    server.reading.bytes_per_s = SLOWEST_BYTES_PER_S
    server.reading.least_bytes = LONG_BYTES
    server.reading.early = early
    server.reading.early_after_s = 1.5
    answer = send_long(site, 'long')
    assert answer.status == status
    assert set(send_short_requests(site, 'short', 1)) == {200}
    # The endpoint reads until the body is due in whole.
    gevent.sleep(LONG_BYTES / SLOWEST_BYTES_PER_S - 2)
    assert_bodies_unmixed(server)


def test_stream_from_the_head_on_is_not_followed_in_the_body(
    site: GatewaySite,
):
    # Guards against a request in the place of the rest of an earlier body.
    server = site.servers['engine']
    server.reading.bytes_per_s = SLOWEST_BYTES_PER_S
    server.reading.least_bytes = LONG_BYTES
    server.reading.early = EarlyAnswer.whole
    server.event_ms = 500
    prompt = {'X_Token_Count': '300,40', 'X_Prompt_Prefix': 'aa:200,bb:100'}
    answer = send_long(site, 'long', '/oneway/x', **prompt)
    assert answer.status == 200
    assert answer.body.count(b'data: ') == server.events
    for number in range(10):
        site.ask('/stream/x', X_Attempt_Id=f's{number}', **prompt)
    gevent.sleep(LONG_BYTES / SLOWEST_BYTES_PER_S)
    assert_bodies_unmixed(server)


@pytest.mark.parametrize('target', ['/unsafe/x', '/safe/x'])
@pytest.mark.parametrize(
    ('bytes_per_s', 'pause_s', 'pause_after_bytes'),
    [
        (1_600_000, 0, 0),
        (SLOWEST_BYTES_PER_S, 0, 0),
        (0, 1.4, 0),
        (0, 1.6, 65_536),
        (0, 3.5, 65_536),
    ],
)
def test_body_is_delivered_whole_to_a_slow_reader(
    site: GatewaySite,
    bytes_per_s: int,
    pause_s: float,
    pause_after_bytes: int,
    target: str,
):
    # Guards against time limits on a body whose endpoint is alive.
    server = site.servers['one']
    server.reading.bytes_per_s = bytes_per_s
    server.reading.pause_s = pause_s
    server.reading.pause_after_bytes = pause_after_bytes
    answer = send_long(site, 'long', target)
    assert answer.status == 200
    (run,) = server.runs
    assert run.body == body_of('long', LONG_BYTES)


def test_request_to_an_endpoint_that_stops_reading_is_retried(
    site: GatewaySite,
):
    # Guards against waiting for a delivery that does not go on.
    slow = site.servers['one']
    slow.reading.pause_s = 60
    slow.reading.least_bytes = LONG_BYTES
    other = site.add_server('two')
    wait_until(lambda: len(site.gateways[0].status()['endpoints']) == 3)
    answers = [
        send_long(site, f'long-{number}', '/safe/x') for number in (1, 2)
    ]
    assert [answer.status for answer in answers] == [200, 200]
    assert other.run_ids() == ['long-1', 'long-2']
    assert len(slow.reading.requests) >= 1


def test_stream_may_begin_after_a_slow_delivery(site: GatewaySite):
    # Guards against a limit of the first event that counts the delivery.
    engine = site.servers['engine']
    engine.reading.bytes_per_s = SLOWEST_BYTES_PER_S
    answer = send_long(
        site,
        'long',
        '/stream/x',
        X_Token_Count='300,40',
        X_Prompt_Prefix='aa:200,bb:100',
    )
    assert answer.status == 200
    assert answer.body.count(b'data: ') == engine.events


@pytest.fixture
def stalled_site(site: GatewaySite) -> GatewaySite:
    """Create a site whose endpoint reads no long body for a long time."""
    site.servers['one'].reading.pause_s = 3
    return site


def count_writers() -> int:
    """Count the writers of requests that this process holds."""
    gc.collect()
    return sum(isinstance(each, RequestWriter) for each in gc.get_objects())


def test_call_that_ends_leaves_no_writer_and_resets_its_connection(
    stalled_site: GatewaySite,
):
    server = stalled_site.servers['one']
    caller = stalled_site.caller()
    caller.send('/unsafe/x', method='POST', body=body_of('long', LONG_BYTES))
    wait_until(lambda: server.reading.requests)
    assert count_writers() == 1
    caller.close()
    wait_until(lambda: not count_writers())
    # The endpoint is told at once and not after what the kernel still holds.
    gevent.sleep(3)
    assert len(server.reading.requests[0].body) < LONG_BYTES // 4


def test_request_that_is_not_delivered_is_logged_and_counted(
    stalled_site: GatewaySite,
):
    with collected_lines() as lines:
        answer = stalled_site.ask(
            '/unsafe/x',
            method='POST',
            body=body_of('long', LONG_BYTES),
            X_Attempt_Id='long',
            X_Deadline_Ms='1000',
        )
    assert answer.status == 504
    assert b'"run":"unknown"' in answer.body
    (fields,) = [
        fields
        for sentence, fields in lines
        if sentence == 'dispatch: A request was not delivered whole.'
    ]
    assert fields['call'] == 'long'
    assert fields['endpoint'] == 'one'
    assert fields['confirmed_bytes'] < LONG_BYTES < fields['total_bytes']
    assert fields['ms'] < 2000
    assert fields['reason'] == 'the time of the call is over'
    port = stalled_site.gateways[0].admin_port
    text = urllib3.request('GET', f'http://{HOST}:{port}/metrics').data.decode()
    counted = re.findall(
        r'^wingfall_decisions_total\{(.*)\} (\d+)$', text, re.MULTILINE
    )
    assert ('part="delivery",reason="incomplete"', '1') in counted
