"""Supervision of greenlets."""

from __future__ import annotations

import gevent
from gevent.event import Event

from tests.local_site import wait_until
from wingfall.clock import Clock
from wingfall.registry import Registry
from wingfall.supervisor import Backoff, Supervisor


def test_child_that_fails_is_started_again():
    supervisor = Supervisor(name='test', clock=Clock())
    starts = []

    def body():
        starts.append(1)
        if len(starts) < 3:
            raise RuntimeError('expected by the test')

    supervisor.start('child', body).join()
    assert len(starts) == 3


def test_stop_ends_all_children():
    supervisor = Supervisor(name='test', clock=Clock())
    children = [supervisor.start('child', Event().wait) for _child in range(3)]
    gevent.sleep(0)
    supervisor.stop()
    wait_until(lambda: all(child.dead for child in children))


def test_backoff_doubles_up_to_its_bound():
    backoff = Backoff(min_ms=100, max_ms=500)
    delays = [backoff.take_ms() for _turn in range(4)]
    assert delays == [100, 200, 400, 500]
    backoff.reset()
    assert backoff.take_ms() == 100


def test_registry_names_what_it_knows():
    registry = Registry(kind='policy')
    registry.register('a')(1)
    assert registry.find('a').unwrap() == 1
    assert registry.find('b').failure() == "unknown policy 'b'; known: a"
