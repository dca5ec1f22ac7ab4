"""Retries that endpoints get from gateway processes that end and start."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Final, final

import gevent
import pytest

from tools.soak.faults import kill_all_gateways
from tools.soak.retry_promises import find_worst_pool_window
from tools.soak.series import roll_gateways
from tools.soak.site import SoakSite
from tools.soak.traffic import Outcome, Traffic

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable, Iterator

    from tools.soak.retry_bound import RetryWindow

POOL: Final = 'plain'
BOUND: Final = {'ratio': 0.2, 'slack': 8, 'window_s': 6}
GATEWAYS: Final = 4
CALLERS: Final = 24
# Seconds of good answers before the failures: two windows.
CALM_S: Final = 12
# Seconds of failures before gateways end, and after that.
USED_S: Final = 1
AFTER_S: Final = 4


@final
class Callers:
    """Callers that ask for what may be repeated, one request at a time."""

    def __init__(self, *, site: SoakSite) -> None:
        """Start to call random gateways."""
        self._chance = random.Random(1)
        self._site = site
        self._traffic = Traffic(site=site, seed=1, callers=0)
        self._stopped = False
        self._running = [gevent.spawn(self._call) for _call in range(CALLERS)]

    @property
    def outcomes(self) -> list[Outcome]:
        """All requests so far."""
        return self._traffic.outcomes

    def stop(self) -> None:
        """Send no more, and wait until all requests have ended."""
        self._stopped = True
        gevent.joinall(self._running)

    def _call(self) -> None:
        while not self._stopped:
            gateway = self._chance.choice(list(self._site.gateways))
            self._traffic.ask('safe', gateway, self._site.keys[0])
            gevent.sleep(self._chance.uniform(0, 0.2))


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[SoakSite]:
    """Give gateway processes with a window that is short beside a test."""
    running = SoakSite(
        folder=tmp_path,
        gateways=GATEWAYS,
        servers=3,
        changes={'resend': BOUND},
    )
    yield running
    running.close()


def play(site: SoakSite, end: Callable[[], None]) -> RetryWindow | None:
    """Let endpoints fail all requests beside the end of gateways."""
    callers = Callers(site=site)
    gevent.sleep(CALM_S)
    for server in site.listed(POOL):
        server.standin.faults = list(itertools.repeat('error', 100_000))
    gevent.sleep(USED_S)
    end()
    gevent.sleep(AFTER_S)
    callers.stop()
    return find_worst_pool_window(site, callers.outcomes, POOL)


@pytest.mark.processes
def test_retries_after_a_kill_of_all_gateways_stay_within_the_budget(
    site: SoakSite,
):
    worst = play(site, lambda: kill_all_gateways(site, random.Random(1), 0))
    assert worst is not None
    assert worst.excess <= 0, str(worst)


@pytest.mark.processes
def test_retries_after_a_rolling_restart_stay_within_the_budget(
    site: SoakSite,
):
    worst = play(site, lambda: roll_gateways(site, random.Random(1), 0.5))
    assert worst is not None
    assert worst.excess <= 0, str(worst)
