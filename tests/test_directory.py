"""Links to agents, and which of them a request may use."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from wingfall.config.copy import ConfigCopy
from wingfall.object_api.readings import ObjectList, WatchEvent
from wingfall.objects.customer import Customer
from wingfall.router.directory import Directory
from wingfall.router.request import Request


class _Link:
    """A link that is up unless a test says otherwise."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.usable = True
        self.stopped = False
        self.homes = None

    def run(self):
        """Do nothing."""

    def stop(self):
        self.stopped = True

    def tell_homes(self, homes):
        self.homes = homes


def _endpoint(name, port=1, **changes):
    spec = {
        'address': f'10.0.0.1:{port}',
        'zone': 'z',
        'type': 'engine',
        'models': ['m'],
        **changes,
    }
    metadata = {'name': name, 'labels': {'pool': 'chat'}}
    return {'kind': 'Endpoint', 'metadata': metadata, 'spec': spec}


def _class(name, **spec):
    spec = {'tier': 0, 'timeout_ms': 1000, **spec}
    return {'kind': 'RequestClass', 'metadata': {'name': name}, 'spec': spec}


@pytest.fixture
def copy():
    """Give an empty configuration."""
    return ConfigCopy()


@pytest.fixture
def directory(copy):
    """Give a directory of links that don't connect."""
    return Directory(
        copy=copy,
        supervisor=SimpleNamespace(start=lambda *_child: None),
        make_link=_Link,
    )


def _apply(copy, *raws):
    version = copy.version + 1
    copy.apply_list(ObjectList(version=version, objects=list(raws)))


def _request(copy, model='m', class_name='plain'):
    customer = Customer(
        name='c',
        labels={},
        key_hashes=(),
        worth=1,
        requests_per_s=None,
        concurrent=None,
    )
    return Request(
        request_id='r',
        customer=customer,
        request_class=copy.find_class(class_name),
        arrived_ms=0,
        timeout_ms=1000,
        repeatable=True,
        method='POST',
        path='/',
        headers={},
        body=b'',
        model=model,
    )


def _names(links):
    return sorted(link.endpoint.name for link in links)


def test_links_follow_the_configuration(copy, directory):
    _apply(copy, _endpoint('a'), _endpoint('b'))
    first = directory.links['a']
    _apply(copy, _endpoint('a', models=['n']), _endpoint('c'))
    assert sorted(directory.links) == ['a', 'c']
    assert directory.links['a'] is first
    assert first.endpoint.models == {'n'}


def test_moved_endpoint_gets_a_new_link(copy, directory):
    _apply(copy, _endpoint('a'))
    first = directory.links['a']
    _apply(copy, _endpoint('a', port=2))
    assert first.stopped
    assert directory.links['a'] is not first


def test_change_of_labels_is_heeded_at_once(copy, directory):
    _apply(copy, _class('plain', endpoints='pool=chat'), _endpoint('a'))
    request = _request(copy)
    assert _names(directory.usable(request, set())) == ['a']
    moved = _endpoint('a')
    moved['metadata']['labels'] = {'pool': 'test'}
    copy.apply_event(WatchEvent(version=9, raw=moved))
    assert not directory.usable(request, set())
    assert not directory.configured(request)


def test_tried_and_unusable_links_are_left_out(copy, directory):
    _apply(copy, _class('plain'), *map(_endpoint, 'abc'))
    directory.links['b'].usable = False
    assert _names(directory.usable(_request(copy), {'a'})) == ['c']


def test_one_usable_link_among_many_is_found(copy, directory):
    names = [f'e{number}' for number in range(500)]
    _apply(copy, _class('plain'), *map(_endpoint, names))
    for name in names[1:]:
        directory.links[name].usable = False
    for _turn in range(20):
        assert _names(directory.usable(_request(copy), set())) == ['e0']


def test_samples_reach_every_link(copy, directory):
    names = [f'e{number}' for number in range(200)]
    _apply(copy, _class('plain'), *map(_endpoint, names))
    request = _request(copy)
    seen = set()
    for _turn in range(300):
        seen.update(_names(directory.usable(request, set())))
    assert seen == set(names)


def test_members_are_told_for_unrepeatable_classes_only(copy, directory):
    _apply(
        copy,
        _class('plain'),
        _class('seat', repeatable=False),
        _endpoint('a'),
        _endpoint('b', models=['m', 'n']),
    )
    homes = directory.links['b'].homes
    assert sorted(homes) == ['seat/m', 'seat/n']
    assert directory.links['a'].homes == {'seat/m': homes['seat/m']}
