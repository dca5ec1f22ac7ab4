"""Versions of endpoints that a gateway has not heard of."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, final

import gevent
import pytest

from tests.test_stream_resumption import list_engine
from wingfall.clock import Clock
from wingfall.gateway.configuration.endpoint_changes import EndpointChanges
from wingfall.gateway.configuration.replica import ENDPOINTS_KIND, ObjectReplica
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.object_store import StoreResponse

if TYPE_CHECKING:
    from tests.gateway_site import GatewaySite

WITHIN_MS: Final = 60_000


@final
class StaleGateway:
    """What a gateway knows that heard of no change after its start."""

    def __init__(self, *, site: GatewaySite) -> None:
        self.site = site
        for name in ('e0', 'e1'):
            site.add_server(name, 'engines')
        list_engine(site, 'e0', 'v1')
        binding = site.add_gateway()._state.binding
        store = binding.endpoints_store()
        self._store = store
        self.replica = ObjectReplica(
            kind=ENDPOINTS_KIND, listener=lambda _name, _spec: None
        )
        self.replica.apply_list(store.list_all(progress=lambda: None).unwrap())
        self.versions = PoolVersions(clock=Clock())
        self.changes = EndpointChanges(
            store=store,
            binding=binding,
            versions=self.versions,
            replica=self.replica,
        )

    @property
    def known(self) -> set[str | None]:
        """Versions of the pool that it has heard of."""
        return self.versions.list_known('engines', WITHIN_MS)

    def read_changes(self, revision: int) -> StoreResponse:
        """Return the changes that the store tells since a revision."""
        return self._store.watch(
            revision, progress=lambda: None, brief=True
        ).unwrap()


@pytest.fixture
def stale(gateway_site: GatewaySite) -> StaleGateway:
    """Return a gateway that knows of one version."""
    return StaleGateway(site=gateway_site)


def test_version_that_joined_unheard_is_noted(stale: StaleGateway):
    list_engine(stale.site, 'e1', 'v2')
    assert stale.changes.note()
    assert stale.known == {'v2'}


def test_version_that_came_and_went_unheard_is_noted(stale: StaleGateway):
    list_engine(stale.site, 'e1', 'v2')
    stale.site.store.delete('servers', 'e1')
    assert stale.changes.note()
    assert stale.known == {'v2'}


def test_list_tells_of_versions_after_the_history_is_forgotten(
    stale: StaleGateway,
):
    list_engine(stale.site, 'e1', 'v2')
    stale.site.store.oldest = stale.site.store.revision + 1
    assert stale.changes.note()
    assert stale.known == {'v1', 'v2'}


def test_list_tells_of_versions_if_the_changes_can_not_be_read(
    stale: StaleGateway,
):
    list_engine(stale.site, 'e1', 'v2')
    stale.site.store.replaced = {b'"events"': b'"unknown"'}
    assert stale.changes.note()
    assert stale.known == {'v1', 'v2'}


def test_changes_since_the_last_read_are_noted(stale: StaleGateway):
    for version in ('v2', 'v3', 'v4'):
        list_engine(stale.site, 'e1', version)
        assert stale.changes.note()
        assert version in stale.known


def test_reads_at_the_same_time_miss_no_change(stale: StaleGateway):
    list_engine(stale.site, 'e1', 'v2')
    reads = [gevent.spawn(stale.changes.note) for _ in range(3)]
    list_engine(stale.site, 'e1', 'v3')
    assert all(each.get() for each in reads)
    assert stale.changes.note()
    assert stale.known == {'v2', 'v3'}


def test_store_that_is_away_has_told_nothing(stale: StaleGateway):
    stale.site.store.script = {'status': 503}
    assert not stale.changes.note()


def test_entry_that_can_not_be_read_hides_no_other(stale: StaleGateway):
    stale.site.store.put('servers', 'broken', {'service': 7})
    list_engine(stale.site, 'e1', 'v2')
    assert stale.changes.note()
    assert stale.known == {'v2'}


def test_version_that_a_peer_heard_come_and_go_is_noted(stale: StaleGateway):
    # The peer tells of objects as they are now, up to its revision.
    peer = ObjectReplica(
        kind=ENDPOINTS_KIND, listener=lambda _name, _spec: None
    )
    known = stale.replica.revision
    list_engine(stale.site, 'e1', 'v2')
    peer.apply_changes(stale.read_changes(known))
    stale.site.store.delete('servers', 'e1')
    peer.apply_changes(stale.read_changes(known))
    stale.replica.apply_peer_changes(
        StoreResponse(revision=peer.revision, objects=peer.objects_since(known))
    )
    assert stale.changes.note()
    assert stale.known == {'v2'}
