"""Idempotency keys: the table, and the way through a site."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING

import gevent
import orjson
import pytest

from tests.local_site import wait_until
from wingfall.clock import ManualClock, WallClock
from wingfall.decision.keys import (
    MAX_ANSWER_BYTES,
    MAX_TABLE_BYTES,
    KeyState,
    KeyTable,
)

if TYPE_CHECKING:
    from tests.local_site import LocalSite

_WINDOW_MS = 60_000
_DIGEST = b'digest'


@pytest.fixture
def wall():
    """Give a clock for the time of day."""
    return ManualClock(start_ms=1_700_000_000_000)


@pytest.fixture
def table(clock, wall):
    """Give an empty table."""
    return KeyTable(clock=clock, wall=wall, window_ms=_WINDOW_MS)


@pytest.fixture
def homed(table):
    """Give a table that knows the members from its start."""
    table.note_home('seat', b'a')
    return table


def _uuid7(ms):
    version_and_variant = (7 << 76) | (2 << 62)
    return str(uuid.UUID(int=(ms << 80) | version_and_variant))


def _look_up(table, key, members=b'a', digest=_DIGEST):
    return table.look_up(key, digest=digest, home='seat', members=members)


def _advance(ms, *clocks):
    for each in clocks:
        each.advance(ms)


def test_home_that_is_heard_of_late_starts_late(table, clock):
    clock.advance(_WINDOW_MS)
    assert _look_up(table, 'key') is KeyState.too_old


def test_opaque_key_is_held_off_for_one_window(homed, clock):
    assert _look_up(homed, 'key') is KeyState.too_old
    clock.advance(_WINDOW_MS - 1)
    assert _look_up(homed, 'key') is KeyState.too_old
    clock.advance(1)
    assert _look_up(homed, 'key') is KeyState.fresh


def test_uuid7_tells_that_it_is_younger_than_the_table(homed, clock, wall):
    before = _uuid7(wall.now_ms())
    assert _look_up(homed, before) is KeyState.too_old
    _advance(10_000, clock, wall)
    assert _look_up(homed, before) is KeyState.too_old
    assert _look_up(homed, _uuid7(wall.now_ms())) is KeyState.fresh


def test_key_older_than_the_window_is_refused(homed, clock, wall):
    _advance(10_000, clock, wall)
    old = _uuid7(wall.now_ms())
    _advance(_WINDOW_MS + 1, clock, wall)
    assert _look_up(homed, old) is KeyState.too_old


def test_change_of_members_starts_anew(homed, clock, wall):
    _advance(_WINDOW_MS, clock, wall)
    assert _look_up(homed, 'key') is KeyState.fresh
    assert _look_up(homed, 'key', members=b'b') is KeyState.too_old
    _advance(_WINDOW_MS, clock, wall)
    assert _look_up(homed, 'key', members=b'b') is KeyState.fresh


def test_key_has_one_run_and_its_answer_is_held(homed, clock):
    clock.advance(_WINDOW_MS)
    answer = homed.begin('key', _DIGEST)
    assert homed.begin('key', _DIGEST) is None
    assert _look_up(homed, 'key') is KeyState.running
    assert _look_up(homed, 'key', digest=b'other') is KeyState.mismatch
    answer.append(b'body')
    homed.end('key', whole=True, ran=True)
    assert _look_up(homed, 'key') is KeyState.held
    clock.advance(_WINDOW_MS)
    homed.forget_old()
    assert not len(homed)


def test_running_key_is_not_forgotten(table, clock):
    table.begin('key', _DIGEST)
    clock.advance(10 * _WINDOW_MS)
    table.forget_old()
    assert _look_up(table, 'key') is KeyState.running


def test_broken_run_is_lost_and_one_that_did_not_run_is_free(homed, clock):
    clock.advance(_WINDOW_MS)
    homed.begin('broken', _DIGEST)
    homed.end('broken', whole=False, ran=True)
    assert _look_up(homed, 'broken') is KeyState.lost
    homed.begin('free', _DIGEST)
    homed.end('free', whole=False, ran=False)
    assert _look_up(homed, 'free') is KeyState.fresh


def test_memory_of_answers_is_bounded(table):
    count = MAX_TABLE_BYTES // MAX_ANSWER_BYTES + 10
    for number in range(count):
        answer = table.begin(str(number), _DIGEST)
        answer.append(bytes(MAX_ANSWER_BYTES))
        table.end(str(number), whole=True, ran=True)
    held = [table.find(str(number)) for number in range(count)]
    assert sum(len(answer.body) for answer in held) <= MAX_TABLE_BYTES
    assert held[0].state is KeyState.lost
    assert held[-1].state is KeyState.held


def test_answer_that_is_too_large_is_not_held(table):
    answer = table.begin('key', _DIGEST)
    answer.append(bytes(MAX_ANSWER_BYTES))
    answer.append(b'x')
    table.end('key', whole=True, ran=True)
    assert not answer.body
    assert answer.state is KeyState.lost


@pytest.fixture
def keyed(site: LocalSite) -> LocalSite:
    """Give a site with two services, up for long, and two routers."""
    site.add_class('seat', repeatable=False)
    site.add_service('seats-0')
    site.add_service('seats-1')
    site.add_router()
    site.add_router()
    for agent in site.agents.values():
        homes = agent.calls.keys.homes
        wait_until(lambda homes=homes: 'seat/seats' in homes)
        # As if the agents had been up for a day.
        homes['seat/seats'].since_ms -= 86_400_000
    return site


def _ask(site, key, router=0, body=b'seat 7'):
    return site.ask(
        site.routers[router],
        '/services/seats/assign',
        body=body,
        headers={'Idempotency-Key': key},
    )


def _runs(site):
    return sum(
        len(runs)
        for service in site.services.values()
        for runs in service.runs.values()
    )


def test_retry_through_another_router_gets_the_first_answer(keyed):
    first, second = _ask(keyed, 'k', 0), _ask(keyed, 'k', 1)
    assert first.status == second.status == 200
    assert first.data == second.data
    assert _runs(keyed) == 1


def test_uuid7_is_known_as_one_through_a_router(keyed):
    for agent in keyed.agents.values():
        since_ms = agent.clock.now_ms() - 20_000
        agent.calls.keys.homes['seat/seats'].since_ms = since_ms
    wall_ms = WallClock().now_ms()
    assert _ask(keyed, _uuid7(wall_ms)).status == 200
    old = _ask(keyed, _uuid7(wall_ms - 30_000))
    assert (old.status, _code(old)) == (409, 'key_not_held')
    opaque = _ask(keyed, 'opaque')
    assert (opaque.status, _code(opaque)) == (409, 'key_not_held')


def test_key_of_a_running_call_is_in_use(keyed):
    for service in keyed.services.values():
        service.script = {'delay_ms': 300}
    first = gevent.spawn(_ask, keyed, 'k', 0)
    wait_until(lambda: _runs_open(keyed))
    second = _ask(keyed, 'k', 1)
    assert (second.status, _code(second)) == (409, 'key_in_use')
    assert second.headers['Wingfall-Run'] == 'unknown'
    assert first.get().status == 200
    assert _ask(keyed, 'k', 1).data == first.value.data
    assert _runs(keyed) == 1


def test_key_for_another_request_is_a_mismatch(keyed):
    assert _ask(keyed, 'k').status == 200
    other = _ask(keyed, 'k', body=b'seat 8')
    assert (other.status, _code(other)) == (409, 'key_mismatch')


def test_caller_that_left_finds_the_answer_of_its_key(keyed):
    for service in keyed.services.values():
        service.script = {'delay_ms': 300}
    left = gevent.spawn(_ask, keyed, 'k', 0)
    wait_until(lambda: _runs_open(keyed))
    left.kill()
    wait_until(lambda: _ask(keyed, 'k', 1).status == 200)
    assert _runs(keyed) == 1


def test_lost_home_is_not_replaced_by_guess(keyed):
    home = _ask(keyed, 'k').headers['Wingfall-Endpoint']
    keyed.agents[home].close()
    router = keyed.routers[0]
    wait_until(lambda: not router.directory.links[home].usable)
    refused = _ask(keyed, 'k')
    assert (refused.status, _code(refused)) == (503, 'key_home_down')
    assert refused.headers['Wingfall-Run'] == 'unknown'
    assert _runs(keyed) == 1


def test_next_home_refuses_keys_that_may_have_run(keyed):
    answered = _ask(keyed, 'k')
    home = answered.headers['Wingfall-Endpoint']
    keyed.platform.delete('Endpoint', home)
    router = keyed.routers[0]
    wait_until(lambda: home not in router.directory.links)
    refused = _ask(keyed, 'k')
    assert (refused.status, _code(refused)) == (409, 'key_not_held')
    assert refused.headers['Wingfall-Run'] == 'unknown'
    assert _runs(keyed) == 1


def test_keys_spread_over_homes(keyed):
    homes = {
        _ask(keyed, hashlib.sha256(bytes([number])).hexdigest()).headers[
            'Wingfall-Endpoint'
        ]
        for number in range(20)
    }
    assert len(homes) == 2


def _runs_open(site):
    return any(service.runs for service in site.services.values())


def _code(response):
    return orjson.loads(response.data)['error']['code']
