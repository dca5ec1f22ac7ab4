"""Streams that begin and are taken up while versions come and gateways are cut.

A seeded model: each gateway hears of the list unless it is cut off, which lasts
ten seconds at most, and writes and reads the history through the real code.
"""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, Final, final

import pytest

from tests.test_stream_origin import make_endpoint
from tests.test_version_history import StoreStandIn
from wingfall.clock import ManualClock
from wingfall.gateway.calls.only_version import find_only_version
from wingfall.gateway.configuration.version_history import VersionHistory
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.pool_endpoint import PoolEndpoint
from wingfall.gateway.model.version_record import (
    VersionReading,
    VersionRecord,
    parse_record,
)
from wingfall.metrics import Metrics

LIFE_MS: Final = 15_000
_MAX_CUT_MS: Final = 10_000
_MAX_HEAR_MS: Final = 2000
_STEPS: Final = 3000
_POOL: Final = SimpleNamespace(pool='engines')
_CALL: Any = SimpleNamespace(route=SimpleNamespace(pools=[_POOL]))


@final
class _Gateway:
    """What one gateway knows of the list and of the history."""

    def __init__(self, site: _Site) -> None:
        self._site = site
        self.versions = PoolVersions(clock=site.clock)
        self.versions.reads = self
        self.usable: list[PoolEndpoint] = []
        self.cut_until_ms = 0
        self.heard_ms = 0
        self._followed_since_ms = site.clock.now_ms()
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

    def cut(self, duration_ms: int) -> None:
        """Cut the gateway off from the store and from its peers."""
        if not self.is_cut:
            self.hear()
            self.cut_until_ms = self._site.clock.now_ms() + duration_ms

    def hear(self) -> None:
        """Receive the list, unless the gateway is cut off."""
        if self.is_cut:
            self._followed_since_ms = self.cut_until_ms
        else:
            self.heard_ms = self._site.clock.now_ms()
            self.usable = list(self._site.listed.values())
        self.versions.update(self.usable)

    def write(self) -> None:
        self._history._update()

    def read(self, timeout_ms: int) -> VersionReading | None:
        if self.is_cut:
            return None
        record = parse_record(self._site.store.stored)
        self.versions.adopt(record)
        now_ms = self._site.clock.now_ms()
        return VersionReading(number=1, begun_ms=now_ms, record=record)

    def begin(self, rng: random.Random) -> str | None:
        """Return the version at which a stream begins, if one is named."""
        usable = self.versions.prefer_named('engines', self.usable)
        version = rng.choice(usable).version
        has_named = any(
            self.versions.is_named('engines', each.version)
            for each in self.usable
        )
        return version if has_named else None

    def take_up(self) -> str | None:
        """Return the version at which a stream of unknown origin continues."""
        table = SimpleNamespace(usable=lambda _pool: self.usable)
        knowledge = SimpleNamespace(versions=self.versions, table=table)
        state: Any = SimpleNamespace(knowledge=knowledge)
        only = find_only_version(state, _CALL, LIFE_MS, 0)
        return only.origin.version if only.origin else None

    def _followed_ms(self) -> int:
        followed_ms = self._site.clock.now_ms() - self._followed_since_ms
        return 0 if self.is_cut else followed_ms


@final
class _Site:
    """Four gateways, and endpoints whose versions come and go."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(start_ms=1_000_000)
        self.store = StoreStandIn()
        self.listed = {'v0': make_endpoint('v0', 'v0')}
        self.gateways: list[_Gateway] = []
        self.gateways.extend(_Gateway(self) for _ in range(4))
        # Time and version of each stream that has begun.
        self.begun: list[tuple[int, str]] = []
        self.mixed = 0
        self.continued = 0

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
            lambda: gateway.cut(self.rng.randrange(_MAX_CUT_MS)),
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

    def _change_store(self) -> None:
        self.store.refuses_writes = self.rng.randrange(3) == 0

    def _change_list(self) -> None:
        # A version that joins often leaves soon, and a pool has one for long.
        if len(self.listed) > 1:
            self.listed.pop(self.rng.choice(list(self.listed)))
        elif not self.rng.randrange(30):
            version = f'v{self.rng.randrange(3)}'
            self.listed[version] = make_endpoint(version, version)

    def _begin(self, gateway: _Gateway) -> None:
        version = gateway.begin(self.rng)
        if version is not None:
            self.begun.append((self.clock.now_ms(), version))

    def _take_up(self, gateway: _Gateway) -> None:
        since_ms = self.clock.now_ms() - LIFE_MS
        self.begun = [each for each in self.begun if each[0] >= since_ms]
        version = gateway.take_up()
        if version is not None:
            self.continued += len(self.begun)
            self.mixed += sum(each[1] != version for each in self.begun)


def run_site(seed: int) -> _Site:
    """Let many things happen."""
    site = _Site(seed)
    for gateway in site.gateways:
        gateway.hear()
    for _step in range(_STEPS):
        site.step()
    return site


@pytest.mark.parametrize('seed', range(8101, 8161))
def test_stream_of_unknown_origin_never_continues_at_another_version(seed: int):
    assert not run_site(seed).mixed


def test_streams_of_unknown_origin_do_continue_in_the_model():
    assert run_site(8101).continued
