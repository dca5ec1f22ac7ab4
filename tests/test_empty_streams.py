"""Streams that are taken up after their last event, so that none is left."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import pytest

from standins.prompt_crash import PromptCrash
from tests.gateway_site import GatewaySite
from tests.test_gateway_streams import PROMPT, parse_event_ids

if TYPE_CHECKING:
    from standins.pool_server import PoolServerStandIn, Run
    from standins.received_answer import ReceivedAnswer

EVENTS: Final = 3
LAST_EVENT_ID: Final = '3'


@pytest.fixture(params=[False, True], ids=['chunks', 'no_length'])
def engine_site(
    gateway_site: GatewaySite, request: pytest.FixtureRequest
) -> GatewaySite:
    """Return a site of one gateway and two engines."""
    for name in ('one', 'two'):
        server = gateway_site.add_server(name, 'engines')
        server.events = EVENTS
        server.unframed_streams = request.param
    gateway_site.add_gateway()
    return gateway_site


def begin(site: GatewaySite) -> ReceivedAnswer:
    """Request a whole stream."""
    return site.ask('/stream/x', method='POST', X_Attempt_Id='a0', **PROMPT)


def take_up(site: GatewaySite, **headers: str) -> ReceivedAnswer:
    """Take up the stream after its last event."""
    changed = {'Last_Event_Id': LAST_EVENT_ID, 'Resumes': 'a0', **headers}
    return site.ask('/stream/x', method='POST', **{**PROMPT, **changed})


def list_resumed(site: GatewaySite) -> list[tuple[PoolServerStandIn, Run]]:
    """List the runs that continue a stream, with their engines."""
    return [
        (server, run)
        for server in site.servers.values()
        for run in server.runs
        if 'last-event-id' in run.headers
    ]


def test_stream_that_is_taken_up_after_its_last_event_is_complete(
    engine_site: GatewaySite,
):
    begin(engine_site)
    answer = take_up(engine_site)
    ((server, run),) = list_resumed(engine_site)
    assert run.headers['last-event-id'] == LAST_EVENT_ID
    assert answer.status == 200
    assert answer.whole
    assert not answer.body
    assert answer.headers['content-type'] == 'text/event-stream'
    assert answer.headers['x-attempt-id'] == 'a1'
    assert answer.headers['x-response-seal'] == f'seal.{server.name}'


def test_connection_of_the_caller_takes_another_request_after_it(
    engine_site: GatewaySite,
):
    begin(engine_site)
    caller = engine_site.caller()
    resumed = {'Last_Event_Id': LAST_EVENT_ID, 'Resumes': 'a0'}
    caller.send('/stream/x', method='POST', **PROMPT, **resumed)
    assert caller.receive().status == 200
    caller.send('/stream/x', method='POST', X_Attempt_Id='a2', **PROMPT)
    assert parse_event_ids(caller.receive().body) == [1, 2, 3]


def test_new_stream_without_an_event_is_broken(engine_site: GatewaySite):
    for server in engine_site.servers.values():
        server.events = 0
    assert begin(engine_site).status == 502


def test_stream_that_is_taken_up_and_ends_inside_an_event_is_broken(
    engine_site: GatewaySite,
):
    begin(engine_site)
    for server in engine_site.servers.values():
        server.faults = ['half', 'half']
    answer = take_up(engine_site, Last_Event_Id='2')
    assert list_resumed(engine_site)
    assert answer.status == 502


def test_empty_stream_that_the_end_of_its_engine_cut_is_broken(
    engine_site: GatewaySite,
):
    begin(engine_site)
    faults = ['headonly']
    for server in engine_site.servers.values():
        server.faults = faults
        server.prompt_crash = PromptCrash(closes=True)
    answer = take_up(engine_site, Last_Event_Id='2')
    assert len(list_resumed(engine_site)) == 2
    assert answer.whole
    assert parse_event_ids(answer.body) == [3]


def test_stream_cut_after_its_last_event_ends_as_complete(
    engine_site: GatewaySite,
):
    def recover(_run: Run) -> None:
        for server in engine_site.servers.values():
            server.prompt_crash = PromptCrash()

    for server in engine_site.servers.values():
        server.prompt_crash = PromptCrash(parts=('aa',), after_events=EVENTS)
        server.on_crash = recover
    answer = begin(engine_site)
    assert answer.whole
    assert parse_event_ids(answer.body) == [1, 2, 3]
    ((server, run),) = list_resumed(engine_site)
    assert not server.crashed
    assert run.headers['last-event-id'] == LAST_EVENT_ID


def test_empty_stream_proves_nothing_of_its_prompt(engine_site: GatewaySite):
    crashes = engine_site.gateways[0]._state.knowledge.crashes
    begin(engine_site)
    served = len(crashes._recently_served)
    served_parts = len(crashes._recently_served_parts)
    changed = {'X_Prompt_Prefix': 'cc:200,dd:100'}
    assert take_up(engine_site, **changed).status == 200
    assert len(crashes._recently_served) == served
    assert len(crashes._recently_served_parts) == served_parts
