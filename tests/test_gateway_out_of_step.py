"""Streams taken up at a gateway that did not hear of a release."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING, Final

import gevent
import pytest

from standins.link import LinkState
from tools.soak.partitioned_releases import (
    Release,
    ReleaseRound,
    join_version,
    roll_back,
)
from tools.soak.partitions import (
    Partition,
    cut_store_and_delay_peers,
    cut_store_and_peers,
    stand_still,
)
from tools.soak.site import SoakSite
from tools.soak.stream_promises import find_mixed_streams
from tools.soak.traffic import Outcome, Traffic
from wingfall.gateway.peers.ranking import compute_rank

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

GATEWAYS: Final = 4
SEED: Final = 1
# Until gateways are connected and have read the history of the pools.
SETTLED_S: Final = 3
# Fewer would not show what the gateway does.
MIN_TAKEN_UP: Final = 12
BEGUN: Final = 24
BEGIN_GAP_S: Final = 0.02
MIN_OF_SECOND: Final = 4
ANSWER_DELAY_MS: Final = 150


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[SoakSite]:
    """Give gateway processes that reach each other over links."""
    running = SoakSite(
        folder=tmp_path,
        gateways=GATEWAYS,
        servers=2,
        released_pools=1,
        cuts_peers=True,
    )
    gevent.sleep(SETTLED_S)
    yield running
    running.close()


def last_to_hear(site: SoakSite) -> str:
    """Return the gateway that hears of changes by its peers only."""
    return max(site.gateways, key=compute_rank)


def check_release(
    site: SoakSite, partition: Partition, release: Release, gateway: str
) -> None:
    """Release a version beside a gateway that is out of step."""
    played = ReleaseRound(
        site=site,
        traffic=Traffic(site=site, seed=SEED, callers=0),
        pool=site.released_pools[0],
        gateway=gateway,
        partition=partition,
        release=release,
        seed=SEED,
    )
    played.play()
    told = played.describe()
    assert len(played.taken_up) >= MIN_TAKEN_UP, told
    assert not find_mixed_streams(played.tries), told


@pytest.mark.processes
@pytest.mark.parametrize(
    ('partition', 'release', 'gateway'),
    [
        (cut_store_and_peers, join_version, 'gateway-0'),
        (cut_store_and_peers, roll_back, 'gateway-3'),
        (stand_still, join_version, 'gateway-3'),
        (stand_still, roll_back, 'gateway-0'),
        (cut_store_and_delay_peers, join_version, 'gateway-0'),
    ],
)
def test_streams_stay_at_their_version_beside_a_gateway_out_of_step(
    site: SoakSite, partition: Partition, release: Release, gateway: str
):
    check_release(site, partition, release, gateway)


@contextlib.contextmanager
def hear_peers_late(
    site: SoakSite, name: str, chance: random.Random
) -> Iterator[None]:
    """Delay what others send to a gateway that reaches the store."""
    others = [each for each in site.gateways if each != name]
    site.peer_links.delay_answers(name, others, ANSWER_DELAY_MS)
    yield
    site.peer_links.heal(name, resets=False)


@contextlib.contextmanager
def hear_peers_late_without_store(
    site: SoakSite, name: str, chance: random.Random
) -> Iterator[None]:
    """Delay what others send to a gateway that is cut off from the store."""
    site.store_links[name].fail(LinkState.cut)
    with hear_peers_late(site, name, chance):
        yield
    site.store_links[name].heal()


@pytest.mark.processes
@pytest.mark.parametrize(
    'partition', [hear_peers_late, hear_peers_late_without_store]
)
def test_streams_stay_at_their_version_where_peers_answer_late(
    site: SoakSite, partition: Partition
):
    check_release(site, partition, join_version, last_to_hear(site))


@pytest.mark.processes
@pytest.mark.parametrize('resets', [True, False])
def test_stream_of_a_version_that_came_and_went_unheard_is_not_mixed(
    site: SoakSite, resets: bool
):
    traffic = Traffic(site=site, seed=SEED, callers=0)
    chance = random.Random(SEED)
    pool = site.released_pools[0]
    *others, gateway = sorted(site.gateways)
    begun: list[Outcome] = []

    def begin() -> None:
        begun.append(traffic.begin_stream(chance.choice(others), 1, pool))

    site.store_links[gateway].fail(LinkState.cut)
    site.peer_links.cut(gateway, others)
    callers = [
        gevent.spawn_later(number * BEGIN_GAP_S, begin)
        for number in range(BEGUN)
    ]
    roll_back(site, pool, chance)
    gevent.joinall(callers, raise_error=True)
    site.store_links[gateway].heal(resets=resets)
    site.peer_links.heal(gateway, resets=resets)
    of_second = [each for each in begun if each.events[:1] == [('1', 'v2')]]
    taken_up = [
        gevent.spawn(traffic.take_up_stream, gateway, [each])
        for each in of_second
    ]
    gevent.joinall(taken_up, raise_error=True)
    assert len(taken_up) >= MIN_OF_SECOND
    assert not find_mixed_streams(traffic.outcomes)
