"""Faults at the steps of a planned stop."""

from __future__ import annotations

import signal
import uuid
from typing import TYPE_CHECKING

import gevent
import pytest

from tests.faults.fault_site import ENDPOINTS
from tests.faults.faults import faults
from tests.invariants import check_answers, check_once
from tools.fleet import wait_for

if TYPE_CHECKING:
    from tests.faults.fault_site import FaultSite

_LEAVING = ENDPOINTS[0]
_NOTICE_S = 3
_STREAMS = 12
_ENDS_THE_STOP = frozenset(('agent killed', 'store down + agent killed'))
_BREAKS_ANSWERS = _ENDS_THE_STOP | {
    'router killed',
    'engine crashed',
}


def _start(site: FaultSite, routers=('a', 'b')):
    """Start slow streams, more than one engine has slots for."""
    for name in ENDPOINTS[:2]:
        site.script(name, pace=4)
    asks = []
    for _ask in range(_STREAMS // len(routers)):
        for router in routers:
            marker = str(uuid.uuid4())
            asks.append(gevent.spawn(site.ask, router, 'once', marker))
    wait_for(lambda: _running(site), 'the streams to run')
    return asks


def _running(site):
    agent = site.process(f'agent-{_LEAVING}')
    return site.fleet.get_json(f'{agent.admin_url}/status')['running']


def _run_count(site):
    url = f'{site.process(_LEAVING).url}/ledger'
    return len(site.fleet.get_json(url))


def _finish(site, asks):
    gevent.joinall(asks, timeout=30, raise_error=True)
    outcomes = [ask.value for ask in asks]
    site.heal()
    runs = site.runs()
    assert not check_answers(outcomes, runs)
    markers = [outcome.asked.headers['X-Marker'] for outcome in outcomes]
    assert not check_once(markers, runs)
    assert site.serves()
    return outcomes


def _none_cut(outcomes):
    """What came after the notice may be refused, and has not run then."""
    refused = [outcome for outcome in outcomes if outcome.run == 'not_run']
    whole = [outcome for outcome in outcomes if outcome.whole]
    return whole and len(whole) + len(refused) == len(outcomes)


@pytest.mark.parametrize('fault', [*faults.names, 'none'])
def test_leaving_noticed(fault_site, fault):
    asks = _start(fault_site)
    agent = fault_site.process(f'agent-{_LEAVING}')
    agent.signal(signal.SIGTERM)
    if fault != 'none':
        faults.find(fault).unwrap()(fault_site, _LEAVING)
    gevent.sleep(_NOTICE_S)
    before = _run_count(fault_site)
    for _ask in range(5):
        fault_site.ask('b', 'stream', str(uuid.uuid4()))
    assert _run_count(fault_site) == before, 'new work after the notice'
    ended = agent.wait()
    outcomes = _finish(fault_site, asks)
    if fault not in _ENDS_THE_STOP:
        assert ended == 0
    if fault not in _BREAKS_ANSWERS:
        assert _none_cut(outcomes), 'a call was cut off'


@pytest.mark.parametrize('fault', [*faults.names, 'none'])
def test_draining(fault_site, fault):
    asks = _start(fault_site, routers=('a',))
    router = fault_site.router('a')
    router.signal(signal.SIGTERM)
    if fault != 'none':
        faults.find(fault).unwrap()(fault_site, _LEAVING)
    ended = router.wait()
    outcomes = _finish(fault_site, asks)
    if fault != 'router killed':
        assert ended == 0
    if fault not in _BREAKS_ANSWERS:
        assert _none_cut(outcomes), 'a request was cut'


@pytest.mark.parametrize('fault', ['store down', 'connection cut', 'none'])
def test_exit(fault_site, fault):
    """Both processes of the way stop at once."""
    asks = _start(fault_site, routers=('a',))
    processes = [
        fault_site.router('a'),
        fault_site.process(f'agent-{_LEAVING}'),
    ]
    for process in processes:
        process.signal(signal.SIGTERM)
    if fault != 'none':
        faults.find(fault).unwrap()(fault_site, _LEAVING)
    assert [process.wait() for process in processes] == [0, 0]
    outcomes = _finish(fault_site, asks)
    assert _none_cut(outcomes), 'a request was cut'
