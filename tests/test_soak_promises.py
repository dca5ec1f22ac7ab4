"""The promises of a soak can be broken, and are not broken by chance."""

from __future__ import annotations

from types import SimpleNamespace
from typing import final

import pytest

from standins.body_reading import body_of
from standins.pool_server import PoolServerStandIn, Run
from tools.soak.body_promises import answered_bodies_whole, bodies_unmixed
from tools.soak.promises import (
    added_routes_are_there,
    in_force,
    planned_stop_answers,
    revoked_keys_are_refused,
)
from tools.soak.stream_promises import (
    streams_stay_at_their_version,
    streams_that_are_taken_up_go_on,
)
from tools.soak.traffic import Outcome

REVOKED_S = 100.0
KEY = 'key-1'
ROUTE = 'added-1'


@final
class _Site:
    """What a soak notes of its disturbances."""

    def __init__(self, *store_disturbed: tuple[float, float]) -> None:
        self.store_disturbed = list(store_disturbed)
        self.disturbed: dict[str, list[float]] = {}
        self.revoked_s = {KEY: REVOKED_S}
        self.added_s = {ROUTE: REVOKED_S}


def served(sent_s: float) -> Outcome:
    """Make a request with the key that was served."""
    outcome = Outcome(call_id='call', kind='safe', gateway='g', key=KEY)
    outcome.sent_s = sent_s
    outcome.status = 200
    return outcome


@pytest.mark.parametrize(
    ('disturbed', 'sent_s', 'learned'),
    [
        ((), 102.0, False),
        ((), 103.0, True),
        (((90, 96),), 103.0, True),
        (((90, 99),), 103.0, False),
        (((90, 99),), 105.0, True),
        (((101, 104),), 105.0, False),
        (((101, 104),), 110.0, True),
        (((103, 120),), 110.0, True),
        (((101, 104), (106, 120)), 125.0, False),
        (((101, 104), (106, 120)), 126.0, True),
    ],
)
def test_change_is_in_force_after_a_calm_time(
    disturbed: tuple[tuple[float, float], ...],
    sent_s: float,
    learned: bool,
):
    assert in_force(_Site(*disturbed), REVOKED_S, sent_s) is learned


def test_key_that_is_never_forgotten_breaks_a_promise():
    broken = revoked_keys_are_refused(_Site(), [served(101), served(104)])
    assert list(broken) == ['call was served with a key taken away']


def test_paused_gateway_may_not_know_yet():
    site = _Site()
    site.disturbed['g'] = [103.0]
    assert not list(revoked_keys_are_refused(site, [served(104)]))


def test_added_route_that_is_unknown_too_long_breaks_a_promise():
    asked = [served(101), served(104)]
    for each in asked:
        each.route = ROUTE
        each.status = 404
    (broken,) = added_routes_are_there(_Site(), asked)
    assert broken == f'call: {ROUTE} is unknown after 4.0 s'


def stream(
    call_id: str, version: str, first: int, resumes: str = ''
) -> Outcome:
    """Make a request for a stream that got two events."""
    outcome = Outcome(call_id=call_id, kind='stream', gateway='g', key=KEY)
    outcome.resumes = resumes
    outcome.engines_of_version = 2
    outcome.status = 200
    outcome.body = b''.join(
        f'id: {number}\ndata: {call_id} {number} {version}\n\n'.encode()
        for number in (first, first + 1)
    )
    return outcome


def test_three_streams_of_two_versions_break_a_promise():
    outcomes = []
    for number in range(3):
        outcomes.append(stream(f'a{number}', 'v1', 1))
        outcomes.append(stream(f'b{number}', 'v2', 3, resumes=f'a{number}'))
    assert not list(streams_stay_at_their_version(_Site(), outcomes[:4]))
    (broken,) = streams_stay_at_their_version(_Site(), outcomes)
    assert broken.startswith('3 streams of two versions')


def test_streams_that_rarely_go_on_break_a_promise():
    outcomes = [stream('new', 'v1', 1)]
    for number in range(12):
        outcomes.append(stream(f'r{number}', 'v1', 3, resumes='new'))
    assert not list(streams_that_are_taken_up_go_on(_Site(), outcomes))
    for refused in outcomes[-7:]:
        refused.status = 503
        refused.body = b''
    (broken,) = streams_that_are_taken_up_go_on(_Site(), outcomes)
    assert broken == '0.42 of 12 streams went on, 1.00 of new ones began'


def site_with_request(body: bytes) -> SimpleNamespace:
    """Make a site whose endpoint ran a request with a body of ten bytes."""
    standin = PoolServerStandIn(name='one')
    standin.stop()
    run = Run(call_id='call', headers={})
    run.body = body
    run.length = 10
    standin.runs.append(run)
    standin.reading.requests.append(run)
    server = SimpleNamespace(name='one', standin=standin)
    return SimpleNamespace(servers=[server])


def long_call() -> Outcome:
    """Make a request with a body of ten bytes."""
    outcome = Outcome(call_id='call', kind='unsafe', gateway='g', key=KEY)
    outcome.body_bytes = 10
    return outcome


def test_other_bytes_in_a_body_break_a_promise():
    assert not list(bodies_unmixed(site_with_request(b'call.'), []))
    (broken,) = bodies_unmixed(site_with_request(b'call.GET /x'), [])
    assert broken == 'one got other bytes in call'


def test_run_with_a_part_of_its_body_breaks_a_promise():
    whole = site_with_request(body_of('call', 10))
    assert not list(answered_bodies_whole(whole, [long_call()]))
    part = site_with_request(b'call.')
    (broken,) = answered_bodies_whole(part, [long_call()])
    assert broken == 'one ran a part of call'


@pytest.mark.parametrize(
    ('disturbed_s', 'is_broken'), [(106.5, False), (108.5, True)]
)
def test_unanswered_run_is_excused_only_by_a_disturbance_before_its_end(
    disturbed_s: float, *, is_broken: bool
):
    site = site_with_request(b'')
    site.disturbed = {'g': [disturbed_s]}
    outcome = long_call()
    outcome.sent_whole = True
    outcome.sent_s = 100
    outcome.ended_s = 108
    assert bool(list(planned_stop_answers(site, [outcome]))) is is_broken
