"""Faults at the steps of a configuration change."""

from __future__ import annotations

import itertools
import signal
from typing import TYPE_CHECKING

import gevent
import pytest

from tests.faults.fault_site import ROUTERS
from tests.invariants import check_versions
from tools.fleet import wait_for
from wingfall.metrics import Metrics
from wingfall.object_api.client import HttpObjectApi
from wingfall.object_api.edit import apply_object, edit_object
from wingfall.registry import Registry

if TYPE_CHECKING:
    from tests.faults.fault_site import FaultSite

_SAMPLE_S = 0.03
_FAULT_S = 1.5
_NAMES = itertools.count()

config_faults = Registry(kind='fault')


@config_faults.register('store down')
def _down(site):
    site.script('platform', down=True)


@config_faults.register('store slow')
def _slow(site):
    site.script('platform', delay_ms=700)


@config_faults.register('answer lost after the write')
def _lost(site):
    site.script('platform', lose_answers=1)


@config_faults.register('answer lost twice')
def _lost_twice(site):
    site.script('platform', lose_answers=2)


@config_faults.register('watch gap')
def _gap(site):
    site.script('platform', forget=1)


@config_faults.register('router killed')
def _kill(site):
    site.router('a').kill()


@config_faults.register('router frozen')
def _freeze(site):
    site.router('a').signal(signal.SIGSTOP)


@config_faults.register('both routers killed')
def _kill_both(site):
    for name in ROUTERS:
        site.router(name).kill()


@config_faults.register('store down + router killed')
def _down_and_kill(site):
    _down(site)
    _kill(site)


@config_faults.register('watch gap + router frozen')
def _gap_and_freeze(site):
    _freeze(site)
    _gap(site)


class _Watcher:
    """Samples the versions in force while a cell runs."""

    def __init__(self, site: FaultSite) -> None:
        self._site = site
        self._seen: dict[str, list[int]] = {name: [] for name in ROUTERS}
        self._greenlets = [gevent.spawn(self._sample, name) for name in ROUTERS]

    def stop(self) -> list[list[int]]:
        gevent.killall(self._greenlets)
        return list(self._seen.values())

    def _sample(self, name: str) -> None:
        while True:  # noqa: WPS457
            version = self._site.version_at(name)
            # A router that has just started has nothing in force yet.
            if version:
                self._seen[name].append(version)
            gevent.sleep(_SAMPLE_S)


def _api(site):
    return HttpObjectApi(
        url=site.platform.url,
        timeout_ms=500,
        metrics=Metrics(),
    )


def _new_class():
    return {
        'kind': 'RequestClass',
        'metadata': {'name': f'made-{next(_NAMES)}'},
        'spec': {'tier': 2, 'timeout_ms': 1000},
    }


def _held(site, raw):
    url = f'{site.platform.url}/apis/wingfall/v1/objects/RequestClass/'
    return site.fleet.get_json(url + raw['metadata']['name'])


def _judge(site, watcher, confirmed):
    """Every confirmed object is kept and in force; no version went down."""
    site.heal()
    for raw in confirmed:
        assert _held(site, raw)['spec'] == raw['spec']
    assert not check_versions(watcher.stop())


@pytest.mark.parametrize('fault', config_faults.names)
def test_object_write(fault_site, fault):
    watcher = _Watcher(fault_site)
    config_faults.find(fault).unwrap()(fault_site)
    raw = _new_class()
    outcome = apply_object(_api(fault_site), raw)
    gevent.sleep(_SAMPLE_S)
    fault_site.heal()
    held = _held(fault_site, raw)
    if outcome.map(bool).value_or(False):
        assert held['spec'] == raw['spec']
    elif 'not confirmed' not in outcome.failure():
        assert 'spec' not in held, 'said not changed, but it was'
    _judge(fault_site, watcher, [])


def test_object_write_by_two_operators(fault_site):
    raw = _new_class()
    assert apply_object(_api(fault_site), raw).map(bool).value_or(False)
    name = raw['metadata']['name']

    def label(key):
        def edit(held):
            gevent.sleep(0.05)
            metadata = held['metadata']
            labels = {**metadata.get('labels', {}), key: 'yes'}
            return {**held, 'metadata': {**metadata, 'labels': labels}}

        return edit_object(_api(fault_site), raw['kind'], name, edit)

    outcomes = [gevent.spawn(label, key) for key in ('first', 'second')]
    gevent.joinall(outcomes, raise_error=True)
    won = [
        each.value for each in outcomes if each.value.map(bool).value_or(False)
    ]
    lost = [each.value for each in outcomes if each.value not in won]
    assert len(won) == 1
    assert 'conflict' in lost[0].failure()
    assert len(_held(fault_site, raw)['metadata']['labels']) == 1


@pytest.mark.parametrize('fault', config_faults.names)
def test_watch_event(fault_site, fault):
    watcher = _Watcher(fault_site)
    raw = _new_class()
    assert apply_object(_api(fault_site), raw).map(bool).value_or(False)
    config_faults.find(fault).unwrap()(fault_site)
    gevent.sleep(_FAULT_S)
    _judge(fault_site, watcher, [raw])


@pytest.mark.parametrize('fault', config_faults.names)
def test_restart(fault_site, fault):
    watcher = _Watcher(fault_site)
    raw = _new_class()
    assert apply_object(_api(fault_site), raw).map(bool).value_or(False)
    version = fault_site.accepted()
    wait_for(lambda: fault_site.version_at('a') == version, 'the change')
    config_faults.find(fault).unwrap()(fault_site)
    fault_site.router('b').restart()
    if fault in {'store down', 'store slow', 'watch gap'}:
        # In force from the peer, whatever the platform does.
        wait_for(lambda: fault_site.version_at('b') == version, 'the peer')
        assert fault_site.serves()
    _judge(fault_site, watcher, [raw])


@pytest.mark.parametrize('fault', config_faults.names)
def test_peer_fetch(fault_site, fault):
    watcher = _Watcher(fault_site)
    fault_site.router('b').kill()
    raws = [_new_class() for _class in range(5)]
    for raw in raws:
        assert apply_object(_api(fault_site), raw).map(bool).value_or(False)
    restarting = gevent.spawn(fault_site.router('b').restart)
    gevent.sleep(_FAULT_S / 3)
    config_faults.find(fault).unwrap()(fault_site)
    restarting.join()
    gevent.sleep(_FAULT_S)
    _judge(fault_site, watcher, raws)
