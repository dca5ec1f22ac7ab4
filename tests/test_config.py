"""The copy of the configuration and the follower that keeps it."""

from __future__ import annotations

import gevent
import pytest
from gevent.event import Event

from standins.platform import PlatformStandIn
from standins.serving import start_server
from tests.local_site import HOST, wait_until
from wingfall.config.copy import ConfigCopy
from wingfall.config.follower import ConfigFollower
from wingfall.metrics import Metrics
from wingfall.object_api.client import HttpObjectApi
from wingfall.object_api.readings import ObjectList, WatchEvent
from wingfall.objects.customer import hash_key


def _class(name, **spec):
    return {
        'kind': 'RequestClass',
        'metadata': {'name': name},
        'spec': {'tier': 1, 'timeout_ms': 1000, **spec},
    }


def _customer(name, *keys):
    return {
        'kind': 'Customer',
        'metadata': {'name': name},
        'spec': {'key_hashes': [hash_key(key) for key in keys]},
    }


def _names(copy):
    return sorted(known.name for known in copy.classes)


def test_lower_version_is_never_applied():
    copy = ConfigCopy()
    copy.apply_list(ObjectList(version=5, objects=[_class('a')]))
    assert not copy.apply_list(ObjectList(version=4, objects=[]))
    assert not copy.apply_event(
        WatchEvent(version=5, raw=_class('a'), deleted=True),
    )
    assert _names(copy) == ['a']
    assert copy.version == 5


def test_list_drops_what_it_does_not_hold():
    copy = ConfigCopy()
    objects = [_class('a'), _class('b'), _customer('c', 'key')]
    copy.apply_list(ObjectList(version=1, objects=objects))
    copy.apply_list(ObjectList(version=2, objects=[_class('b')]))
    assert _names(copy) == ['b']
    assert copy.find_customer(hash_key('key')) is None


def test_bad_object_leaves_the_last_good_one_in_force():
    copy = ConfigCopy()
    copy.apply_list(ObjectList(version=1, objects=[_class('a', tier=3)]))
    copy.apply_event(WatchEvent(version=2, raw=_class('a', tier='high')))
    assert copy.find_class('a').tier == 3
    assert 'tier' in copy.faults['RequestClass', 'a']
    copy.apply_event(WatchEvent(version=3, raw=_class('a', tier=0)))
    assert copy.find_class('a').tier == 0
    assert not copy.faults


def test_replaced_keys_are_forgotten():
    copy = ConfigCopy()
    copy.apply_list(ObjectList(version=1, objects=[_customer('c', 'old')]))
    copy.apply_event(WatchEvent(version=2, raw=_customer('c', 'new')))
    assert copy.find_customer(hash_key('old')) is None
    assert copy.find_customer(hash_key('new')).name == 'c'


def test_key_that_moved_stays_with_its_new_customer():
    copy = ConfigCopy()
    copy.apply_list(ObjectList(version=1, objects=[_customer('a', 'key')]))
    copy.apply_event(WatchEvent(version=2, raw=_customer('b', 'key')))
    copy.apply_event(
        WatchEvent(version=3, raw=_customer('a', 'key'), deleted=True),
    )
    assert copy.find_customer(hash_key('key')).name == 'b'


@pytest.fixture
def platform():
    """Give a platform that keeps three changes."""
    return PlatformStandIn(history=3)


@pytest.fixture
def followed(platform):
    """Give a copy that a follower keeps."""
    server = start_server(platform.app)
    copy = ConfigCopy()
    api = HttpObjectApi(
        url=f'http://{HOST}:{server.port}',
        timeout_ms=2000,
        metrics=Metrics(),
    )
    follower = ConfigFollower(
        api=api, copy=copy, watch_ms=300, holds_watch=lambda: True
    )
    stop = Event()
    running = gevent.spawn(follower.follow, stop)
    yield copy
    stop.set()
    running.kill()
    server.stop()


def test_change_comes_by_the_watch(platform, followed):
    wait_until(lambda: followed.version)
    calls = platform.calls
    platform.put(_class('a'))
    wait_until(lambda: _names(followed) == ['a'])
    platform.delete('RequestClass', 'a')
    wait_until(lambda: not _names(followed))
    assert platform.calls <= calls + 4


def test_outage_leaves_the_copy_in_force(platform, followed):
    platform.put(_class('a'))
    wait_until(lambda: _names(followed) == ['a'])
    platform.script = {'down': 1}
    calls = platform.calls
    wait_until(lambda: platform.calls > calls + 1)
    assert _names(followed) == ['a']
    platform.put(_class('b'))
    platform.script = {}
    wait_until(lambda: _names(followed) == ['a', 'b'])


def test_version_too_old_starts_a_new_list(platform, followed):
    wait_until(lambda: followed.version)
    platform.script = {'down': 1}
    calls = platform.calls
    wait_until(lambda: platform.calls > calls + 1)
    for number in range(10):
        platform.put(_class(f'class-{number}'))
    platform.delete('RequestClass', 'class-0')
    platform.script = {}
    wait_until(lambda: followed.version == platform.version)
    assert len(_names(followed)) == 9
