"""Routers that keep each other's configuration up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import pytest

from tests.local_site import HOST, wait_until
from wingfall.clock import ManualClock
from wingfall.config.copy import ConfigCopy
from wingfall.config.fetcher import ConfigFetcher, answer_fetch
from wingfall.config.history import History
from wingfall.object_api.readings import ObjectList, WatchEvent

if TYPE_CHECKING:
    from tests.local_site import LocalSite

_NOWHERE = {'url': f'http://{HOST}:9'}


def _raw(name, version=1, **spec):
    return {
        'kind': 'RequestClass',
        'metadata': {'name': name, 'resourceVersion': str(version)},
        'spec': {'tier': 1, 'timeout_ms': 1000, **spec},
    }


def _names(copy):
    return sorted(known.name for known in copy.classes)


def _list(version, *names):
    return ObjectList(version=version, objects=[_raw(name) for name in names])


class _Peer:
    """A peer whose messages are kept."""

    def __init__(self, name='peer'):
        self.name = name
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def _exchange(behind, ahead):
    peer = _Peer()
    fetcher = ConfigFetcher(clock=ManualClock(), copy=behind)
    fetcher.note_version(peer, ahead.version)
    pages = []
    answer_fetch(ahead, peer.sent[0], pages.append)
    for page in pages:
        fetcher.note_page(peer, page)
    return pages


def test_empty_copy_gets_a_snapshot():
    behind, ahead = ConfigCopy(), ConfigCopy()
    ahead.apply_list(_list(7, 'a', 'b'))
    pages = _exchange(behind, ahead)
    assert pages[-1].snapshot
    assert (behind.version, _names(behind)) == (7, ['a', 'b'])


def test_copy_that_is_little_behind_gets_a_delta():
    behind, ahead = ConfigCopy(), ConfigCopy()
    for copy in (behind, ahead):
        copy.apply_list(_list(7, 'a', 'b'))
    ahead.apply_event(WatchEvent(version=8, raw=_raw('c', 8)))
    gone = _raw('a', 9)
    ahead.apply_event(WatchEvent(version=9, raw=gone, deleted=True))
    pages = _exchange(behind, ahead)
    assert not pages[-1].snapshot
    assert (behind.version, _names(behind)) == (9, ['b', 'c'])


def test_large_snapshot_comes_in_pages_and_applies_at_once():
    behind, ahead = ConfigCopy(), ConfigCopy()
    ahead.apply_list(_list(7, *(f'class-{number}' for number in range(4000))))
    versions = []
    behind.listen(lambda: versions.append(len(behind.classes)))
    pages = _exchange(behind, ahead)
    assert len(pages) > 1
    assert versions == [4000]


def test_only_one_fetch_is_open_until_it_times_out():
    clock = ManualClock()
    fetcher = ConfigFetcher(clock=clock, copy=ConfigCopy())
    first, second = _Peer('first'), _Peer('second')
    for peer in (first, first, second):
        fetcher.note_version(peer, 5)
    assert (len(first.sent), len(second.sent)) == (1, 0)
    clock.advance(3000)
    fetcher.note_version(second, 5)
    assert len(second.sent) == 1


def test_lower_version_of_a_peer_is_not_fetched():
    copy = ConfigCopy()
    copy.apply_list(_list(7, 'a'))
    peer = _Peer()
    ConfigFetcher(clock=ManualClock(), copy=copy).note_version(peer, 6)
    assert not peer.sent


def test_history_forgets_and_says_so():
    history = History(max_changes=2)
    history.replace(1, [])
    for version in (2, 3, 4):
        raw = _raw(f'c-{version}', version)
        history.note(WatchEvent(version=version, raw=raw))
    assert history.delta(1) is None
    assert len(history.delta(2)) == 2
    assert not history.delta(4)
    assert len(list(history.snapshot())) == 3


@pytest.fixture
def ring(site: LocalSite) -> LocalSite:
    """Give four routers that know the first; only two may watch."""
    site.add_class('first')
    site.add_router()
    seeds = [f'{HOST}:{site.routers[0].peer_port}']
    for _router in range(3):
        site.add_router(peers={'seeds': seeds})
    wait_until(lambda: len(site.routers[0].status()['peers']) == 3)
    return site


def _all_in_force(site):
    return all(
        router.copy.version == site.platform.version for router in site.routers
    )


def test_change_reaches_routers_that_do_not_watch(ring):
    hub = ring.routers[0]
    wait_until(lambda: hub.status()['holds_watch'] or ring.platform.calls)
    ring.add_class('second')
    wait_until(lambda: _all_in_force(ring))
    assert _names(ring.routers[-1].copy) == ['first', 'second']


def test_restarted_router_is_in_force_while_the_platform_is_down(ring):
    ring.platform.script = {'down': 1}
    restarted = ring.add_router(
        wait=False,
        platform=dict(_NOWHERE),
        peers={'seeds': [f'{HOST}:{ring.routers[0].peer_port}']},
    )
    wait_until(lambda: restarted.copy.version == ring.platform.version)
    assert _names(restarted.copy) == ['first']


def test_customer_limit_is_shared_by_routers(ring):
    key_hashes = ring.platform.objects['Customer', 'oslo']['spec']['key_hashes']
    ring.put(
        'Customer',
        'oslo',
        key_hashes=key_hashes,
        limits={'concurrent': 1, 'requests_per_s': 0.001},
    )
    ring.add_engine('engine')
    for router in ring.routers:
        ring.wait_links(router)
    wait_until(lambda: _all_in_force(ring))
    first, second = (ring.ask(ring.routers[1]) for _ask in range(2))
    assert first.status == 200
    assert second.status == 429
    assert second.headers['Wingfall-Run'] == 'not_run'
    assert int(second.headers['Retry-After']) > 1
    assert orjson.loads(second.data)['error']['code'] == 'rate_limit'
    hub = ring.routers[0]
    wait_until(lambda: _heard(hub))


def _heard(router):
    states = router.peers.states.values()
    return any(
        name == 'oslo' for state in states for name, _rate in state.demands
    )
