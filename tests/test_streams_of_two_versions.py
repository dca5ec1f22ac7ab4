"""Streams of gateway processes before engines of two software versions."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import gevent
import pytest

from tools.fleet import wait_for
from tools.soak.faults import kill_gateway
from tools.soak.resuming_callers import ResumingCallers
from tools.soak.site import Server, SoakSite
from tools.soak.stream_promises import (
    MAX_MIXED_STREAMS,
    find_mixed_streams,
    streams_that_are_taken_up_go_on,
)
from tools.soak.traffic import Traffic
from tools.soak.version_faults import (
    cut_streams,
    kill_gateways_beside_release,
)

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable, Iterator

    from tools.soak.traffic import Outcome

GATEWAYS: Final = 4
# In each pool, half of each version.
SERVERS: Final = 6
PLAY_S: Final = 10
SEED: Final = 1
# Streams that run when all gateways end; the rule asks for twelve.
STREAMS: Final = 24
MIN_JUDGED: Final = 12
MIN_RELATIVE_SHARE: Final = 0.5


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


def begin_streams(site: SoakSite, traffic: Traffic) -> list[gevent.Greenlet]:
    """Begin streams at all gateways in turn."""
    return [
        gevent.spawn(traffic.begin_stream, f'gateway-{number % GATEWAYS}', 0)
        for number in range(STREAMS)
    ]


def take_up_streams(traffic: Traffic, broken: list[Outcome]) -> list[Outcome]:
    """Take each stream up at the gateway after the one that began it."""
    running = [
        gevent.spawn(
            traffic.take_up_stream,
            f'gateway-{(number + 1) % GATEWAYS}',
            [first],
        )
        for number, first in enumerate(broken)
    ]
    return [each.get() for each in running]


def count_with_events(outcomes: list[Outcome]) -> int:
    """Count the answers that brought events."""
    return sum(bool(each.events) for each in outcomes)


@pytest.mark.processes
def test_streams_go_on_at_their_version_after_the_end_of_all_gateways(
    site: SoakSite,
):
    def slow(server: Server) -> None:
        server.standin.event_ms = 400

    site.arm = slow
    for server in site.servers:
        slow(server)
    traffic = Traffic(site=site, seed=SEED, callers=0)
    running = begin_streams(site, traffic)
    wait_for(
        lambda: count_with_events(traffic.outcomes) >= MIN_JUDGED,
        'streams to begin',
    )
    # Longer than a gateway takes to write their origins.
    gevent.sleep(0.5)
    kill_gateways_beside_release(site, random.Random(SEED), 0)
    firsts = [each.get() for each in running]
    broken = [each for each in firsts if each.events and not each.whole]
    assert len(broken) >= MIN_JUDGED
    taken_up = take_up_streams(traffic, broken)
    new = [each.get() for each in begin_streams(site, traffic)]
    assert len(find_mixed_streams(traffic.outcomes)) <= MAX_MIXED_STREAMS
    least = count_with_events(new) / STREAMS * MIN_RELATIVE_SHARE
    assert count_with_events(taken_up) / len(broken) >= least
