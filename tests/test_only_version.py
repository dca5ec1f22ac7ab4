"""What the history of versions tells of the origin of a stream."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, final

import pytest

from tests.test_pool_versions import LIFE_MS, follow, make_record
from tests.test_stream_origin import make_endpoint
from wingfall.clock import ManualClock
from wingfall.gateway.calls.only_version import OnlyVersion, find_only_version
from wingfall.gateway.knowledge.pool_versions import PoolVersions
from wingfall.gateway.model.version_record import KEPT_MS, VersionReading

_CALL: Any = SimpleNamespace(
    route=SimpleNamespace(pools=[SimpleNamespace(pool='engines')])
)


@final
class ReadsStandIn:
    """Reads of a history that names one version."""

    def read(self, timeout_ms: int) -> VersionReading | None:
        """Return the history."""
        return VersionReading(number=1, begun_ms=0, record=make_record(1, 'v1'))


@pytest.fixture
def versions(clock: ManualClock) -> PoolVersions:
    """Return the versions of a gateway that has heard of an unnamed one."""
    versions = PoolVersions(clock=clock)
    versions.reads = ReadsStandIn()
    versions.adopt(make_record(1, 'v1'))
    follow(versions, clock, {'one': 'v1', 'two': 'v2'}, 0)
    return versions


def find_origin(versions: PoolVersions) -> OnlyVersion:
    """Find the origin of a stream while one version is listed."""
    table = SimpleNamespace(usable=lambda _pool: [make_endpoint('one', 'v1')])
    knowledge = SimpleNamespace(versions=versions, table=table)
    state: Any = SimpleNamespace(knowledge=knowledge)
    return find_only_version(state, _CALL, LIFE_MS, 0)


def test_unnamed_version_contradicts_while_others_may_still_list_it(
    versions: PoolVersions, clock: ManualClock
):
    follow(versions, clock, {'one': 'v1'}, 2 * LIFE_MS)
    found = find_origin(versions)
    assert found.reason == 'other_version'
    assert found.origin is None


def test_version_that_left_long_ago_contradicts_no_more(
    versions: PoolVersions, clock: ManualClock
):
    follow(versions, clock, {'one': 'v1'}, KEPT_MS + 1000)
    found = find_origin(versions)
    assert found.origin is not None
    assert found.origin.version == 'v1'
