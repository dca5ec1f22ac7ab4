"""Faults at the steps of a request."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Final

import gevent
import pytest

from tests.faults.fault_site import ENDPOINTS
from tests.faults.faults import at_message, faults
from tests.invariants import check_answers, check_once
from wingfall.wire.call_messages import Chunk, End, Head, Run
from wingfall.wire.offer_messages import Grant, Offer

if TYPE_CHECKING:
    from tests.faults.fault_site import FaultSite

_BOUND_S: Final = 30
_KEY_TRIES: Final = 5
_STEPS: Final = {
    'offer sent': (Offer, 1),
    'granted': (Grant, 1),
    'run sent': (Run, 1),
    'first byte': (Head, 1),
    'mid-stream': (Chunk, 5),
    'end': (End, 1),
}
_ASKS: Final = (
    ('a', 'stream'),
    ('b', 'stream'),
    ('a', 'once'),
    ('b', 'once'),
    ('a', 'seat'),
    ('b', 'seat'),
)


def _ask_all(site: FaultSite):
    """Send each kind of request over both routers at once."""
    once: list[str] = []
    asks = []
    for router, kind in _ASKS:
        marker = str(uuid.uuid4())
        asks.append(gevent.spawn(site.ask, router, kind, marker))
        if kind != 'stream':
            once.append(marker)
    marker = str(uuid.uuid4())
    once.append(marker)
    keyed = gevent.spawn(site.ask_keyed, marker)
    gevent.joinall([*asks, keyed], timeout=_BOUND_S, raise_error=True)
    hanging = [ask for ask in (*asks, keyed) if not ask.ready()]
    assert not hanging, 'a caller hangs'
    return [*(ask.value for ask in asks), *keyed.value], once


def _judge(site: FaultSite, outcomes, once):
    site.heal()
    runs = site.runs()
    assert not check_answers(outcomes, runs)
    assert not check_once(once, runs)
    assert not site.inversions()
    assert site.serves(), 'the site does not serve after the fault'


@pytest.mark.parametrize('fault', faults.names)
@pytest.mark.parametrize('step', ['accept', *_STEPS])
def test_request(fault_site, step, fault):
    make = faults.find(fault).unwrap()
    if step == 'accept':
        make(fault_site, ENDPOINTS[0])
    else:
        kind, count = _STEPS[step]
        fired = at_message(fault_site, kind, count, make)
    outcomes, once = _ask_all(fault_site)
    if step != 'accept':
        assert fired, 'the step was not reached'
    _judge(fault_site, outcomes, once)


def _ask_until_held(site: FaultSite):
    """Ask by new keys until an agent that has just started takes one.

    It refuses, by design, keys that may be older than what it knows.
    """
    for _try in range(_KEY_TRIES):
        marker = str(uuid.uuid4())
        tries = site.ask_keyed(marker)
        if tries[-1].whole:
            return marker, tries
    raise AssertionError('no key is ever taken')


@pytest.mark.parametrize('fault', faults.names)
def test_key_replay(fault_site, fault):
    marker, first = _ask_until_held(fault_site)
    key = first[-1].asked.headers['Idempotency-Key']
    faults.find(fault).unwrap()(fault_site, 'seats-0')
    again = []
    for router in ('b', 'a', 'b'):
        asked = fault_site.make_ask(router, 'seat', marker)
        asked.headers['Idempotency-Key'] = key
        again.append(fault_site.caller.send(asked))
        gevent.sleep(0.3)
    assert all(
        outcome.sha256 == first[-1].sha256 for outcome in again if outcome.whole
    )
    _judge(fault_site, [*first, *again], [marker])
