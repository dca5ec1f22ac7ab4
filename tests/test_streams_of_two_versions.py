"""Streams of gateway processes before engines of two software versions."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import gevent
import pytest

from tools.soak.faults import kill_gateway
from tools.soak.resuming_callers import ResumingCallers
from tools.soak.site import SoakSite
from tools.soak.stream_promises import (
    MAX_MIXED_STREAMS,
    find_mixed_streams,
    streams_that_are_taken_up_go_on,
)
from tools.soak.traffic import Traffic
from tools.soak.version_faults import cut_streams

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable, Iterator

GATEWAYS: Final = 4
# In each pool, half of each version.
SERVERS: Final = 6
PLAY_S: Final = 10
SEED: Final = 1


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[SoakSite]:
    """Give gateway processes before engines of two versions."""
    running = SoakSite(
        folder=tmp_path,
        gateways=GATEWAYS,
        servers=SERVERS,
        versions=('v1', 'v2'),
    )
    yield running
    running.close()


def check_streams(site: SoakSite, disturb: Callable[[], None]) -> None:
    """Have streams cut, left and taken up beside a disturbance."""
    traffic = Traffic(site=site, seed=SEED, callers=0)
    callers = ResumingCallers(site=site, traffic=traffic, seed=SEED)
    cutting = gevent.spawn(cut_streams, site, random.Random(SEED), PLAY_S)
    disturb()
    cutting.get()
    callers.stop()
    assert len(find_mixed_streams(traffic.outcomes)) <= MAX_MIXED_STREAMS
    assert not list(streams_that_are_taken_up_go_on(site, traffic.outcomes))


@pytest.mark.processes
def test_streams_go_on_only_at_the_version_that_began_them(site: SoakSite):
    check_streams(site, lambda: None)


@pytest.mark.processes
def test_streams_stay_at_their_version_while_gateways_are_killed(
    site: SoakSite,
):
    def kill() -> None:
        chance = random.Random(SEED)
        for _kill in range(3):
            gevent.sleep(2)
            kill_gateway(site, chance, 0)

    check_streams(site, kill)
