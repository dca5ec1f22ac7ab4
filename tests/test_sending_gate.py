"""Sending of requests under the limits, rests and leavings of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.gateway_site import CallerStandIn, GatewaySite
from tests.local_site import wait_until
from wingfall.clock import ManualClock
from wingfall.gateway.endpoints.connection_cache import ConnectionCache
from wingfall.gateway.endpoints.endpoint_connection import EndpointWithheldError
from wingfall.gateway.endpoints.sending_gate import SendingGate
from wingfall.gateway.knowledge.endpoint_signals import EndpointSignals
from wingfall.gateway.model.answer_signals import AnswerSignals
from wingfall.gateway.model.held import WithholdReason
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.rules.pacing.rate_share import share_among_few

if TYPE_CHECKING:
    from collections.abc import Iterator

ENDPOINT = 'engine-1'


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock stopped at 1000 ms."""
    return ManualClock(start_ms=1000)


@pytest.fixture
def signals(clock: ManualClock) -> EndpointSignals:
    """Return signals without entries."""
    return EndpointSignals(name='g1', clock=clock)


@pytest.fixture
def gate(clock: ManualClock, signals: EndpointSignals) -> SendingGate:
    """Return the gate of a gateway without peers."""
    return SendingGate(
        name='g1', clock=clock, signals=signals, rate_share=share_among_few
    )


@pytest.fixture
def site() -> Iterator[GatewaySite]:
    """Provide a site that is closed after the test."""
    created = GatewaySite()
    yield created
    created.close()


def test_endpoint_without_signals_takes_all_requests(gate: SendingGate):
    assert not any(gate.acquire(ENDPOINT) for _call in range(9))


def test_limit_of_zero_allows_occasional_requests(
    gate: SendingGate, signals: EndpointSignals, clock: ManualClock
):
    signals.note_answer(ENDPOINT, AnswerSignals(rate=0), 900)
    sent = 0
    for _second in range(100):
        clock.advance(1000)
        sent += gate.acquire(ENDPOINT) is None
    assert 5 <= sent <= 10


def test_own_query_counts_and_its_signals_are_applied(site: GatewaySite):
    engine = site.add_server(ENDPOINT, 'engines')
    engine.signals.limit = '0.5'
    gateway = site.add_gateway()
    wait_until(lambda: gateway.status()['limited_endpoints'])
    assert engine.signals.arrivals[0].call_id == ''
    caller = CallerStandIn(port=gateway.caller_port)
    caller.send('/stream/a', X_Token_Count='300,40', X_Prompt_Prefix='aa:200')
    assert caller.receive().status == 503


def test_share_of_a_silent_gateway_is_reassigned_after_a_delay(
    gate: SendingGate, signals: EndpointSignals, clock: ManualClock
):
    gate.note_gateways(connected=['g2', 'g3'], stopping=[], gateway_count=3)
    gate.note_gateways(connected=['g2'], stopping=[], gateway_count=2)
    assert gate.gateways == {'g1', 'g2', 'g3'}
    clock.advance(3000)
    gate.note_gateways(connected=['g2'], stopping=[], gateway_count=2)
    assert gate.gateways == {'g1', 'g2'}
    # A gateway that announces its stop sends no new requests.
    gate.note_gateways(connected=['g2'], stopping=['g2'], gateway_count=2)
    gate.note_gateways(connected=['g2'], stopping=['g2'], gateway_count=2)
    clock.advance(3000)
    gate.note_gateways(connected=['g2'], stopping=['g2'], gateway_count=2)
    assert gate.gateways == {'g1'}


def test_no_connection_to_an_endpoint_at_its_limit(
    gate: SendingGate, signals: EndpointSignals, clock: ManualClock
):
    signals.note_answer(ENDPOINT, AnswerSignals(rate=1), 900)
    connections = ConnectionCache(clock=clock, gate=gate)
    endpoint = PoolEndpoint(
        name=ENDPOINT,
        pool='engines',
        host='127.0.0.1',
        port=9,
        zone='a',
        slots=8,
        draining=False,
    )
    with pytest.raises(EndpointWithheldError, match=WithholdReason.limited):
        connections.acquire(endpoint, timeout_ms=100, allow_reuse=False)


def test_limited_pool_refuses_at_once_with_retry_after(site: GatewaySite):
    engine = site.add_server(ENDPOINT, 'engines')
    gateway = site.add_gateway()
    wait_until(lambda: engine.signals.arrivals)
    engine.signals.limit = '0.5'
    caller = CallerStandIn(port=gateway.caller_port)
    headers = {'X_Token_Count': '300,40', 'X_Prompt_Prefix': 'aa:200,bb:100'}
    caller.send('/stream/a', X_Deadline_Ms='4000', **headers)
    assert caller.receive().status == 200
    answers = []
    for number in range(3):
        caller.send(
            '/stream/a',
            X_Deadline_Ms='9000',
            X_Attempt_Id=f'again-{number}',
            **headers,
        )
        answers.append(caller.receive())
    assert [each.status for each in answers] == [503, 503, 503]
    retry_after_s = [float(each.headers['retry-after']) for each in answers]
    assert 0 < retry_after_s[0] <= 2
    assert retry_after_s[1] >= retry_after_s[0] + 1.9
    assert retry_after_s[2] >= retry_after_s[1] + 1.9
    assert b'endpoints_limited' in answers[0].body
    # The query for cached prompt parts and the first call.
    assert len(engine.signals.arrivals) == 2
    wait_until(lambda: gateway.status()['limited_endpoints'])
    limited = gateway.status()['limited_endpoints'][0]
    assert (limited['limit'], limited['own_part']) == (1 / 2, 1 / 2)
    assert limited['told_by'] == gateway.status()['name']


def test_rest_is_respected_and_followed_by_a_ramp_up(
    gate: SendingGate, signals: EndpointSignals, clock: ManualClock
):
    signals.note_answer(ENDPOINT, AnswerSignals(rest_ms=2500), 900)
    sent_ms = []
    for at_ms in range(5000):
        if gate.acquire(ENDPOINT) is None:
            sent_ms.append(at_ms)
        clock.advance(1)
    assert 2500 <= sent_ms[0] <= 2750
    # Five requests in the first second, no limit after that.
    first_second = [at_ms for at_ms in sent_ms if at_ms < sent_ms[0] + 1000]
    assert len(first_second) == 5
    assert len(sent_ms) > 1000


def test_gateways_return_at_different_times(clock: ManualClock):
    ready_times_ms = set()
    for number in range(20):
        name = f'g{number}'
        signals = EndpointSignals(name=name, clock=clock)
        gate = SendingGate(
            name=name, clock=clock, signals=signals, rate_share=share_among_few
        )
        signals.note_answer(ENDPOINT, AnswerSignals(rest_ms=1000), 900)
        ready_times_ms.add(gate.ready_in_ms(ENDPOINT))
    assert len(ready_times_ms) > 10
    assert max(ready_times_ms) - min(ready_times_ms) > 100


def test_rest_of_a_year_is_respected(
    gate: SendingGate, signals: EndpointSignals, clock: ManualClock
):
    year_ms = 365 * 86_400_000
    signals.note_answer(ENDPOINT, AnswerSignals(rest_ms=year_ms), 900)
    clock.advance(year_ms - 1)
    signals.remove_expired({ENDPOINT})
    assert gate.acquire(ENDPOINT) is WithholdReason.resting
    clock.advance(251)
    assert gate.acquire(ENDPOINT) is None


def test_resting_pool_refuses_at_once(site: GatewaySite):
    servers = [site.add_server(f'plain-{number}') for number in range(3)]
    gateway = site.add_gateway()
    for server, rest in zip(servers, ('5', '2.5', '4'), strict=True):
        server.signals.rest = rest
    answers = []
    caller = CallerStandIn(port=gateway.caller_port)
    for number in range(12):
        call_id = f'call-{number}'
        caller.send('/safe/a', X_Deadline_Ms='9000', X_Attempt_Id=call_id)
        answers.append(caller.receive())
    assert {each.status for each in answers} == {503}
    # No endpoint received a request during its rest.
    assert [len(server.signals.arrivals) for server in servers] == [1, 1, 1]
    last = answers[-12 + 3]
    assert b'endpoints_resting' in last.body
    assert 2 <= float(last.headers['retry-after']) <= 4


def test_503_without_retry_after_is_retried(site: GatewaySite):
    server = site.add_server('plain-1')
    server.faults = ['shed']
    gateway = site.add_gateway()
    caller = CallerStandIn(port=gateway.caller_port)
    caller.send('/safe/a', X_Deadline_Ms='4000')
    assert caller.receive().status == 200
    assert len(server.signals.arrivals) == 2


def test_leaving_endpoint_gets_no_requests_even_if_listed_again(
    site: GatewaySite,
):
    leaving, staying = (
        site.add_server(name) for name in ('plain-0', 'plain-1')
    )
    leaving.signals.leaving = True
    first, second = site.add_gateway(), site.add_gateway()
    wait_until(lambda: len(first.status()['peers']) == 1)
    caller = CallerStandIn(port=first.caller_port)
    for number in range(6):
        caller.send('/safe/a', X_Attempt_Id=f'call-{number}')
        assert caller.receive().status == 200
    wait_until(lambda: second.status()['leaving_endpoints'] == ['plain-0'])
    # The endpoint stays excluded if its entry expires and is written again.
    site.put_server('plain-0', 'plain')
    arrivals_before = len(leaving.signals.arrivals)
    caller = CallerStandIn(port=second.caller_port)
    for number in range(6):
        caller.send('/safe/a', X_Attempt_Id=f'other-{number}')
        assert caller.receive().status == 200
    assert arrivals_before == len(leaving.signals.arrivals) == 1
    assert len(staying.signals.arrivals) == 11


def test_pool_of_only_leaving_endpoints_refuses(site: GatewaySite):
    leaving = site.add_server('plain-0')
    leaving.signals.leaving = True
    gateway = site.add_gateway()
    caller = CallerStandIn(port=gateway.caller_port)
    statuses = []
    for number in range(3):
        caller.send('/safe/a', X_Attempt_Id=f'call-{number}')
        statuses.append(caller.receive().status)
    assert statuses == [200, 503, 503]
    # A restart of the endpoint is listed as another endpoint.
    site.add_server('plain-1')
    wait_until(lambda: 'plain-1' in gateway.status()['endpoints'])
    caller.send('/safe/a', X_Attempt_Id='call-9')
    assert caller.receive().status == 200


def test_leaving_signal_of_a_503_answer_is_applied(site: GatewaySite):
    leaving = site.add_server('plain-0')
    leaving.signals.leaving = True
    leaving.faults = ['shed']
    gateway = site.add_gateway()
    caller = CallerStandIn(port=gateway.caller_port)
    caller.send('/safe/a')
    assert caller.receive().status == 503
    assert len(leaving.signals.arrivals) == 1
    assert gateway.status()['leaving_endpoints'] == ['plain-0']
