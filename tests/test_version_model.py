"""Streams that begin and are taken up while versions come and gateways are cut.

A seeded model: each gateway hears of the list unless it is cut off, which lasts
ten seconds at most, and writes and reads the history, and the changes that it
has missed, through the real code. Where no usable version is named, streams
begin all the same.
"""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, Final, final

import pytest
from returns.result import Result, Success

from tests.test_stream_origin import make_endpoint
from tests.test_version_history import StoreStandIn
from wingfall.clock import ManualClock
from wingfall.errors import PlatformError
from wingfall.gateway.calls.only_version import find_only_version
from wingfall.gateway.configuration.endpoint_changes import EndpointChanges
from wingfall.gateway.configuration.version_history import VersionHistory
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.object_store import StoredObject, StoreResponse
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.version_record import (
    KEPT_MS,
    VersionReading,
    VersionRecord,
    parse_record,
)
from wingfall.metrics import Metrics

LIFE_MS: Final = 15_000
_MAX_CUT_MS: Final = 10_000
_MAX_HEAR_MS: Final = 2000
_STEPS: Final = 3000
# Fractions of the time for which the store refuses writes.
_REFUSALS: Final = (1 / 3, 0.95)
_POOL: Final = SimpleNamespace(pool='engines')
_CALL: Any = SimpleNamespace(route=SimpleNamespace(pools=[_POOL]))
_BINDING: Any = SimpleNamespace(read_endpoint=lambda _name, spec: Success(spec))


@final
class _EndpointList:
    """The endpoints in the store, and all changes of them."""

    def __init__(self) -> None:
        self.listed: dict[str, PoolEndpoint] = {}
        self.changes: list[StoredObject] = []

    @property
    def revision(self) -> int:
        return len(self.changes)

    def put(self, version: str) -> None:
        """Add an endpoint of a version."""
        self.listed[version] = make_endpoint(version, version)
        self._change(version, self.listed[version])

    def remove(self, version: str) -> None:
        """Remove the endpoint of a version."""
        self.listed.pop(version)
        self._change(version, None)

    def watch(
        self, revision: int, **_unused: Any
    ) -> Result[StoreResponse, PlatformError]:
        return Success(
            StoreResponse(
                revision=self.revision, objects=self.changes[revision:]
            )
        )

    def list_all(self, **_unused: Any) -> Result[StoreResponse, PlatformError]:
        raise AssertionError('no change is ever forgotten')

    def _change(self, name: str, endpoint: PoolEndpoint | None) -> None:
        revision = self.revision + 1
        self.changes.append(
            StoredObject(name=name, revision=revision, spec=endpoint)
        )


@final
class _Gateway:
    """What one gateway knows of the list and of the history."""

    def __init__(self, site: _Site) -> None:
        self._site = site
        self.versions = PoolVersions(clock=site.clock)
        self.versions.reads = self
        self.usable: list[PoolEndpoint] = []
        self.cut_until_ms = 0
        # Whether the store answers reads of a gateway that hears of no change.
        self._can_read = True
        self.heard_ms = 0
        self._followed_since_ms = site.clock.now_ms()
        # Revision of the list up to which this gateway has heard of it.
        self._replica: Any = SimpleNamespace(revision=0, store_revision=0)
        self._changes = EndpointChanges(
            store=site.endpoints,
            binding=_BINDING,
            versions=self.versions,
            replica=self._replica,
        )
        self._history = VersionHistory(
            store=site.store,
            clock=site.clock,
            metrics=Metrics(),
            versions=self.versions,
            announce=site.announce,
            may_write=lambda: not self.is_cut,
            get_followed_ms=self._followed_ms,
            get_rank=int,
        )

    @property
    def is_cut(self) -> bool:
        return self._site.clock.now_ms() < self.cut_until_ms

    def cut(self, duration_ms: int, *, can_read: bool) -> None:
        """Cut the gateway off from its peers and the store, or its news."""
        if not self.is_cut:
            self.hear()
            self.cut_until_ms = self._site.clock.now_ms() + duration_ms
            self._can_read = can_read

    def hear(self) -> None:
        """Receive the list, unless the gateway is cut off."""
        if self.is_cut:
            self._followed_since_ms = self.cut_until_ms
        else:
            self.heard_ms = self._site.clock.now_ms()
            self._apply_changes()
        self.versions.update(self.usable)

    def write(self) -> None:
        self._history._update()

    def read(self, timeout_ms: int) -> VersionReading | None:
        if self.is_cut and not self._can_read:
            return None
        assert self._changes.note()
        record = parse_record(self._site.store.stored)
        self.versions.adopt(record)
        now_ms = self._site.clock.now_ms()
        return VersionReading(number=1, begun_ms=now_ms, record=record)

    def begin(self, rng: random.Random) -> str | None:
        """Return the version at which a stream begins."""
        usable = self.versions.prefer_named('engines', self.usable)
        return rng.choice(usable).version

    def take_up(self) -> str | None:
        """Return the version at which a stream of unknown origin continues."""
        table = SimpleNamespace(usable=lambda _pool: self.usable)
        knowledge = SimpleNamespace(versions=self.versions, table=table)
        state: Any = SimpleNamespace(knowledge=knowledge)
        only = find_only_version(state, _CALL, LIFE_MS, 0)
        return only.origin.version if only.origin else None

    def _apply_changes(self) -> None:
        endpoints = self._site.endpoints
        for change in endpoints.changes[self._replica.revision :]:
            if change.spec is not None:
                self.versions.note_listed(change.spec)
        self._replica.revision = endpoints.revision
        self._replica.store_revision = endpoints.revision
        self.usable = list(endpoints.listed.values())

    def _followed_ms(self) -> int:
        followed_ms = self._site.clock.now_ms() - self._followed_since_ms
        return 0 if self.is_cut else followed_ms


@final
class _Site:
    """Four gateways, and endpoints whose versions come and go."""

    def __init__(self, seed: int, refusal: float) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(start_ms=1_000_000)
        self.store = StoreStandIn()
        self.refusal = refusal
        self.endpoints = _EndpointList()
        self.endpoints.put('v0')
        self.gateways: list[_Gateway] = []
        self.gateways.extend(_Gateway(self) for _ in range(4))
        # Time and version of each stream that has begun.
        self.begun: list[tuple[int, str | None]] = []
        self.mixed = 0
        self.continued = 0
        # Streams that began at a version that the history did not name.
        self.unnamed = 0

    def announce(self, record: VersionRecord) -> None:
        """Deliver most messages."""
        for gateway in self.gateways:
            if not gateway.is_cut and self.rng.randrange(5):
                gateway.versions.adopt(record)

    def step(self) -> None:
        """Let something happen, and time pass."""
        gateway = self.rng.choice(self.gateways)
        actions = [
            self._change_list,
            self._change_store,
            lambda: self._cut(gateway),
            gateway.hear,
            gateway.write,
            gateway.write,
            lambda: self._begin(gateway),
            lambda: self._begin(gateway),
            lambda: self._take_up(gateway),
            lambda: self._take_up(gateway),
        ]
        self.rng.choice(actions)()
        self.clock.advance(self.rng.choice((1, 10, 100, 1000)))
        for each in self.gateways:
            if self.clock.now_ms() - each.heard_ms > _MAX_HEAR_MS:
                each.hear()

    def _cut(self, gateway: _Gateway) -> None:
        duration_ms = self.rng.randrange(_MAX_CUT_MS)
        gateway.cut(duration_ms, can_read=self.rng.choice((True, False)))

    def _change_store(self) -> None:
        self.store.refuses_writes = self.rng.random() < self.refusal

    def _change_list(self) -> None:
        # A version that joins often leaves soon, and a pool has one for long.
        listed = list(self.endpoints.listed)
        if len(listed) > 1:
            self.endpoints.remove(self.rng.choice(listed))
        elif not self.rng.randrange(30):
            version = f'v{self.rng.randrange(3)}'
            self.endpoints.put(version)

    def _begin(self, gateway: _Gateway) -> None:
        version = gateway.begin(self.rng)
        self.begun.append((self.clock.now_ms(), version))
        names = parse_record(self.store.stored).names
        self.unnamed += ('engines', version) not in names

    def _take_up(self, gateway: _Gateway) -> None:
        since_ms = self.clock.now_ms() - LIFE_MS
        self.begun = [each for each in self.begun if each[0] >= since_ms]
        version = gateway.take_up()
        if version is not None:
            self.continued += len(self.begun)
            self.mixed += sum(each[1] != version for each in self.begun)


def follow(site: _Site, duration_ms: int) -> None:
    """Let all gateways but those that are cut off do their work."""
    for _second in range(duration_ms // 1000):
        site.clock.advance(1000)
        for gateway in site.gateways:
            gateway.hear()
            gateway.write()


def run_site(seed: int, refusal: float) -> _Site:
    """Let many things happen."""
    site = _Site(seed, refusal)
    for gateway in site.gateways:
        gateway.hear()
    for _step in range(_STEPS):
        site.step()
    return site


@pytest.mark.parametrize('refusal', _REFUSALS)
@pytest.mark.parametrize('seed', range(8171, 8271))
def test_stream_of_unknown_origin_never_continues_at_another_version(
    seed: int, refusal: float
):
    assert not run_site(seed, refusal).mixed


@pytest.mark.parametrize('refusal', _REFUSALS)
def test_streams_of_unknown_origin_do_continue_in_the_model(refusal: float):
    site = run_site(8173, refusal)
    assert site.continued
    assert site.unnamed


@pytest.mark.parametrize('cut_ms', [KEPT_MS, 2 * KEPT_MS])
def test_stream_of_a_gateway_that_is_cut_off_is_not_joined_with_another(
    cut_ms: int,
):
    site = _Site(8171, refusal=0)
    site.endpoints.put('v1')
    follow(site, KEPT_MS)
    late, first, *_others = site.gateways
    late.cut(2 * cut_ms, can_read=False)
    # The endpoint serves on at gateways that have not heard of it.
    site.endpoints.remove('v1')
    follow(site, cut_ms)
    assert 'v1' in {late.begin(site.rng) for _stream in range(20)}
    assert first.take_up() is None
